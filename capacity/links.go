package capacity

import (
	"context"
	"runtime"
	"sync"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/logging"
)

// linkMeasures returns the measures of open links. Both ends of a link are in this
// process, so the costs are those of two nodes together.
func linkMeasures() []Measure {
	sizes := []int{25, 50, 100, 200}
	return []Measure{
		{
			Role: "link", Name: "open links, both ends, held", Unit: unitBytes, Against: "links",
			Sizes: sizes,
			Cost:  linkMemory,
		},
		{
			Role: "link", Name: "goroutines of open links, both ends", Unit: unitCount, Against: "links",
			Sizes: sizes,
			Cost:  linkGoroutines,
		},
		{
			Role: "link", Name: "handshakes, both ends", Unit: unitMicros, Against: "links opened",
			Sizes: sizes,
			Cost:  handshakeTime,
		},
		{
			Role: "link", Name: "handshakes, both ways", Unit: unitBytes, Against: "links opened",
			Sizes: sizes,
			Cost:  handshakeBytes,
		},
		{
			Role: "link", Name: "a beat interval, both ways, 83 upstreams in each heartbeat", Unit: unitBytes, Against: "links",
			Sizes: sizes,
			Cost: func(n int) (float64, error) {
				_, bytes, err := heartbeatCost(n, UpstreamsPerNode)
				return bytes, err
			},
		},
		{
			Role: "link", Name: "a beat interval, both ways, no upstreams", Unit: unitBytes, Against: "links",
			Sizes: sizes,
			Cost: func(n int) (float64, error) {
				_, bytes, err := heartbeatCost(n, 0)
				return bytes, err
			},
		},
		{
			Role: "link", Name: "a beat interval, both ends, 83 upstreams in each heartbeat", Unit: unitMicros, Against: "links",
			Sizes: sizes,
			Cost: func(n int) (float64, error) {
				micros, _, err := heartbeatCost(n, UpstreamsPerNode)
				return micros, err
			},
		},
		{
			Role: "link", Name: "a beat interval, both ends, no upstreams", Unit: unitMicros, Against: "links",
			Sizes: sizes,
			Cost: func(n int) (float64, error) {
				micros, _, err := heartbeatCost(n, 0)
				return micros, err
			},
		},
	}
}

// withLinks calls cost with a link server and a function that opens n links to it, and
// returns the result. The heartbeat interval is an hour, so that a link carries at most one
// heartbeat.
func withLinks(n int, cost func(server *linkServer, open func() error) (float64, error)) (float64, error) {
	waitForGoroutines()
	defer waitForGoroutines()
	server, err := listen(clock.Hour, newHeartbeatCounter(0))
	if err != nil {
		return 0, err
	}
	defer server.close()
	var conns []*link.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	return cost(server, func() error {
		for i := range n {
			c, _, err := link.Dial(context.Background(), server.address, identity("10.0.0.1:7000", i), frameLimit)
			if err != nil {
				return errors.Annotate(err, "opening a link")
			}
			conns = append(conns, c)
		}
		return nil
	})
}

// linkMemory returns the memory in bytes of n open links.
func linkMemory(n int) (float64, error) {
	return withLinks(n, func(_ *linkServer, open func() error) (float64, error) {
		return retainedBytes(func() (any, error) { return nil, open() })
	})
}

// linkGoroutines returns the number of goroutines of n open links.
func linkGoroutines(n int) (float64, error) {
	return withLinks(n, func(_ *linkServer, open func() error) (float64, error) {
		before := runtime.NumGoroutine()
		err := open()
		return float64(runtime.NumGoroutine() - before), err
	})
}

// handshakeTime returns the CPU time in microseconds to open n links.
func handshakeTime(n int) (float64, error) {
	return withLinks(n, func(_ *linkServer, open func() error) (float64, error) {
		return cpuTimeOnce(open)
	})
}

// handshakeBytes returns the number of bytes transferred to open n links.
func handshakeBytes(n int) (float64, error) {
	return withLinks(n, func(server *linkServer, open func() error) (float64, error) {
		err := open()
		return float64(server.transferred.Load()), err
	})
}

// newPeer returns the dialling side of a link to the address. number determines the
// incarnation and the address of its own node.
func newPeer(address string, number int, interval clock.Millis, now func() clock.Millis, observer *heartbeatCounter) *link.Peer {
	return link.NewPeer(link.PeerConfig{
		Address: address, Self: identity(ip(number)+":7000", number), MaxFrame: frameLimit, MaxReplyBody: frameLimit,
		HeartbeatInterval: interval, Seed: uint64(number), Now: now, Status: observer.Status, Observer: observer, Log: logging.Silent(),
	})
}

// withRunningPeers runs the peers while it measures the cost, and waits for them to stop.
func withRunningPeers(peers []*link.Peer, cost func() (float64, error)) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for _, p := range peers {
		running.Go(func() { _ = p.Run(ctx) }) // returns when the context is cancelled
	}
	return cost()
}

// heartbeatCost returns the CPU time in microseconds and the bytes transferred that n
// open links take per heartbeat interval.
func heartbeatCost(n, upstreams int) (micros, bytes float64, err error) {
	waitForGoroutines()
	defer waitForGoroutines()
	handler := newHeartbeatCounter(upstreams)
	server, err := listen(heartbeatInterval, handler)
	if err != nil {
		return 0, 0, err
	}
	defer server.close()
	peers := make([]*link.Peer, 0, n)
	for i := range n {
		peers = append(peers, newPeer(server.address, i+1, heartbeatInterval, clock.NewSystem().Now, handler))
	}
	micros, err = withRunningPeers(peers, func() (float64, error) {
		// A link carries two heartbeats per interval, one in each direction.
		opened := handler.notifyAfter(2 * n)
		for _, p := range peers {
			p.EnsureLink()
		}
		<-opened
		before := server.transferred.Load()
		received := handler.notifyAfter(2 * n * measuredIntervals)
		used, err := cpuTimeOnce(func() error { <-received; return nil })
		bytes = float64(server.transferred.Load()-before) / measuredIntervals
		return used / measuredIntervals, err
	})
	return micros, bytes, err
}
