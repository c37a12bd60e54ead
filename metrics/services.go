package metrics

import (
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/table"
)

// serviceCounters counts for each service the outcomes of requests, and the requests that
// count for or against its objective by the rules of the report's burn rates.
//
// The counters of a service start at 0 as soon as the table names it. A series that appeared
// with its first failure would hide that failure, since Prometheus sees no increase in a
// series' first value.
type serviceCounters struct {
	outcomes          *prometheus.CounterVec
	objectiveRequests *prometheus.CounterVec
	objectiveBad      *prometheus.CounterVec
	objectiveRatio    *prometheus.GaugeVec
	// objectives maps the services of the table in force to their objectives.
	objectives atomic.Pointer[map[string]table.Objective]
}

func newServiceCounters() *serviceCounters {
	s := &serviceCounters{
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "outcomes_total",
			Help: "Requests answered by this node's entry, by service and outcome alone.",
		}, []string{"service", "outcome"}),
		objectiveRequests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "objective_requests_total",
			Help: "Requests that a promise of a service's objective is judged by.",
		}, []string{"service", "promise"}),
		objectiveBad: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "objective_bad_total",
			Help: "Requests that broke a promise of a service's objective.",
		}, []string{"service", "promise"}),
		objectiveRatio: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "objective_ratio",
			Help: "Share of requests, from 0 to 1, that a service's objective promises.",
		}, []string{"service", "promise"}),
	}
	s.objectives.Store(&map[string]table.Objective{})
	return s
}

func (s *serviceCounters) collectors() []prometheus.Collector {
	return []prometheus.Collector{s.outcomes, s.objectiveRequests, s.objectiveBad, s.objectiveRatio}
}

// setServices sets the services of the table in force, deletes the series of those that it no
// longer names, and returns their names.
func (s *serviceCounters) setServices(services []table.Service) []string {
	next := make(map[string]table.Objective, len(services))
	for i := range services {
		next[services[i].Name] = services[i].Objective
		s.initSeries(services[i].Name, services[i].Objective)
	}
	var removed []string
	for name := range *s.objectives.Swap(&next) {
		if _, ok := next[name]; !ok {
			s.deleteSeries(name)
			removed = append(removed, name)
		}
	}
	return removed
}

// initSeries creates those series of a service that don't exist yet, and sets its objective
// ratios.
func (s *serviceCounters) initSeries(service string, o table.Objective) {
	for _, outcome := range []access.Outcome{access.Served, access.NotRun, access.Unknown} {
		s.outcomes.WithLabelValues(service, string(outcome))
	}
	for promise, ratio := range map[burn.Kind]float64{burn.Availability: o.Availability, burn.Latency: o.LatencyRatio} {
		s.objectiveRequests.WithLabelValues(service, string(promise))
		s.objectiveBad.WithLabelValues(service, string(promise))
		s.objectiveRatio.WithLabelValues(service, string(promise)).Set(ratio)
	}
}

func (s *serviceCounters) deleteSeries(service string) {
	labels := prometheus.Labels{"service": service}
	s.outcomes.DeletePartialMatch(labels)
	s.objectiveRequests.DeletePartialMatch(labels)
	s.objectiveBad.DeletePartialMatch(labels)
	s.objectiveRatio.DeletePartialMatch(labels)
}

// count counts one request. It must apply the same rules as package access, or else alerts
// and report contradict each other; TestAlertsAndReportCountSameRequests compares the two.
func (s *serviceCounters) count(r *access.Record) {
	objective, ok := (*s.objectives.Load())[r.Service]
	if !ok {
		return
	}
	s.outcomes.WithLabelValues(r.Service, string(r.Outcome)).Inc()
	if r.Outcome != access.Served && access.IsCallerFault(r.Reason) {
		return
	}
	s.objectiveRequests.WithLabelValues(r.Service, string(burn.Availability)).Inc()
	if r.Outcome != access.Served || r.Status >= http.StatusInternalServerError {
		s.objectiveBad.WithLabelValues(r.Service, string(burn.Availability)).Inc()
		return
	}
	s.objectiveRequests.WithLabelValues(r.Service, string(burn.Latency)).Inc()
	if objective.Latency > 0 && r.Took > objective.Latency {
		s.objectiveBad.WithLabelValues(r.Service, string(burn.Latency)).Inc()
	}
}
