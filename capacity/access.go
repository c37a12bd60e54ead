package capacity

import (
	"fmt"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// accessLog measures the book of a node.
func accessLog() []Measure {
	return []Measure{
		{
			Role: "access log", Name: "callers kept apart, held", Unit: unitBytes, Against: "callers kept apart",
			Sizes: callersKept(),
			Cost: func(n int) (float64, error) {
				return retainedBytes(func() (any, error) { return filledBook(n, n, 4*n, oneService), nil })
			},
		},
		{
			Role: "access log", Name: "services, held", Unit: unitBytes, Against: "services called",
			Sizes: []int{500, 1000, 2000, 4100}, Target: Services,
			Cost: func(n int) (float64, error) {
				return retainedBytes(func() (any, error) { return filledBook(1, 1, n, n), nil })
			},
		},
		{
			Role: "access log", Name: "records, held", Unit: unitBytes, Against: "records kept",
			Sizes: []int{5_000, 10_000, 20_000, 40_000},
			Cost: func(n int) (float64, error) {
				return retainedBytes(func() (any, error) { return filledBook(n, 1, 2*n, oneService), nil })
			},
		},
		{
			Role: "access log", Name: "requests recorded", Unit: unitMicros, Against: "requests",
			Sizes: []int{2_000, 5_000, 10_000, 20_000},
			Cost: func(n int) (float64, error) {
				b := access.New(access.Config{})
				all := records(n, Callers, oneService)
				return cpuTime(func() error { recordAll(b, all); return nil })
			},
		},
	}
}

const oneService = 1

func callersKept() []int { return []int{250, 500, 1000, 2000} }

// filledBook returns a book with bounds on records and callers that has seen requests.
func filledBook(bound, callers, requests, services int) *access.Log {
	b := access.New(access.Config{Records: bound, Events: 1, Callers: callers})
	recordAll(b, records(requests, 4*callers, services))
	return b
}

func recordAll(b *access.Log, all []access.Record) {
	for i, r := range all {
		b.RequestReceived()
		b.RequestFinished(hour+clock.Millis(i%1000), r)
	}
}

// records returns requests of many callers at the upstreams of the services.
// Half are refused, so that both of a book's rings fill.
func records(requests, callers, services int) []access.Record {
	all := make([]access.Record, 0, requests)
	for i := range requests {
		service := i % services
		r := access.Record{
			ID: fmt.Sprintf("%032x", i), Caller: fmt.Sprintf("caller-%d", i*7919%callers), Route: "/service/route",
			Service: fmt.Sprintf("service-%d", service), Upstream: fmt.Sprintf("upstream-%d", i%perService),
			Domain: "domain-1", Method: "GET", Outcome: access.Served, Status: 200, Attempts: 1,
			Started: hour, Took: 20,
		}
		if i/services%2 == 1 {
			r.Outcome, r.Reason, r.Status = access.NotRun, "full", 503
		}
		all = append(all, r)
	}
	return all
}
