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

// links measures what open links cost. They have both ends in this
// process, so that their costs are those of two nodes together.
func links() []Measure {
	open := []int{25, 50, 100, 200}
	return []Measure{
		{
			Role: "link", Name: "open links, both ends, held", Unit: unitBytes, Against: "links",
			Sizes: open,
			Cost:  linksHeld,
		},
		{
			Role: "link", Name: "goroutines of open links, both ends", Unit: unitCount, Against: "links",
			Sizes: open,
			Cost:  linkGoroutines,
		},
		{
			Role: "link", Name: "handshakes, both ends", Unit: unitMicros, Against: "links opened",
			Sizes: open,
			Cost:  handshakes,
		},
		{
			Role: "link", Name: "handshakes, both ways", Unit: unitBytes, Against: "links opened",
			Sizes: open,
			Cost:  handshakeBytes,
		},
		{
			Role: "link", Name: "a beat interval, both ways, 83 upstreams in each heartbeat", Unit: unitBytes, Against: "links",
			Sizes: open,
			Cost: func(n int) (float64, error) {
				_, bytes, err := heartbeatCost(n, UpstreamsPerNode)
				return bytes, err
			},
		},
		{
			Role: "link", Name: "a beat interval, both ways, no upstreams", Unit: unitBytes, Against: "links",
			Sizes: open,
			Cost: func(n int) (float64, error) {
				_, bytes, err := heartbeatCost(n, 0)
				return bytes, err
			},
		},
		{
			Role: "link", Name: "a beat interval, both ends, 83 upstreams in each heartbeat", Unit: unitMicros, Against: "links",
			Sizes: open,
			Cost: func(n int) (float64, error) {
				micros, _, err := heartbeatCost(n, UpstreamsPerNode)
				return micros, err
			},
		},
		{
			Role: "link", Name: "a beat interval, both ends, no upstreams", Unit: unitMicros, Against: "links",
			Sizes: open,
			Cost: func(n int) (float64, error) {
				micros, _, err := heartbeatCost(n, 0)
				return micros, err
			},
		},
	}
}

// withLinks measures while links are open that beat no more than once.
func withLinks(n int, cost func(a *listeningSide, open func() error) (float64, error)) (float64, error) {
	waitForGoroutines()
	defer waitForGoroutines()
	a, err := listen(clock.Hour, newHeartbeatCounter(0))
	if err != nil {
		return 0, err
	}
	defer a.close()
	var conns []*link.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	return cost(a, func() error {
		for i := range n {
			c, _, err := link.Dial(context.Background(), a.address, identity("10.0.0.1:7000", i), frameLimit)
			if err != nil {
				return errors.Annotate(err, "opening a link")
			}
			conns = append(conns, c)
		}
		return nil
	})
}

func linksHeld(n int) (float64, error) {
	return withLinks(n, func(_ *listeningSide, open func() error) (float64, error) {
		return retainedBytes(func() (any, error) { return nil, open() })
	})
}

func linkGoroutines(n int) (float64, error) {
	return withLinks(n, func(_ *listeningSide, open func() error) (float64, error) {
		before := runtime.NumGoroutine()
		err := open()
		return float64(runtime.NumGoroutine() - before), err
	})
}

func handshakes(n int) (float64, error) {
	return withLinks(n, func(_ *listeningSide, open func() error) (float64, error) {
		return cpuTimeOnce(open)
	})
}

func handshakeBytes(n int) (float64, error) {
	return withLinks(n, func(a *listeningSide, open func() error) (float64, error) {
		err := open()
		return float64(a.carried.Load()), err
	})
}

// peer is an entry's side; the number is its incarnation.
func peer(address string, number int, every clock.Millis, now func() clock.Millis, watcher *heartbeatCounter) *link.Peer {
	return link.NewPeer(link.PeerConfig{
		Address: address, Self: identity(ip(number)+":7000", number), MaxFrame: frameLimit, MaxReplyBody: frameLimit,
		HeartbeatInterval: every, Seed: uint64(number), Now: now, Status: watcher.Status, Observer: watcher, Log: logging.Silent(),
	})
}

// withRunning runs peers until the cost is measured.
func withRunning(peers []*link.Peer, cost func() (float64, error)) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	for _, p := range peers {
		all.Go(func() { _ = p.Run(ctx) }) // ends with the context
	}
	return cost()
}

// heartbeatCost is the processor time and the bytes of one beat interval of so many
// links.
func heartbeatCost(n, upstreams int) (micros, bytes float64, err error) {
	waitForGoroutines()
	defer waitForGoroutines()
	handler := newHeartbeatCounter(upstreams)
	a, err := listen(interval, handler)
	if err != nil {
		return 0, 0, err
	}
	defer a.close()
	peers := make([]*link.Peer, 0, n)
	for i := range n {
		peers = append(peers, peer(a.address, i+1, interval, clock.NewSystem().Now, handler))
	}
	micros, err = withRunning(peers, func() (float64, error) {
		// Two heartbeats in each interval of a link, one each way.
		opened := handler.notifyAfter(2 * n)
		for _, p := range peers {
			p.EnsureLink()
		}
		<-opened
		before := a.carried.Load()
		heard := handler.notifyAfter(2 * n * intervals)
		used, err := cpuTimeOnce(func() error { <-heard; return nil })
		bytes = float64(a.carried.Load()-before) / intervals
		return used / intervals, err
	})
	return micros, bytes, err
}
