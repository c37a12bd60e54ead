package metrics

import (
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"fuchsiapick.example/fuchsiapick/account"
	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/table"
)

// objectives counts what the services' objectives are judged by, as the
// report's burn does.
//
// The counters of a service begin at 0 as soon as the table names it. A series
// that appeared with its first failure would hide it: the store sees no
// increase in a series' first value.
type objectives struct {
	requests *prometheus.CounterVec
	bad      *prometheus.CounterVec
	promised *prometheus.GaugeVec
	services atomic.Pointer[map[string]table.Objective]
}

func newObjectives() *objectives {
	o := &objectives{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "objective_requests_total",
			Help: "Requests that a promise of a service's objective is judged by.",
		}, []string{"service", "promise"}),
		bad: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "objective_bad_total",
			Help: "Requests that broke a promise of a service's objective.",
		}, []string{"service", "promise"}),
		promised: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "objective_ratio",
			Help: "Share of requests, from 0 to 1, that a service's objective promises.",
		}, []string{"service", "promise"}),
	}
	o.services.Store(&map[string]table.Objective{})
	return o
}

func (o *objectives) collectors() []prometheus.Collector {
	return []prometheus.Collector{o.requests, o.bad, o.promised}
}

// set takes the objectives of the table in force.
func (o *objectives) set(services []table.Service) {
	next := make(map[string]table.Objective, len(services))
	for i := range services {
		s := &services[i]
		next[s.Name] = s.Objective
		for promise, ratio := range map[burn.Kind]float64{
			burn.Availability: s.Objective.Availability,
			burn.Latency:      s.Objective.Within,
		} {
			o.requests.WithLabelValues(s.Name, string(promise))
			o.bad.WithLabelValues(s.Name, string(promise))
			o.promised.WithLabelValues(s.Name, string(promise)).Set(ratio)
		}
	}
	for name := range *o.services.Swap(&next) {
		if _, ok := next[name]; !ok {
			o.forget(name)
		}
	}
}

func (o *objectives) forget(service string) {
	labels := prometheus.Labels{"service": service}
	o.requests.DeletePartialMatch(labels)
	o.bad.DeletePartialMatch(labels)
	o.promised.DeletePartialMatch(labels)
}

// count judges one request. It must judge as package account does, or alerts
// and report contradict each other; a test holds the two together.
func (o *objectives) count(r *account.Record) {
	objective, ok := (*o.services.Load())[r.Service]
	if !ok || (r.Outcome != account.Served && account.FaultOfCaller(r.Reason)) {
		return
	}
	o.requests.WithLabelValues(r.Service, string(burn.Availability)).Inc()
	if r.Outcome != account.Served || r.Status >= http.StatusInternalServerError {
		o.bad.WithLabelValues(r.Service, string(burn.Availability)).Inc()
		return
	}
	o.requests.WithLabelValues(r.Service, string(burn.Latency)).Inc()
	if objective.Latency > 0 && r.Took > objective.Latency {
		o.bad.WithLabelValues(r.Service, string(burn.Latency)).Inc()
	}
}
