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

// entryMeasures returns the measures of an entry.
func entryMeasures() []Measure {
	sizes := upstreamCounts(20, 50, 100, 200)
	return []Measure{
		{
			Role: "entry", Name: "view of all upstreams, held beside the table", Unit: unitBytes, Against: "upstreams",
			Sizes: sizes, Target: Upstreams,
			Cost: entryMemory,
		},
		{
			Role: "entry", Name: "edition put in force", Unit: unitMicros, Against: "upstreams",
			Sizes: sizes, Target: Upstreams,
			Cost: func(n int) (float64, error) {
				return withEntry(n/upstreamsPerService, upstreamsPerService, func(e *entry.Entry, t *table.Table) (float64, error) {
					return cpuTime(func() error { e.Update(t); return nil })
				})
			},
		},
		{
			Role: "entry", Name: "path lost", Unit: unitMicros, Against: "upstreams",
			Sizes: sizes, Target: Upstreams,
			Cost: func(n int) (float64, error) {
				return withEntry(n/upstreamsPerService, upstreamsPerService, func(e *entry.Entry, _ *table.Table) (float64, error) {
					return cpuTime(func() error { e.UpdatePath("10.0.0.1:7000", true); return nil })
				})
			},
		},
		{
			Role: "entry", Name: "request", Unit: unitMicros, Against: "upstreams of its service",
			Sizes: []int{10, 49, 100, 200, 400}, Target: upstreamsPerService,
			Cost: func(n int) (float64, error) {
				return withEntry(1, n, func(e *entry.Entry, _ *table.Table) (float64, error) {
					return cpuTime(func() error { return serve(e) })
				})
			},
		},
		{
			Role: "entry", Name: "limits of callers, held", Unit: unitBytes, Against: "callers remembered",
			Sizes: []int{5_000, 10_000, 20_000, 50_000}, Target: Callers,
			Cost: callerLimitMemory,
		},
	}
}

// poolSize is the maximum number of concurrent tasks of a worker pool in a measurement.
const poolSize = 64

// instantGateClient is a client of a gate that answers immediately.
type instantGateClient struct{}

// Dispatch passes a reply to the observer before it returns.
func (instantGateClient) Dispatch(d *wire.Dispatch, w link.DispatchObserver) error {
	r := reply(0)
	r.ID, r.Attempt = d.ID, d.Attempt
	r.Upstream.Name = d.Upstream
	w.Replied(r)
	return nil
}

// Resolve sends nothing.
func (instantGateClient) Resolve(wire.RequestID, uint8) {}

// Withdraw reports that the dispatch was not withdrawn.
func (instantGateClient) Withdraw(wire.RequestID, uint8) bool { return false }

// Abandon sends nothing.
func (instantGateClient) Abandon(wire.RequestID, uint8) {}

// KeepsAnnouncements returns true.
func (instantGateClient) KeepsAnnouncements() bool { return true }

// EnsureLink does nothing, because the client has no link.
func (instantGateClient) EnsureLink() {}

// Forget does nothing, because the client retains no dispatch.
func (instantGateClient) Forget(wire.RequestID, uint8) {}

// ProbeCapacity returns link.ErrNoLink.
func (instantGateClient) ProbeCapacity(*wire.CapacityProbe, func(*wire.Reservation)) error {
	return link.ErrNoLink
}

// ClaimSlot returns link.ErrNoLink.
func (instantGateClient) ClaimSlot(*wire.SlotClaim, link.ClaimObserver) error { return link.ErrNoLink }

// ReleaseReservation sends nothing.
func (instantGateClient) ReleaseReservation(*wire.ReleaseReservation) {}

// RevokeKey returns link.ErrNoLink.
func (instantGateClient) RevokeKey(*wire.KeyRevocation, clock.Millis, link.RevocationObserver) error {
	return link.ErrNoLink
}

// ForgetRevocation does nothing, because the client retains no revocation.
func (instantGateClient) ForgetRevocation(wire.RequestID) {}

// discardRecorder drops all records and events.
type discardRecorder struct{}

// RequestReceived drops the request.
func (discardRecorder) RequestReceived() {}

// RequestFinished drops the record.
func (discardRecorder) RequestFinished(clock.Millis, access.Record) {}

// RecordEvent drops the event.
func (discardRecorder) RecordEvent(access.Event) {}

// buildTable returns a table of services with perService upstreams each. It doesn't parse
// a text, so the table may be larger than one value of the platform.
func buildTable(services, perService int) (*table.Table, error) {
	t := table.Table{Format: table.Format, Version: 1}
	for s := range services {
		service := table.Service{
			Name: fmt.Sprintf("service-%d", s), Caution: table.Balanced, Floor: 0.5, Deadline: 2 * clock.Second,
			Drain: clock.Second, Queue: 10, RetryRatio: 0.1,
			Objective: table.Objective{Availability: 0.999, Latency: clock.Second, LatencyRatio: 0.99},
		}
		for u := range perService {
			i := s*perService + u
			service.Upstreams = append(service.Upstreams, table.Upstream{
				Name: fmt.Sprintf("upstream-%d", i), Address: ip(i) + ":8080", Node: ip(i%Nodes) + ":7000",
				Domain: fmt.Sprintf("domain-%d", i%Nodes%Domains), Weight: 1, Slots: 7, Connections: 7,
			})
		}
		t.Services = append(t.Services, service)
		t.Routes = append(t.Routes, table.Route{Prefix: "/" + service.Name + "/", Service: service.Name})
	}
	built, err := table.Build(t)
	return built, errors.Annotate(err, "building a table")
}

func newEntry(pool *ants.Pool) *entry.Entry {
	return entry.New(entry.Config{
		Domain: "domain-1", Incarnation: 1, Seed: 1, Now: clock.NewSystem().Now, Pool: pool, Recorder: discardRecorder{},
		GateClient: func(table.Upstream) entry.GateClient { return instantGateClient{} }, Log: logging.Silent(),
	})
}

// withEntry calls cost with an entry and the generated table that it has in force, and
// returns the result.
func withEntry(services, perService int, cost func(*entry.Entry, *table.Table) (float64, error)) (float64, error) {
	t, err := buildTable(services, perService)
	if err != nil {
		return 0, err
	}
	pool, err := ants.NewPool(poolSize)
	if err != nil {
		return 0, errors.Annotate(err, "creating a worker pool")
	}
	defer pool.Release()
	e := newEntry(pool)
	e.Update(t)
	return cost(e, t)
}

// entryMemory returns the memory in bytes of an entry, not including its table.
func entryMemory(upstreams int) (float64, error) {
	t, err := buildTable(upstreams/upstreamsPerService, upstreamsPerService)
	if err != nil {
		return 0, err
	}
	pool, err := ants.NewPool(poolSize)
	if err != nil {
		return 0, errors.Annotate(err, "creating a worker pool")
	}
	defer pool.Release()
	return retainedBytes(func() (any, error) {
		e := newEntry(pool)
		e.Update(t)
		return e, nil
	})
}

// serve runs one request. It returns an error if the status isn't 200.
func serve(e *entry.Entry) error {
	var ctx fasthttp.RequestCtx
	var r fasthttp.Request
	r.SetRequestURI("/service-0/page")
	ctx.Init(&r, &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1}, nil)
	e.Serve(&ctx)
	if got := ctx.Response.StatusCode(); got != fasthttp.StatusOK {
		return errors.Errorf("request returned status %d, want 200", got)
	}
	return nil
}

// callerLimitMemory returns the memory in bytes of the token buckets, one per caller.
func callerLimitMemory(callers int) (float64, error) {
	return retainedBytes(func() (any, error) {
		rates := limit.NewRates(limit.RatesConfig{Seed: 1, Callers: callers})
		for i := range callers {
			rates.Allow(hour, "service-1", 0, fmt.Sprintf("caller-%d", i), 1)
		}
		return rates, nil
	})
}
