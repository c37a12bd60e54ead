package capacity

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
)

// peers measures what the nodes of a table cost that nothing is sent to.
func peers() []Measure {
	return []Measure{
		{
			Role: "link", Name: "peers without a link, held", Unit: unitBytes, Against: "nodes in the table",
			Sizes: nodeCounts(), Target: Nodes,
			Cost: idleHeld,
		},
		{
			Role: "link", Name: "peers without a link, a beat interval", Unit: unitMicros, Against: "nodes in the table",
			Sizes: nodeCounts(), Target: Nodes,
			Cost: idleSpent,
		},
		{
			Role: "link", Name: "dials by peers that nothing was sent to", Unit: unitCount, Against: "nodes in the table",
			Sizes: []int{25, 50, 100, 200}, Target: Nodes,
			Cost: needlessDials,
		},
	}
}

// nodeCounts reach to the size to design for.
func nodeCounts() []int { return []int{300, 600, 1200, 2400} }

// unreachablePeers returns peers that nothing answers. Their clock shows them idle.
func unreachablePeers(n int, now func() clock.Millis) []*link.Peer {
	peers := make([]*link.Peer, 0, n)
	for i := range n {
		peers = append(peers, peer(ip(i)+":7000", i+1, nodeBeat, now, newHeartbeatCounter(0)))
	}
	return peers
}

// nodeBeat is a node's heartbeat interval.
const nodeBeat = clock.Second / 2

// idleClock says that an hour has passed since the peers were made, and counts
// how often it was asked.
type idleClock struct {
	reads atomic.Int64
	made  atomic.Bool
	want  int64
	done  chan struct{}
	once  sync.Once
}

func (c *idleClock) now() clock.Millis {
	if !c.made.Load() {
		return 0
	}
	if c.reads.Add(1) >= c.want {
		c.once.Do(func() { close(c.done) })
	}
	return hour
}

func idleHeld(n int) (float64, error) {
	c := &idleClock{want: int64(n), done: make(chan struct{})}
	return retainedBytes(func() (any, error) {
		return unreachablePeers(n, c.now), nil
	})
}

// idleSpent lets resting peers run for some beat intervals by the machine's
// clock: they ask for no time of their own that could be counted.
func idleSpent(n int) (float64, error) {
	waitForGoroutines()
	defer waitForGoroutines()
	c := &idleClock{want: math.MaxInt64, done: make(chan struct{})}
	peers := unreachablePeers(n, c.now)
	c.made.Store(true)
	return withRunning(peers, func() (float64, error) {
		used, err := cpuTimeOnce(func() error {
			<-time.After((intervals * interval).Duration())
			return nil
		})
		return used / intervals, err
	})
}

// needlessDials counts the links that peers open within some beat intervals though
// nothing is sent and nobody woke them. One that was woken measures the time.
func needlessDials(n int) (float64, error) {
	waitForGoroutines()
	defer waitForGoroutines()
	a, err := listen(interval, newHeartbeatCounter(0))
	if err != nil {
		return 0, err
	}
	defer a.close()
	peers := make([]*link.Peer, 0, n)
	for i := range n {
		peers = append(peers, peer(a.address, i+1, interval, clock.NewSystem().Now, newHeartbeatCounter(0)))
	}
	watch := newHeartbeatCounter(0)
	woken := peer(a.address, n+1, interval, clock.NewSystem().Now, watch)
	woken.EnsureLink()
	return withRunning(append(slices.Clone(peers), woken), func() (float64, error) {
		<-watch.notifyAfter(intervals)
		open := 0
		for _, p := range peers {
			if p.Ready() {
				open++
			}
		}
		return float64(open), nil
	})
}
