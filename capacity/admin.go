package capacity

import (
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/metrics"
)

// adminMeasures returns the measures of what a node's admin address serves.
func adminMeasures() []Measure {
	return []Measure{
		{
			Role: "admin", Name: "report without records", Unit: unitBytes, Against: "callers kept apart",
			Sizes: callerCounts(),
			Cost: func(n int) (float64, error) {
				return snapshotSize(filledLog(n, n, 4*n, singleService), access.Filter{Limit: 1})
			},
		},
		{
			Role: "admin", Name: "report without records", Unit: unitBytes, Against: "services called",
			Sizes: []int{500, 1000, 2000, 4100}, Target: Services,
			Cost: func(n int) (float64, error) {
				return snapshotSize(filledLog(1, 1, n, n), access.Filter{Limit: 1})
			},
		},
		{
			Role: "admin", Name: "report of all records", Unit: unitBytes, Against: "records kept",
			Sizes: []int{2_500, 5_000, 10_000, 20_000},
			Cost: func(n int) (float64, error) {
				return snapshotSize(filledLog(n, 1, 2*n, singleService), access.Filter{})
			},
		},
		{
			Role: "admin", Name: "counters of requests, held", Unit: unitBytes, Against: "upstreams called",
			Sizes: []int{250, 1000, 2500, 5000}, Target: Upstreams,
			Cost: counterMemory,
		},
		{
			Role: "admin", Name: "metrics", Unit: unitBytes, Against: "upstreams in view",
			Sizes: []int{250, 1000, 2500, 5000}, Target: Upstreams,
			Cost: func(n int) (float64, error) {
				body := metricsScraper(n)
				return float64(len(body())), nil
			},
		},
		{
			Role: "admin", Name: "metrics", Unit: unitMicros, Against: "upstreams in view",
			Sizes: []int{250, 1000, 2500, 5000}, Target: Upstreams,
			Cost: func(n int) (float64, error) {
				body := metricsScraper(n)
				return cpuTime(func() error { body(); return nil })
			},
		},
	}
}

// snapshotSize returns the size of the log's JSON snapshot in bytes.
func snapshotSize(log *access.Log, f access.Filter) (float64, error) {
	body, err := json.Marshal(log.Snapshot(2*hour, f))
	return float64(len(body)), err
}

// metricsState is the state that the metrics of a node with this number of upstreams report.
type metricsState int

// States returns the states of the upstreams, which are all in use.
func (s metricsState) States() []access.UpstreamState {
	all := make([]access.UpstreamState, 0, s)
	for i := range int(s) {
		all = append(all, access.UpstreamState{
			Service: fmt.Sprintf("service-%d", i/upstreamsPerService), Name: fmt.Sprintf("upstream-%d", i),
			Domain: "domain-1", State: access.StateInUse,
		})
	}
	return all
}

// Version returns the version of a table in force.
func (metricsState) Version() uint64 { return 1 }

// InFlight returns 0.
func (metricsState) InFlight() int { return 0 }

// metricsScraper returns a function that returns the metrics page of a node with so many
// upstreams.
func metricsScraper(upstreams int) func() []byte {
	set := metrics.New(metrics.Config{Recorder: access.New(access.Config{Records: 1}), State: metricsState(upstreams)})
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

// counterMemory returns the memory in bytes of the request counters after each upstream
// has served a request.
func counterMemory(upstreams int) (float64, error) {
	return retainedBytes(func() (any, error) {
		set := metrics.New(metrics.Config{Recorder: discardRecorder{}, State: metricsState(0)})
		for i := range upstreams {
			set.RequestFinished(hour, access.Record{
				Service: fmt.Sprintf("service-%d", i/upstreamsPerService), Upstream: fmt.Sprintf("upstream-%d", i),
				Outcome: access.Served, Attempts: 1,
			})
		}
		return set, nil
	})
}
