package capacity

import (
	"fmt"
	"net"

	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// entries measures what an entry knows and does.
func entries() []Measure {
	inTable := upstreams(20, 50, 100, 200)
	return []Measure{
		{
			Role: "entry", Name: "view of all upstreams, held beside the table", Unit: unitBytes, Against: "upstreams",
			Sizes: inTable, Target: Upstreams,
			Cost: entryHeld,
		},
		{
			Role: "entry", Name: "edition put in force", Unit: unitMicros, Against: "upstreams",
			Sizes: inTable, Target: Upstreams,
			Cost: func(n int) (float64, error) {
				return withEntry(n/perService, perService, func(e *entry.Entry, t *table.Table) (float64, error) {
					return cpuTime(func() error { e.Update(t); return nil })
				})
			},
		},
		{
			Role: "entry", Name: "path lost", Unit: unitMicros, Against: "upstreams",
			Sizes: inTable, Target: Upstreams,
			Cost: func(n int) (float64, error) {
				return withEntry(n/perService, perService, func(e *entry.Entry, _ *table.Table) (float64, error) {
					return cpuTime(func() error { e.UpdatePath("10.0.0.1:7000", true); return nil })
				})
			},
		},
		{
			Role: "entry", Name: "request", Unit: unitMicros, Against: "upstreams of its service",
			Sizes: []int{10, 49, 100, 200, 400}, Target: perService,
			Cost: func(n int) (float64, error) {
				return withEntry(1, n, func(e *entry.Entry, _ *table.Table) (float64, error) {
					return cpuTime(func() error { return serve(e) })
				})
			},
		},
		{
			Role: "entry", Name: "limits of callers, held", Unit: unitBytes, Against: "callers remembered",
			Sizes: []int{5_000, 10_000, 20_000, 50_000}, Target: Callers,
			Cost: callersHeld,
		},
	}
}

// poolSize bounds what the pools of measures run at once.
const poolSize = 64

// instantTarget is a way to a gate that answers at once.
type instantTarget struct{}

// Dispatch answers.
func (instantTarget) Dispatch(d *wire.Dispatch, w link.DispatchObserver) error {
	r := reply(0)
	r.ID, r.Attempt = d.ID, d.Attempt
	r.Upstream.Name = d.Upstream
	w.Replied(r)
	return nil
}

// Resolve does nothing.
func (instantTarget) Resolve(wire.RequestID, uint8) {}

// Withdraw takes nothing back.
func (instantTarget) Withdraw(wire.RequestID, uint8) bool { return false }

// Abandon does nothing.
func (instantTarget) Abandon(wire.RequestID, uint8) {}

// EnsureLink has no link.
func (instantTarget) EnsureLink() {}

// Forget does nothing.
func (instantTarget) Forget(wire.RequestID, uint8) {}

// Void reaches nobody.
func (instantTarget) ProbeCapacity(*wire.CapacityProbe, func(*wire.Reservation)) error {
	return link.ErrNoLink
}

// ReleaseReservation does nothing.
func (instantTarget) ReleaseReservation(*wire.ReleaseReservation) {}

// RevokeKey asks nobody.
func (instantTarget) RevokeKey(*wire.KeyRevocation, clock.Millis, link.RevocationObserver) error {
	return link.ErrNoLink
}

// ForgetRevocation has nothing to drop.
func (instantTarget) ForgetRevocation(wire.RequestID) {}

// discardJournal is a journal that keeps nothing.
type discardJournal struct{}

// RequestReceived does nothing.
func (discardJournal) RequestReceived() {}

// RequestFinished does nothing.
func (discardJournal) RequestFinished(clock.Millis, access.Record) {}

// RecordEvent does nothing.
func (discardJournal) RecordEvent(access.Event) {}

// buildTable makes a table larger than one value of the platform, too.
func buildTable(services, each int) (*table.Table, error) {
	t := table.Table{Format: table.Format, Version: 1}
	for s := range services {
		one := table.Service{
			Name: fmt.Sprintf("service-%d", s), Caution: table.Balanced, Floor: 0.5, Deadline: 2 * clock.Second,
			Drain: clock.Second, Queue: 10, RetryRatio: 0.1,
			Objective: table.Objective{Availability: 0.999, Latency: clock.Second, LatencyRatio: 0.99},
		}
		for u := range each {
			i := s*each + u
			one.Upstreams = append(one.Upstreams, table.Upstream{
				Name: fmt.Sprintf("upstream-%d", i), Address: ip(i) + ":8080", Node: ip(i%Nodes) + ":7000",
				Domain: fmt.Sprintf("domain-%d", i%Nodes%Domains), Weight: 1, Slots: 7, Connections: 7,
			})
		}
		t.Services = append(t.Services, one)
		t.Routes = append(t.Routes, table.Route{Prefix: "/" + one.Name + "/", Service: one.Name})
	}
	built, err := table.Build(t)
	return built, errors.Annotate(err, "building a table")
}

func newEntry(pool *ants.Pool) *entry.Entry {
	return entry.New(entry.Config{
		Domain: "domain-1", Incarnation: 1, Seed: 1, Now: clock.NewSystem().Now, Pool: pool, Recorder: discardJournal{},
		GateClient: func(table.Upstream) entry.GateClient { return instantTarget{} }, Log: logging.Silent(),
	})
}

// withEntry measures an entry that has a table in force.
func withEntry(services, each int, cost func(*entry.Entry, *table.Table) (float64, error)) (float64, error) {
	t, err := buildTable(services, each)
	if err != nil {
		return 0, err
	}
	pool, err := ants.NewPool(poolSize)
	if err != nil {
		return 0, errors.Annotate(err, "making a pool")
	}
	defer pool.Release()
	e := newEntry(pool)
	e.Update(t)
	return cost(e, t)
}

func entryHeld(upstreams int) (float64, error) {
	t, err := buildTable(upstreams/perService, perService)
	if err != nil {
		return 0, err
	}
	pool, err := ants.NewPool(poolSize)
	if err != nil {
		return 0, errors.Annotate(err, "making a pool")
	}
	defer pool.Release()
	return retainedBytes(func() (any, error) {
		e := newEntry(pool)
		e.Update(t)
		return e, nil
	})
}

func serve(e *entry.Entry) error {
	var ctx fasthttp.RequestCtx
	var r fasthttp.Request
	r.SetRequestURI("/service-0/page")
	ctx.Init(&r, &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1}, nil)
	e.Serve(&ctx)
	if got := ctx.Response.StatusCode(); got != fasthttp.StatusOK {
		return errors.Errorf("a request ended with status %d, want 200", got)
	}
	return nil
}

// callersHeld is the memory of buckets, one for each caller.
func callersHeld(callers int) (float64, error) {
	return retainedBytes(func() (any, error) {
		rates := limit.NewRates(limit.RatesConfig{Seed: 1, Callers: callers})
		for i := range callers {
			rates.Allow(hour, "service-1", 0, fmt.Sprintf("caller-%d", i), 1)
		}
		return rates, nil
	})
}
