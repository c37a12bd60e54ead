package capacity

import (
	"fmt"

	"fuchsiapick.example/fuchsiapick/account"
	"fuchsiapick.example/fuchsiapick/clock"
)

// accounts measures the book of a node.
func accounts() []Measure {
	return []Measure{
		{
			Role: "accounts", Name: "callers kept apart, held", Unit: unitBytes, Against: "callers kept apart",
			Sizes: callersKept(),
			Cost: func(n int) (float64, error) {
				return held(func() (any, error) { return book(n, n, 4*n, oneService), nil })
			},
		},
		{
			Role: "accounts", Name: "services, held", Unit: unitBytes, Against: "services called",
			Sizes: []int{500, 1000, 2000, 4100}, Target: Services,
			Cost: func(n int) (float64, error) {
				return held(func() (any, error) { return book(1, 1, n, n), nil })
			},
		},
		{
			Role: "accounts", Name: "records, held", Unit: unitBytes, Against: "records kept",
			Sizes: []int{5_000, 10_000, 20_000, 40_000},
			Cost: func(n int) (float64, error) {
				return held(func() (any, error) { return book(n, 1, 2*n, oneService), nil })
			},
		},
		{
			Role: "accounts", Name: "requests accounted for", Unit: unitMicros, Against: "requests",
			Sizes: []int{2_000, 5_000, 10_000, 20_000},
			Cost: func(n int) (float64, error) {
				b := account.New(account.Config{})
				return spent(func() error { fill(b, n, Callers, oneService); return nil })
			},
		},
	}
}

const oneService = 1

func callersKept() []int { return []int{250, 500, 1000, 2000} }

// book returns a book with bounds that has seen requests.
func book(records, callers, requests, services int) *account.Book {
	b := account.New(account.Config{Records: records, Events: 1, Callers: callers})
	fill(b, requests, 4*callers, services)
	return b
}

// fill enters requests of many callers at the upstreams of the services. Half
// are refused, so that both rings of records fill.
func fill(b *account.Book, requests, callers, services int) {
	for i := range requests {
		service := i % services
		r := account.Record{
			ID: fmt.Sprintf("%032x", i), Caller: fmt.Sprintf("caller-%d", i*7919%callers), Route: "/service/route",
			Service: fmt.Sprintf("service-%d", service), Upstream: fmt.Sprintf("upstream-%d", i%perService),
			Domain: "domain-1", Method: "GET", Outcome: account.Served, Status: 200, Attempts: 1,
			Started: hour, Took: 20,
		}
		if i/services%2 == 1 {
			r.Outcome, r.Reason, r.Status = account.NotRun, "full", 503
		}
		b.Received()
		b.Close(hour+clock.Millis(i%1000), r)
	}
}
