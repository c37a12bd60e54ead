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

// idlePeerMeasures returns the measures of the peers to which a node sends nothing.
func idlePeerMeasures() []Measure {
	return []Measure{
		{
			Role: "link", Name: "peers without a link, held", Unit: unitBytes, Against: "nodes in the table",
			Sizes: nodeCounts(), Target: Nodes,
			Cost: idlePeerMemory,
		},
		{
			Role: "link", Name: "peers without a link, a beat interval", Unit: unitMicros, Against: "nodes in the table",
			Sizes: nodeCounts(), Target: Nodes,
			Cost: idlePeerTime,
		},
		{
			Role: "link", Name: "dials by peers that nothing was sent to", Unit: unitCount, Against: "nodes in the table",
			Sizes: []int{25, 50, 100, 200}, Target: Nodes,
			Cost: unneededLinks,
		},
	}
}

// nodeCounts returns numbers of nodes up to the design size.
func nodeCounts() []int { return []int{300, 600, 1200, 2400} }

// unreachablePeers returns peers of nodes that don't exist. now must show the peers as
// idle, so that they don't dial.
func unreachablePeers(n int, now func() clock.Millis) []*link.Peer {
	peers := make([]*link.Peer, 0, n)
	for i := range n {
		peers = append(peers, newPeer(ip(i)+":7000", i+1, nodeHeartbeatInterval, now, newHeartbeatCounter(0)))
	}
	return peers
}

// nodeHeartbeatInterval is the default heartbeat interval of a node.
const nodeHeartbeatInterval = clock.Second / 2

// idleClock is a clock that shows peers as idle: it returns 0 until peersCreated is set,
// and one hour from then on. It counts its reads from then on, and closes done after
// wantReads.
type idleClock struct {
	reads        atomic.Int64
	peersCreated atomic.Bool
	wantReads    int64
	done         chan struct{}
	once         sync.Once
}

func (c *idleClock) now() clock.Millis {
	if !c.peersCreated.Load() {
		return 0
	}
	if c.reads.Add(1) >= c.wantReads {
		c.once.Do(func() { close(c.done) })
	}
	return hour
}

// idlePeerMemory returns the memory in bytes of n peers that are not running.
func idlePeerMemory(n int) (float64, error) {
	c := &idleClock{wantReads: int64(n), done: make(chan struct{})}
	return retainedBytes(func() (any, error) {
		return unreachablePeers(n, c.now), nil
	})
}

// idlePeerTime returns the CPU time in microseconds that n idle peers take per interval
// of heartbeatInterval. The system clock limits the run: idle peers don't read their own
// clock, so its reads can't be counted.
func idlePeerTime(n int) (float64, error) {
	waitForGoroutines()
	defer waitForGoroutines()
	c := &idleClock{wantReads: math.MaxInt64, done: make(chan struct{})}
	peers := unreachablePeers(n, c.now)
	c.peersCreated.Store(true)
	return withRunningPeers(peers, func() (float64, error) {
		used, err := cpuTimeOnce(func() error {
			<-time.After((measuredIntervals * heartbeatInterval).Duration())
			return nil
		})
		return used / measuredIntervals, err
	})
}

// unneededLinks returns the number of links that n peers open within measuredIntervals,
// although nothing is sent to them and no link is requested. One more peer, with a
// requested link, receives the heartbeats that mark the end of the time.
func unneededLinks(n int) (float64, error) {
	waitForGoroutines()
	defer waitForGoroutines()
	server, err := listen(heartbeatInterval, newHeartbeatCounter(0))
	if err != nil {
		return 0, err
	}
	defer server.close()
	peers := make([]*link.Peer, 0, n)
	for i := range n {
		peers = append(peers, newPeer(server.address, i+1, heartbeatInterval, clock.NewSystem().Now, newHeartbeatCounter(0)))
	}
	counter := newHeartbeatCounter(0)
	linked := newPeer(server.address, n+1, heartbeatInterval, clock.NewSystem().Now, counter)
	linked.EnsureLink()
	return withRunningPeers(append(slices.Clone(peers), linked), func() (float64, error) {
		<-counter.notifyAfter(measuredIntervals)
		open := 0
		for _, p := range peers {
			if p.Ready() {
				open++
			}
		}
		return float64(open), nil
	})
}
