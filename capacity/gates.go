package capacity

import (
	"context"
	"fmt"
	"sync"

	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// gates measures what guards the upstreams beside a node.
func gates() []Measure {
	remembered := []int{2_000, 5_000, 10_000, 20_000}
	return []Measure{
		{
			Role: "gate", Name: "idle gates, held", Unit: unitBytes, Against: besideNode,
			Sizes: []int{10, 40, 83, 166}, Target: UpstreamsPerNode,
			Cost: gatesHeld,
		},
		{
			Role: "gate", Name: "fence, held", Unit: unitBytes, Against: "dispatches remembered",
			Sizes: remembered,
			Cost: func(n int) (float64, error) {
				return retainedBytes(func() (any, error) { return filledFence(n), nil })
			},
		},
		{
			Role: "gate", Name: "dispatches and empty replies, held", Unit: unitBytes, Against: "dispatches remembered",
			Sizes: remembered,
			Cost:  func(n int) (float64, error) { return dispatchesHeld(n, 0) },
		},
		{
			Role: "gate", Name: "replies of 4 KB, held", Unit: unitBytes, Against: "dispatches remembered",
			Sizes: remembered,
			Cost:  func(n int) (float64, error) { return dispatchesHeld(n, answerSize) },
		},
		{
			Role: "gate", Name: "dispatches handled", Unit: unitMicros, Against: "dispatches",
			Sizes: remembered,
			Cost:  dispatchesSpent,
		},
	}
}

// answerSize is the body of an answer in bytes: a page without its pictures.
const answerSize = 4 << 10

// instantBackend is a backend server that answers at once.
type instantBackend struct{ body int }

// Do answers.
func (q instantBackend) Do(context.Context, *gate.Call) (gate.Response, error) {
	return gate.Response{Status: 200, Body: make([]byte, q.body)}, nil
}

// Probe finds it healthy.
func (instantBackend) Probe(string) bool { return true }
func (instantBackend) ResetConnections() {}

// IsGone reports a server that is there.
func (instantBackend) IsGone() bool { return false }

// Close does nothing.
func (instantBackend) Close() {}

func newGate(i int, backend gate.Backend, pool *ants.Pool) *gate.Gate {
	return gate.New(gate.Config{
		Service: table.Service{
			Name: "service-1", Caution: table.Balanced, Deadline: 2 * clock.Second, Drain: clock.Second, Queue: 14,
		},
		Upstream: table.Upstream{
			Name: fmt.Sprintf("upstream-%d", i), Address: ip(i) + ":8080", Node: ip(i) + ":7000",
			Domain: "domain-1", Weight: 1, Slots: 7, Connections: 7,
		},
		Incarnation: 1, Seed: uint64(i), Now: func() clock.Millis { return hour },
		Backend: backend, Pool: pool, Journal: discardJournal{}, Log: logging.Silent(),
	})
}

// withPool measures what runs its work in a pool.
func withPool(cost func(pool *ants.Pool) (float64, error)) (float64, error) {
	pool, err := ants.NewPool(poolSize)
	if err != nil {
		return 0, errors.Annotate(err, "making a pool")
	}
	defer pool.Release()
	return cost(pool)
}

func gatesHeld(n int) (float64, error) {
	return withPool(func(pool *ants.Pool) (float64, error) {
		return retainedBytes(func() (any, error) {
			all := make([]*gate.Gate, 0, n)
			for i := range n {
				backend := gate.NewHTTP(gate.HTTPConfig{Address: ip(i) + ":8080", MaxConnections: 7, MaxBody: 1 << 20})
				all = append(all, newGate(i, backend, pool))
			}
			return all, nil
		})
	})
}

func filledFence(n int) *lease.Deduplicator[*wire.Reply] {
	f := lease.NewDeduplicator[*wire.Reply](1)
	for i := range n {
		key := lease.Key{Entry: 1, Seq: uint64(i), Attempt: 1}
		f.Accept(hour, key, 1, hour+clock.Second)
		f.Begin(hour, key)
		f.Finish(key, nil)
	}
	return f
}

// send has a gate run dispatches one after another and waits for the answers.
func send(g *gate.Gate, from, n int) error {
	var last wire.Outcome
	for i := range n {
		var done sync.WaitGroup
		done.Add(1)
		d := dispatch(0)
		d.ID.Seq = uint64(from + i)
		d.Incarnation, d.Lease, d.Upstream = 1, hour+clock.Second, "upstream-1"
		g.Handle(d, func(r *wire.Reply) {
			last = r.Outcome
			done.Done()
		})
		done.Wait()
		if last != wire.Answered {
			return errors.Errorf("dispatch %d ended with outcome %d, want an answer", i, last)
		}
	}
	return nil
}

func dispatchesHeld(n, body int) (float64, error) {
	return withPool(func(pool *ants.Pool) (float64, error) {
		return retainedBytes(func() (any, error) {
			g := newGate(1, instantBackend{body}, pool)
			return g, send(g, 0, n)
		})
	})
}

func dispatchesSpent(n int) (float64, error) {
	return withPool(func(pool *ants.Pool) (float64, error) {
		return cpuTime(func() error { return send(newGate(1, instantBackend{}, pool), 0, n) })
	})
}

// statusTime is the processor time in which a node reads all its gates, as it
// does for each heartbeat.
func statusTime(n int) (float64, error) {
	return withPool(func(pool *ants.Pool) (float64, error) {
		all := make([]*gate.Gate, 0, n)
		for i := range n {
			all = append(all, newGate(i, instantBackend{}, pool))
		}
		return cpuTime(func() error {
			for _, g := range all {
				g.Status()
			}
			return nil
		})
	})
}
