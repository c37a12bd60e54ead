package path_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/path"
)

// The generated cases are the same on every run, unless -rapid.seed is given.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const heartbeatInterval clock.Millis = 100

// peer simulates a peer and the network path to it in virtual time.
type peer struct {
	detector *path.Detector
	// toPeer and fromPeer say whether frames arrive in each direction. silent is true while
	// no frames arrive on the open link, in either direction, although a new link works.
	toPeer, fromPeer, silent bool
	// paused is true while the entry's own process is paused.
	paused bool
	// idle is true while the entry keeps the link closed because there are no requests.
	idle bool
	// receivedAt is when the last heartbeat arrived at the peer.
	receivedAt  clock.Millis
	dialStarted clock.Millis
	dials       int
}

func (p *peer) tick(now clock.Millis) path.State {
	if now%heartbeatInterval == 0 && p.toPeer && !p.silent {
		p.receivedAt = now
	}
	if now%heartbeatInterval == heartbeatInterval/2 && p.fromPeer && !p.silent {
		p.detector.Received(now)
		p.detector.Echoed(now, p.receivedAt)
	}
	switch {
	case p.dialStarted > 0 && p.toPeer && p.fromPeer:
		p.silent, p.receivedAt, p.dialStarted = false, now, 0
		p.detector.Opened(now)
	case p.dialStarted > 0 && now-p.dialStarted >= heartbeatInterval/2:
		p.dialStarted = 0
		p.detector.Failed(now)
	}
	if !p.idle && p.detector.ShouldDial(now) {
		p.dials++
		p.dialStarted = now
	}
	return p.detector.State(now)
}

// event changes the simulated peer at a point in time.
type event struct {
	at    clock.Millis
	apply func(p *peer)
}

// simulate applies the events up to the time until, and returns the peer and the state
// changes of its path.
func simulate(events []event, until clock.Millis) (*peer, string) {
	p := &peer{detector: path.New(path.Config{HeartbeatInterval: heartbeatInterval, Seed: 1}), toPeer: true, fromPeer: true}
	var changes []string
	last := path.Good
	for now := clock.Millis(10); now <= until; now += 10 {
		for len(events) > 0 && events[0].at <= now {
			events[0].apply(p)
			events = events[1:]
		}
		if p.paused {
			continue
		}
		if state := p.tick(now); state != last {
			changes = append(changes, fmt.Sprintf("%d %s", now, []string{"good", "doubted", "lost"}[state]))
			last = state
		}
	}
	return p, strings.Join(changes, ", ")
}

func setNetwork(at clock.Millis, out, in bool) event {
	return event{at, func(p *peer) { p.toPeer, p.fromPeer = out, in }}
}

// Each scenario must lead to exactly the given state changes and number of dials.
func TestDetectorScenarios(t *testing.T) {
	tests := []struct {
		// description says what happens, and which failure a wrong state would cause.
		name, description string
		events            []event
		want              string
		dials             int
	}{
		{
			"working path", "A path that works is dialled once and never suspected.",
			nil, "", 1,
		},
		{
			"unreachable from the start", "The entry starts while the peer is down: requests " +
				"sent to it would wait for an answer that can't arrive.",
			[]event{setNetwork(0, false, false), setNetwork(5000, true, true)},
			"60 lost, 5080 good", 7,
		},
		{
			"paused peer", "The peer's process is paused at 1000 with its connections open and " +
				"resumes at 3000: requests sent in between would hang.",
			[]event{setNetwork(1000, false, false), setNetwork(3000, true, true)},
			"1160 doubted, 1210 lost, 3050 good", 6,
		},
		{
			"cut towards the peer", "The peer's heartbeats arrive, requests don't reach it: by " +
				"received frames alone the path would look good and lose every request.",
			[]event{setNetwork(1000, false, true), setNetwork(3000, true, true)},
			"1150 doubted, 1200 lost, 3050 good", 6,
		},
		{
			"cut towards the entry", "The peer runs the requests it receives, but its answers are lost.",
			[]event{setNetwork(1000, true, false), setNetwork(3000, true, true)},
			"1160 doubted, 1210 lost, 3050 good", 6,
		},
		{
			"dead link", "The network between the two nodes has dropped the connection; a new one " +
				"works. The check of the suspected path finds it: no capacity is lost, and the request is resolved.",
			[]event{
				{1000, func(p *peer) { p.silent = true }},
				{1100, func(p *peer) { p.detector.Sent(1100, 7, 1200) }},
				{1250, func(p *peer) { p.detector.Completed(1250, 7) }},
			},
			"1160 doubted, 1170 good", 2,
		},
		{
			"overdue answer", "A request hangs at the upstream while heartbeats arrive in both " +
				"directions: the path is checked once and not lost.",
			[]event{{1000, func(p *peer) { p.detector.Sent(1000, 7, 1200) }}},
			"1210 doubted, 1220 good", 2,
		},
		{
			"broken link", "The peer's process is replaced: the link breaks and the next one works.",
			[]event{{1000, func(p *peer) { p.detector.Closed(1000) }}},
			"1000 doubted, 1010 good", 2,
		},
		{
			"idle link", "There are no requests from 1000 to 9000, and the link is closed. The " +
				"next request must find the path as good as before.",
			[]event{
				{1000, func(p *peer) { p.idle, p.fromPeer, p.toPeer = true, false, false; p.detector.ClosedIdle(1000) }},
				{9000, func(p *peer) { p.idle, p.fromPeer, p.toPeer = false, true, true }},
			},
			"", 2,
		},
		{
			"paused entry", "The entry's process is paused from 1000 to 9000. All peers then look " +
				"silent; if their paths were lost, the entry would refuse every caller.",
			[]event{{1000, func(p *peer) { p.paused = true }}, {9000, func(p *peer) { p.paused = false }}},
			"", 1,
		},
		{
			"paused entry, peer down", "The entry resumes, and the peer went down meanwhile.",
			[]event{
				{1000, func(p *peer) { p.paused = true }},
				{9000, func(p *peer) { p.paused, p.toPeer, p.fromPeer = false, false, false }},
			},
			"9210 doubted, 9260 lost", 7,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, got := simulate(tt.events, 12000)
			if got != tt.want || p.dials != tt.dials {
				t.Errorf("got %q after %d dials, want %q after %d", got, p.dials, tt.want, tt.dials)
			}
		})
	}
}

// Guards against a flapping path that is used after each recovery. The path is cut for half
// of each second, for a minute, and each cut loses the answers of requests on the way. A
// growing hold-down limits this to a few recoveries.
func TestFlappingPathIsHeldDown(t *testing.T) {
	var events []event
	for at := clock.Second; at < clock.Minute; at += clock.Second {
		events = append(events, setNetwork(at, false, false), setNetwork(at+500, true, true))
	}
	p, got := simulate(append(events, setNetwork(clock.Minute, true, true)), 90*clock.Second)
	if recoveries := strings.Count(got, "good"); recoveries > 25 {
		t.Errorf("got %d recoveries in 59 cycles, want at most 25", recoveries)
	}
	if state := p.detector.State(90 * clock.Second); state != path.Good {
		t.Errorf("stable path: got state %v, want %v", state, path.Good)
	}
}

// Guards against a handshake for every overdue request while a peer is overloaded. An
// upstream behind the peer hangs, so that a request becomes overdue every 300 ms while
// heartbeats arrive in both directions.
func TestHungRequestsCauseFewChecks(t *testing.T) {
	var events []event
	for at := clock.Second; at < clock.Minute; at += 300 {
		events = append(events, event{at, func(p *peer) { p.detector.Sent(at, uint64(at), at+200) }})
	}
	p, got := simulate(events, clock.Minute)
	if strings.Contains(got, "lost") || p.dials > 50 {
		t.Errorf("got %q after %d dials, want none lost and at most 50 dials for 197 requests", got, p.dials)
	}
}

// Guards against simultaneous handshakes of all entries with a peer that is back. Without
// jitter, a hundred entries that lose the peer in the same millisecond dial it at the same
// time.
func TestRedialsAreSpread(t *testing.T) {
	dials := make(map[clock.Millis]int)
	for seed := range uint64(100) {
		d := path.New(path.Config{HeartbeatInterval: heartbeatInterval, Seed: seed})
		d.ShouldDial(0)
		d.Failed(0)
		for now := clock.Millis(0); ; now++ {
			if d.ShouldDial(now) {
				dials[now/10]++
				break
			}
		}
	}
	for tenth, got := range dials {
		if got > 25 {
			t.Errorf("got %d of 100 dials within 10 ms of %v, want at most 25", got, 10*tenth)
		}
	}
}

// While heartbeats arrive in both directions, the path is suspected exactly while a request
// is overdue.
func TestSuspectedIffRequestOverdue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		detector, now, due := path.New(path.Config{HeartbeatInterval: heartbeatInterval}), heartbeatInterval, make(map[uint64]clock.Millis)
		detector.Opened(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(1, 90).Draw(t, "span"))
			detector.Received(now)
			detector.Echoed(now, now)
			id := rapid.Uint64Range(0, 9).Draw(t, "id")
			if rapid.Bool().Draw(t, "sent") {
				due[id] = now + clock.Millis(rapid.IntRange(0, 300).Draw(t, "due"))
				detector.Sent(now, id, due[id])
			} else {
				delete(due, id)
				detector.Completed(now, id)
			}
			want := path.Good
			for _, d := range due {
				if d < now {
					want = path.Suspected
				}
			}
			if got := detector.State(now); got != want {
				t.Fatalf("at %v with %v: got %v, want %v", now, due, got, want)
			}
		}
	})
}

// Guards against unbounded memory for tracked requests.
func TestOutstandingIsBounded(t *testing.T) {
	d := path.New(path.Config{HeartbeatInterval: heartbeatInterval})
	id := uint64(0)
	send := func() {
		id++
		d.Sent(0, id, 1)
	}
	sendMany := func() {
		for range 10000 {
			send()
		}
	}
	if got := testing.AllocsPerRun(1, sendMany); got != 0 {
		t.Errorf("got %v allocations for requests beyond the limit, want 0", got)
	}
}

// Guards against an entry that doesn't use a healthy upstream for seconds after its node
// was restarted. A restart takes half a second, but the heartbeat interval is two seconds,
// which is too long a delay between two dials.
func TestRedialIsIndependentOfHeartbeatInterval(t *testing.T) {
	d := path.New(path.Config{HeartbeatInterval: 2 * clock.Second, RedialDelay: 250, Seed: 1})
	if !d.ShouldDial(1000) {
		t.Fatal("got no first dial, want one")
	}
	d.Failed(1010)
	if d.ShouldDial(1100) {
		t.Error("got a dial 90 ms after a failed one, want a delay of at least 125 ms")
	}
	if !d.ShouldDial(1010 + 376) {
		t.Error("got no dial 376 ms after a failed one, want one")
	}
}
