package mirror_test

import (
	"math/rand/v2"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/mirror"
)

const maxStaleness = 2 * clock.Second

// simulatedNode is one node of a fleet in virtual time.
type simulatedNode struct {
	schedule *mirror.PollSchedule
	// knownAt is the time at which the node's copy equalled the store, callStart the
	// start of the call in progress, 0 without one, and updates the peers' updates in
	// transit.
	knownAt, callStart clock.Millis
	updates            []peerUpdate
}

type peerUpdate struct {
	arrivesAt, knownAt clock.Millis
}

// simulateFleet runs a fleet for a minute. It returns the calls per second of all nodes,
// and the maximum age of a node's copy. The first withoutUpdates nodes receive no updates.
func simulateFleet(nodes, withoutUpdates int, refused func(i int, now clock.Millis) bool) (perSecond float64, oldest clock.Millis) {
	return simulateFleetWithReaders(nodes, withoutUpdates, nodes, refused)
}

// simulateFleetWithReaders runs a fleet in which only the first senders nodes send
// updates. If these are not all nodes, they read the store ahead of the others.
func simulateFleetWithReaders(nodes, withoutUpdates, senders int, refused func(i int, now clock.Millis) bool) (perSecond float64, oldest clock.Millis) {
	random := rand.New(rand.NewPCG(uint64(nodes), 7))
	all := make([]simulatedNode, nodes)
	for i := range all {
		all[i].schedule = mirror.NewPollSchedule(mirror.PollConfig{MaxStaleness: maxStaleness, Seed: uint64(i)})
		all[i].schedule.SetFleetSize(nodes, senders < nodes && i < senders)
	}
	calls := 0
	for now := clock.Millis(1); now <= clock.Minute; now++ {
		for i := range all {
			node := &all[i]
			for len(node.updates) > 0 && node.updates[0].arrivesAt <= now {
				node.knownAt = max(node.knownAt, node.updates[0].knownAt)
				node.schedule.Refreshed(node.updates[0].knownAt)
				node.updates = node.updates[1:]
			}
			if node.callStart > 0 && now >= node.callStart+answerTime {
				node.knownAt = max(node.knownAt, node.callStart)
				node.schedule.Answered(node.callStart)
				for j := range all {
					if j != i && j >= withoutUpdates && i < senders {
						all[j].updates = append(all[j].updates, peerUpdate{now + 1 + clock.Millis(random.Int64N(10)), node.callStart})
					}
				}
				node.callStart = 0
			}
			if node.callStart == 0 && now >= node.schedule.Due() {
				calls++
				if refused(i, now) {
					node.schedule.Failed(now)
					continue
				}
				node.callStart = now
			}
			isCutOff := senders < nodes && refused(i, now) // from the store and from all senders
			if now > 5*clock.Second && !isCutOff {
				oldest = max(oldest, now-node.knownAt)
			}
		}
	}
	return float64(calls) / 60, oldest
}

// answerTime is how long the store takes to answer, far above its typical 4 ms.
const answerTime = 20

func neverRefused(int, clock.Millis) bool { return false }

// Each call of the store has a price, and the store allows 2,000 a second. When each node
// watched the store for itself once in 1.4 s, 24 nodes made 17 calls a second, 95 made 54
// and 2,400 made 1,700. A node that has read the store now sends updates to the others.
func TestFleetSharesStoreReads(t *testing.T) {
	for _, tt := range []struct {
		nodes    int
		maxCalls float64 // calls per second
	}{{1, 1.3}, {24, 3}, {95, 4}, {600, 15}} {
		got, oldest := simulateFleet(tt.nodes, 0, neverRefused)
		t.Logf("%d nodes: %.1f calls per second, maximum age %v", tt.nodes, got, oldest)
		if got > tt.maxCalls {
			t.Errorf("%d nodes: got %.1f calls per second, want at most %v", tt.nodes, got, tt.maxCalls)
		}
		if oldest > 7*maxStaleness/10 {
			t.Errorf("%d nodes: got a copy %v old, want at most %v", tt.nodes, oldest, 7*maxStaleness/10)
		}
	}
}

// A fleet that has just started or has no requests only has links to the few nodes that
// read the store ahead of the others. Without updates from these, 95 nodes would make 40
// calls per second.
func TestReadersSufficeForIdleFleet(t *testing.T) {
	got, oldest := simulateFleetWithReaders(95, 0, 3, neverRefused)
	if got > 5 {
		t.Errorf("got %.1f calls per second, want at most 5", got)
	}
	if oldest > 7*maxStaleness/10 {
		t.Errorf("got a copy %v old, want at most %v", oldest, 7*maxStaleness/10)
	}
	// The readers can't reach the store.
	refused := func(i int, _ clock.Millis) bool { return i < 3 }
	if _, oldest := simulateFleetWithReaders(95, 0, 3, refused); oldest > 7*maxStaleness/10 {
		t.Errorf("without the readers: got a copy %v old, want at most %v", oldest, 7*maxStaleness/10)
	}
}

// Some nodes receive no updates, because their links are broken or because they have just
// started. They must read the store themselves, so that their copies are no older than
// those of others.
func TestNodesWithoutUpdatesPollThemselves(t *testing.T) {
	if _, oldest := simulateFleet(24, 5, neverRefused); oldest > 7*maxStaleness/10 {
		t.Errorf("got a copy %v old, want at most %v", oldest, 7*maxStaleness/10)
	}
}

// The store refuses a third of the nodes throughout. They must receive every change from
// the other nodes.
func TestNodesCutOffFromStoreReceiveUpdates(t *testing.T) {
	third := func(i int, _ clock.Millis) bool { return i%3 == 0 }
	if _, oldest := simulateFleet(24, 0, third); oldest > 7*maxStaleness/10 {
		t.Errorf("got a copy %v old, want at most %v", oldest, 7*maxStaleness/10)
	}
}

// The store is unavailable to all nodes for half a minute. Each call has a price, and 95
// nodes made 300 failing calls a second. They must share the retries; at the store's
// return, the first node that gets an answer sends updates to the others.
func TestFleetSharesRetriesDuringOutage(t *testing.T) {
	const nodes, outage = 95, 30 * clock.Second
	random := rand.New(rand.NewPCG(3, 3))
	all := make([]*mirror.PollSchedule, nodes)
	inTransit := make([][]clock.Millis, nodes)
	for i := range all {
		all[i] = mirror.NewPollSchedule(mirror.PollConfig{MaxStaleness: maxStaleness, Seed: uint64(i)})
		all[i].SetFleetSize(nodes, false)
	}
	calls, last, longest := 0, clock.Millis(0), clock.Millis(0)
	for now := clock.Millis(1); now <= outage; now++ {
		for i, p := range all {
			for len(inTransit[i]) > 0 && inTransit[i][0] <= now {
				p.Postpone(now)
				inTransit[i] = inTransit[i][1:]
			}
			if now < p.Due() {
				continue
			}
			calls++
			longest, last = max(longest, now-last), now
			p.Failed(now)
			for j := range all {
				if j != i {
					inTransit[j] = append(inTransit[j], now+1+clock.Millis(random.Int64N(10)))
				}
			}
		}
	}
	got := float64(calls-nodes) / outage.Seconds()
	t.Logf("%.1f calls per second after the first, longest gap %v", got, longest)
	if got > 25 {
		t.Errorf("got %.1f calls per second, want at most 25", got)
	}
	if longest > 500 {
		t.Errorf("got no call for %v, want one at least every 500ms", longest)
	}
	served := mirror.NewPollSchedule(mirror.PollConfig{MaxStaleness: maxStaleness, Seed: 1})
	served.Answered(1000)
	before := served.Due()
	if served.Postpone(1900); served.Due() != before {
		t.Errorf("got the next call of a node without failures postponed to %v, want %v", served.Due(), before)
	}
}

// The store is unavailable to all nodes and returns. A node must read it within half a
// second, so that an edit made at the return is in force within two.
func TestRetryDelayAfterFailureIsBounded(t *testing.T) {
	p := mirror.NewPollSchedule(mirror.PollConfig{MaxStaleness: maxStaleness, Seed: 1})
	for now := clock.Millis(0); now < clock.Minute; now = p.Due() {
		p.Failed(now)
		if got := p.Due() - now; got < 50 || got > 500 {
			t.Fatalf("got the next call %v after a failed one, want 50ms to 500ms", got)
		}
	}
}
