package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/metrics"
)

// admins measures what a node's admin address serves.
func admins() []Measure {
	return []Measure{
		{
			Role: "admin", Name: "report without records", Unit: unitBytes, Against: "callers kept apart",
			Sizes: callersKept(),
			Cost: func(n int) (float64, error) {
				return snapshotBytes(filledBook(n, n, 4*n, oneService), access.Filter{Limit: 1})
			},
		},
		{
			Role: "admin", Name: "report without records", Unit: unitBytes, Against: "services called",
			Sizes: []int{500, 1000, 2000, 4100}, Target: Services,
			Cost: func(n int) (float64, error) {
				return snapshotBytes(filledBook(1, 1, n, n), access.Filter{Limit: 1})
			},
		},
		{
			Role: "admin", Name: "report of all records", Unit: unitBytes, Against: "records kept",
			Sizes: []int{2_500, 5_000, 10_000, 20_000},
			Cost: func(n int) (float64, error) {
				return snapshotBytes(filledBook(n, 1, 2*n, oneService), access.Filter{})
			},
		},
		{
			Role: "admin", Name: "counters of requests, held", Unit: unitBytes, Against: "upstreams called",
			Sizes: []int{250, 1000, 2500, 5000}, Target: Upstreams,
			Cost: countersHeld,
		},
		{
			Role: "admin", Name: "metrics", Unit: unitBytes, Against: "upstreams in view",
			Sizes: []int{250, 1000, 2500, 5000}, Target: Upstreams,
			Cost: func(n int) (float64, error) {
				body := scrape(n)
				return float64(len(body())), nil
			},
		},
		{
			Role: "admin", Name: "metrics", Unit: unitMicros, Against: "upstreams in view",
			Sizes: []int{250, 1000, 2500, 5000}, Target: Upstreams,
			Cost: func(n int) (float64, error) {
				body := scrape(n)
				return cpuTime(func() error { body(); return nil })
			},
		},
	}
}

func snapshotBytes(b *access.Log, f access.Filter) (float64, error) {
	body, err := json.Marshal(b.Snapshot(2*hour, f))
	return float64(len(body)), err
}

// fakeState is the state that a scrape reads.
type fakeState int

// States returns upstreams that are all in use.
func (v fakeState) States() []access.UpstreamState {
	all := make([]access.UpstreamState, 0, v)
	for i := range int(v) {
		all = append(all, access.UpstreamState{
			Service: fmt.Sprintf("service-%d", i/perService), Name: fmt.Sprintf("upstream-%d", i),
			Domain: "domain-1", State: access.StateInUse,
		})
	}
	return all
}

// Version returns a version.
func (fakeState) Version() uint64 { return 1 }

// InFlight returns no requests.
func (fakeState) InFlight() int { return 0 }

// scrape returns what serves the metrics of a node with so many upstreams.
func scrape(upstreams int) func() []byte {
	set := metrics.New(metrics.Config{Recorder: access.New(access.Config{Records: 1}), State: fakeState(upstreams)})
	handler := set.Handler()
	return func() []byte {
		var ctx fasthttp.RequestCtx
		var r fasthttp.Request
		r.SetRequestURI("/metrics")
		ctx.Init(&r, nil, nil)
		handler(&ctx)
		return ctx.Response.Body()
	}
}

// countersHeld is the memory of counters once each upstream has served.
func countersHeld(upstreams int) (float64, error) {
	return retainedBytes(func() (any, error) {
		set := metrics.New(metrics.Config{Recorder: discardJournal{}, State: fakeState(0)})
		for i := range upstreams {
			set.RequestFinished(hour, access.Record{
				Service: fmt.Sprintf("service-%d", i/perService), Upstream: fmt.Sprintf("upstream-%d", i),
				Outcome: access.Served, Attempts: 1,
			})
		}
		return set, nil
	})
}
