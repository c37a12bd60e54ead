package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/table"
)

// deliveryCounters measures the parts of callers' waits that lie before and after the handling
// of their requests, and counts the answers that came after their requests' timeouts.
type deliveryCounters struct {
	queued  *prometheus.HistogramVec
	written *prometheus.HistogramVec
	late    *prometheus.CounterVec
}

func newDeliveryCounters() *deliveryCounters {
	return &deliveryCounters{
		queued: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "queued_seconds",
			Help:    "Time from a request's arrival until the entry handled it.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 8),
		}, []string{"service"}),
		written: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "written_seconds",
			Help:    "Time from the decision on an answer until it was written.",
			Buckets: prometheus.ExponentialBuckets(0.001, 4, 8),
		}, []string{"service"}),
		late: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "late_answers_total",
			Help: "Answers written after their requests' timeouts, by the phase without which they would have been in time.",
		}, []string{"service", "phase"}),
	}
}

func (c *deliveryCounters) collectors() []prometheus.Collector {
	return []prometheus.Collector{c.queued, c.written, c.late}
}

// setServices creates the series that start at 0, because Prometheus sees no increase in a series'
// first value.
func (c *deliveryCounters) setServices(services []table.Service) {
	for i := range services {
		for _, phase := range access.Phases {
			c.late.WithLabelValues(services[i].Name, string(phase))
		}
	}
}

func (c *deliveryCounters) deleteSeries(labels prometheus.Labels) {
	c.queued.DeletePartialMatch(labels)
	c.written.DeletePartialMatch(labels)
	c.late.DeletePartialMatch(labels)
}

// RecordDelivery records when the answer to a request was written.
func (s *Set) RecordDelivery(service string, d access.Delivery) {
	s.deliveries.queued.WithLabelValues(service).Observe(d.Queued.Seconds())
	s.deliveries.written.WithLabelValues(service).Observe(d.Written.Seconds())
	if d.IsLate() {
		s.deliveries.late.WithLabelValues(service, string(d.LatePhase())).Inc()
	}
}
