package capacity

import (
	"fmt"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// accessLogMeasures returns the measures of a node's access log.
func accessLogMeasures() []Measure {
	return []Measure{
		{
			Role: "access log", Name: "callers kept apart, held", Unit: unitBytes, Against: "callers kept apart",
			Sizes: callerCounts(),
			Cost: func(n int) (float64, error) {
				return retainedBytes(func() (any, error) { return filledLog(n, n, 4*n, singleService), nil })
			},
		},
		{
			Role: "access log", Name: "services, held", Unit: unitBytes, Against: "services called",
			Sizes: []int{500, 1000, 2000, 4100}, Target: Services,
			Cost: func(n int) (float64, error) {
				return retainedBytes(func() (any, error) { return filledLog(1, 1, n, n), nil })
			},
		},
		{
			Role: "access log", Name: "records, held", Unit: unitBytes, Against: "records kept",
			Sizes: []int{5_000, 10_000, 20_000, 40_000},
			Cost: func(n int) (float64, error) {
				return retainedBytes(func() (any, error) { return filledLog(n, 1, 2*n, singleService), nil })
			},
		},
		{
			Role: "access log", Name: "requests recorded", Unit: unitMicros, Against: "requests",
			Sizes: []int{2_000, 5_000, 10_000, 20_000},
			Cost: func(n int) (float64, error) {
				log := access.New(access.Config{})
				all := records(n, Callers, singleService)
				return cpuTime(func() error { recordAll(log, all); return nil })
			},
		},
	}
}

const singleService = 1

func callerCounts() []int { return []int{250, 500, 1000, 2000} }

// filledLog returns an access log that keeps at most maxRecords records and the totals of
// maxCallers callers, and has recorded requests of four times as many callers.
func filledLog(maxRecords, maxCallers, requests, services int) *access.Log {
	log := access.New(access.Config{Records: maxRecords, Events: 1, Callers: maxCallers})
	recordAll(log, records(requests, 4*maxCallers, services))
	return log
}

func recordAll(log *access.Log, all []access.Record) {
	for i, r := range all {
		log.RequestReceived()
		log.RequestFinished(hour+clock.Millis(i%1000), r)
	}
}

// records returns the records of requests whose callers, services and upstreams vary.
// Half of the requests are refused, so that both ring buffers of an access log fill: one
// holds served requests, the other one the rest.
func records(requests, callers, services int) []access.Record {
	all := make([]access.Record, 0, requests)
	for i := range requests {
		service := i % services
		r := access.Record{
			ID: fmt.Sprintf("%032x", i), Caller: fmt.Sprintf("caller-%d", i*7919%callers), Route: "/service/route",
			Service: fmt.Sprintf("service-%d", service), Upstream: fmt.Sprintf("upstream-%d", i%upstreamsPerService),
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
