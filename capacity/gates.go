package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// gateMeasures returns the measures of the gates, which protect the upstreams beside a
// node.
func gateMeasures() []Measure {
	sizes := []int{2_000, 5_000, 10_000, 20_000}
	return []Measure{
		{
			Role: "gate", Name: "idle gates, held", Unit: unitBytes, Against: localUpstreams,
			Sizes: []int{10, 40, 83, 166}, Target: UpstreamsPerNode,
			Cost: gateMemory,
		},
		{
			Role: "gate", Name: "fence, held", Unit: unitBytes, Against: "dispatches remembered",
			Sizes: sizes,
			Cost: func(n int) (float64, error) {
				return retainedBytes(func() (any, error) { return filledDeduplicator(n), nil })
			},
		},
		{
			Role: "gate", Name: "dispatches and empty replies, held", Unit: unitBytes, Against: "dispatches remembered",
			Sizes: sizes,
			Cost:  func(n int) (float64, error) { return dispatchMemory(n, 0) },
		},
		{
			Role: "gate", Name: "replies of 4 KB, held", Unit: unitBytes, Against: "dispatches remembered",
			Sizes: sizes,
			Cost:  func(n int) (float64, error) { return dispatchMemory(n, replySize) },
		},
		{
			Role: "gate", Name: "dispatches handled", Unit: unitMicros, Against: "dispatches",
			Sizes: sizes,
			Cost:  dispatchTime,
		},
	}
}

// replySize is the size of a reply's body in bytes, that of a web page without its
// images.
const replySize = 4 << 10

// instantBackend is a backend server that responds immediately.
type instantBackend struct{ bodySize int }

// Do returns a response with status 200.
func (b instantBackend) Do(context.Context, *gate.Call) (gate.Response, error) {
	return gate.Response{Status: 200, Body: make([]byte, b.bodySize)}, nil
}

// Probe reports that the server is healthy.
func (instantBackend) Probe(string) bool { return true }

// ResetConnections does nothing, because there are no connections.
func (instantBackend) ResetConnections(time.Time) {}

// IsGone reports that the server's process has not ended.
func (instantBackend) IsGone() bool { return false }

// Close does nothing, because there are no connections.
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
		Backend: backend, Pool: pool, Recorder: discardRecorder{}, Log: logging.Silent(),
	})
}

// withPool calls cost with a worker pool and returns the result.
func withPool(cost func(pool *ants.Pool) (float64, error)) (float64, error) {
	pool, err := ants.NewPool(poolSize)
	if err != nil {
		return 0, errors.Annotate(err, "creating a worker pool")
	}
	defer pool.Release()
	return cost(pool)
}

// gateMemory returns the memory in bytes of n idle gates.
func gateMemory(n int) (float64, error) {
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

// filledDeduplicator returns a deduplicator that retains n completed dispatches.
func filledDeduplicator(n int) *lease.Deduplicator[*wire.Reply] {
	dedup := lease.NewDeduplicator[*wire.Reply](1)
	for i := range n {
		key := lease.Key{Entry: 1, Seq: uint64(i), Attempt: 1}
		dedup.Accept(hour, key, 1, hour+clock.Second)
		dedup.Begin(hour, key)
		dedup.Finish(key, nil)
	}
	return dedup
}

// dispatchAll sends n dispatches to a gate, each one after the reply to the previous one.
// firstSeq is the sequence number of the first one. It returns an error if the gate
// answers one with an outcome other than wire.Answered.
func dispatchAll(g *gate.Gate, firstSeq, n int) error {
	var outcome wire.Outcome
	for i := range n {
		var done sync.WaitGroup
		done.Add(1)
		d := dispatch(0)
		d.ID.Seq = uint64(firstSeq + i)
		d.Incarnation, d.Lease, d.Upstream = 1, hour+clock.Second, "upstream-1"
		g.Handle(d, func(r *wire.Reply) {
			outcome = r.Outcome
			done.Done()
		})
		done.Wait()
		if outcome != wire.Answered {
			return errors.Errorf("dispatch %d ended with outcome %d, want an answer", i, outcome)
		}
	}
	return nil
}

// dispatchMemory returns the memory in bytes that a gate retains for n dispatches with
// replies of so many bytes.
func dispatchMemory(n, replyBytes int) (float64, error) {
	return withPool(func(pool *ants.Pool) (float64, error) {
		return retainedBytes(func() (any, error) {
			g := newGate(1, instantBackend{replyBytes}, pool)
			return g, dispatchAll(g, 0, n)
		})
	})
}

// dispatchTime returns the CPU time in microseconds in which a new gate handles n
// dispatches.
func dispatchTime(n int) (float64, error) {
	return withPool(func(pool *ants.Pool) (float64, error) {
		return cpuTime(func() error { return dispatchAll(newGate(1, instantBackend{}, pool), 0, n) })
	})
}

// statusTime returns the CPU time in microseconds in which a node reads the status of its
// n gates, as it does for each heartbeat.
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
