// Package metrics counts what a node does, for scraping in the Prometheus text
// format. Label sets are bounded by the tables of a node's life: services,
// upstreams, outcomes and reasons; callers are never labels.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

const namespace = "fuchsiapick"

// Recorder is the account of requests that is counted along.
type Recorder interface {
	RequestReceived()
	RequestFinished(now clock.Millis, r access.Record)
	RecordEvent(e access.Event)
}

// State is what is read anew at each scrape.
type State interface {
	States() []access.UpstreamState
	Version() uint64
	InFlight() int
}

// Config configures a Set. Book and State are required; what else is left out
// is not exposed.
type Config struct {
	Recorder  Recorder
	State     State
	Readiness Readiness
	Platform  Platform
	Links     Links
	Gates     Gates
	Quotas    Quotas
	LogDrops  LogDrops
	// Requests bounds callers' concurrent requests, as the settings have it.
	Requests int
}

// Set wraps a Book and counts what passes. It is safe for concurrent use.
type Set struct {
	config      Config
	registry    *prometheus.Registry
	received    prometheus.Counter
	requests    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	requestTime *prometheus.HistogramVec
	waitTime    *prometheus.HistogramVec
	notRetried  *prometheus.CounterVec // not sent again
	events      *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	services    *serviceCounters
}

// New returns a set with its registry.
func New(c Config) *Set {
	s := &Set{
		config:   c,
		registry: prometheus.NewRegistry(),
		received: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "received_total",
			Help: "Requests that reached this node's entry.",
		}),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total",
			Help: "Requests answered by this node's entry.",
		}, []string{"service", "upstream", "outcome", "reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total",
			Help: "Tries at requests, retries included.",
		}, []string{"service"}),
		requestTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds",
			Help:    "Time from a request's arrival to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"service", "outcome"}),
		waitTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "wait_seconds",
			Help:    "Time from a request's arrival until its last try was sent.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"service"}),
		notRetried: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "not_retried_total",
			Help: "Requests that failed and were not sent again, by the reason.",
		}, []string{"service", "reason"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "events_total",
			Help: "Verdicts, path losses, tables and other events by kind.",
		}, []string{"kind"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "gate_refusals_total",
			Help: "Dispatches that a gate of this node refused to run.",
		}, []string{"service", "upstream", "reason"}),
		services: newServiceCounters(),
	}
	s.registry.MustRegister(s.received, s.requests, s.attempts, s.requestTime, s.waitTime, s.notRetried, s.events, s.refusals,
		&stateCollector{source: c.State}, &nodeCollector{config: c},
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s.registry.MustRegister(s.services.collectors()...)
	for _, kind := range eventKinds {
		s.events.WithLabelValues(string(kind))
	}
	// A full node refuses before it knows the service.
	s.requests.WithLabelValues("", "", string(access.NotRun), access.ReasonBusy)
	return s
}

// eventKinds of events are counted from 0 on: an alert on the first table that is
// rejected needs a series that was there before.
var eventKinds = []access.EventKind{
	access.Ejected, access.Trial, access.Ramp, access.Restored, access.ForcedUnderFloor,
	access.PathLost, access.PathRestored, access.Crashed, access.Quarantined, access.Released, access.Leaving,
	access.TableAccepted, access.TableRejected, access.TableOlder,
	access.PlatformLost, access.PlatformRestored,
}

// Handler serves the metrics over HTTP.
func (s *Set) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
}

// RequestReceived counts a request that reached the entry.
func (s *Set) RequestReceived() {
	s.received.Inc()
	s.config.Recorder.RequestReceived()
}

// RequestFinished counts a request that was answered.
func (s *Set) RequestFinished(now clock.Millis, r access.Record) {
	s.requests.WithLabelValues(r.Service, r.Upstream, string(r.Outcome), r.Reason).Inc()
	s.attempts.WithLabelValues(r.Service).Add(float64(r.Attempts))
	s.requestTime.WithLabelValues(r.Service, string(r.Outcome)).Observe(r.Took.Seconds())
	if r.Attempts > 0 {
		s.waitTime.WithLabelValues(r.Service).Observe(r.Waited.Seconds())
	}
	if r.NoRetry != "" {
		s.notRetried.WithLabelValues(r.Service, r.NoRetry).Inc()
	}
	s.services.count(&r)
	s.config.Recorder.RequestFinished(now, r)
}

// RecordEvent counts an event.
func (s *Set) RecordEvent(e access.Event) {
	s.events.WithLabelValues(string(e.Kind)).Inc()
	s.config.Recorder.RecordEvent(e)
}

// RecordRefusal counts a dispatch that a gate beside this node refused to run.
func (s *Set) RecordRefusal(service, upstream string, reason wire.Reason) {
	s.refusals.WithLabelValues(service, upstream, string(reason)).Inc()
}

// SetServices takes the table in force: the objectives that requests are judged
// by from now on. Series of services that it no longer names vanish.
func (s *Set) SetServices(services []table.Service) {
	for i := range services {
		// An alert on a spent budget needs a series that was there before.
		s.notRetried.WithLabelValues(services[i].Name, string(retry.NoBudget))
	}
	for _, gone := range s.services.set(services) {
		labels := prometheus.Labels{"service": gone}
		s.requests.DeletePartialMatch(labels)
		s.attempts.DeletePartialMatch(labels)
		s.requestTime.DeletePartialMatch(labels)
		s.waitTime.DeletePartialMatch(labels)
		s.notRetried.DeletePartialMatch(labels)
		s.refusals.DeletePartialMatch(labels)
	}
}
