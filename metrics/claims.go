package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/waiting"
)

// claimCounters counts the claims of requests that wait for a slot of their whole service.
type claimCounters struct {
	claims *prometheus.CounterVec
	waits  *prometheus.HistogramVec
}

func newClaimCounters() *claimCounters {
	return &claimCounters{
		claims: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "claims_total",
			Help: "Claims of waiting requests at gates, by how they ended.",
		}, []string{"service", "result"}),
		waits: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "claim_wait_seconds",
			Help:    "Time from a request's arrival until a gate granted its claim.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"service"}),
	}
}

// setServices creates the series of the services whose requests make claims. They start at 0,
// because Prometheus sees no increase in a series' first value.
func (c *claimCounters) setServices(services []table.Service) {
	for i := range services {
		if services[i].Waiting != table.WaitForService {
			continue
		}
		for _, outcome := range waiting.Outcomes {
			c.claims.WithLabelValues(services[i].Name, string(outcome))
		}
		c.waits.WithLabelValues(services[i].Name)
	}
}

func (c *claimCounters) deleteSeries(labels prometheus.Labels) {
	c.claims.DeletePartialMatch(labels)
	c.waits.DeletePartialMatch(labels)
}

// RecordClaim counts a claim that has ended.
func (s *Set) RecordClaim(service string, outcome waiting.Outcome) {
	s.claims.claims.WithLabelValues(service, string(outcome)).Inc()
}

// RecordClaimWait records how long a request has waited for the slot that it got.
func (s *Set) RecordClaimWait(service string, wait clock.Millis) {
	s.claims.waits.WithLabelValues(service).Observe(wait.Seconds())
}
