// Package metrics exposes a node's metrics in the Prometheus text format. The label values
// are services, upstreams, outcomes and reasons, so that the tables that a node has had in
// force bound the number of series; callers are never labels.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

const namespace = "fuchsiapick"

// Recorder records requests and events. Set passes on to it what it counts.
type Recorder interface {
	RequestReceived()
	RequestFinished(now clock.Millis, r access.Record)
	RecordEvent(e access.Event)
}

// State provides the node's state, which is read at each scrape.
type State interface {
	States() []access.UpstreamState
	Version() uint64
	InFlight() int
}

// Config configures a Set. Recorder and State are required. The metrics of any other field
// that is left out are not exposed.
type Config struct {
	Recorder  Recorder
	State     State
	Readiness Readiness
	Platform  Platform
	Links     Links
	Gates     Gates
	Quotas    Quotas
	LogDrops  LogDrops
	Panics    Panics
	Restarts  Restarts
	// Requests is the maximum number of concurrent requests from callers, as set in the
	// settings.
	Requests int
	// Memory bounds the bodies that the node holds.
	Memory Memory
	// Answers bounds the large answers that the node holds.
	Answers Memory
}

// Memory provides the bytes that the node counts and their bound, 0 without one.
type Memory interface {
	Held() int64
	Bound() int64
}

// Set wraps a Recorder and counts the requests and events that it passes on. It is safe for
// concurrent use.
type Set struct {
	config      Config
	registry    *prometheus.Registry
	received    prometheus.Counter
	requests    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	requestTime *prometheus.HistogramVec
	waitTime    *prometheus.HistogramVec
	notRetried  *prometheus.CounterVec
	events      *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	retries     *prometheus.CounterVec
	displaced   *prometheus.CounterVec
	crossBytes  *prometheus.CounterVec
	services    *serviceCounters
	claims      *claimCounters
	deliveries  *deliveryCounters
}

// New returns a set with a registry of its own.
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
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "retries_total",
			Help: "Retries that a retry budget of this node granted or denied, by the reason.",
		}, []string{"service", "result"}),
		displaced: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "share_displaced_total",
			Help: "Waiters whose queue position a gate of this node gave to a request of another account or priority.",
		}, []string{"service"}),
		crossBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "cross_domain_bytes_total",
			Help: "Bytes of the bodies of requests and responses that crossed between failure domains.",
		}, []string{"service"}),
		services: newServiceCounters(),
		claims:   newClaimCounters(),

		deliveries: newDeliveryCounters(),
	}
	s.registry.MustRegister(s.received, s.requests, s.attempts, s.requestTime, s.waitTime, s.notRetried, s.events, s.refusals, s.retries, s.displaced, s.crossBytes,
		&stateCollector{source: c.State, panics: c.Panics}, &nodeCollector{config: c},
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s.registry.MustRegister(s.services.collectors()...)
	s.registry.MustRegister(s.claims.claims, s.claims.waits)
	s.registry.MustRegister(s.deliveries.collectors()...)
	for _, kind := range eventKinds {
		s.events.WithLabelValues(string(kind))
	}
	// A node at its request limit refuses a request before it knows the service, so this
	// series has empty labels for service and upstream.
	s.requests.WithLabelValues("", "", string(access.NotRun), access.ReasonBusy)
	return s
}

// eventKinds holds the kinds of events whose series start at 0. Without an earlier value, an
// alert would miss the first rejected table.
var eventKinds = []access.EventKind{
	access.Ejected, access.Trial, access.Ramp, access.Restored, access.ForcedUnderFloor,
	access.PathLost, access.PathRestored, access.Crashed, access.Quarantined, access.Released, access.Leaving,
	access.TableAccepted, access.TableRejected, access.TableOlder,
	access.PlatformLost, access.PlatformRestored,
}

// Handler returns the HTTP handler that serves the metrics.
func (s *Set) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
}

// RequestReceived counts a request that reached the entry.
func (s *Set) RequestReceived() {
	s.received.Inc()
	s.config.Recorder.RequestReceived()
}

// RequestFinished counts a request that was answered at now.
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
	s.crossBytes.WithLabelValues(r.Service).Add(float64(r.CrossBytes))
	s.services.count(&r)
	s.config.Recorder.RequestFinished(now, r)
}

// RecordEvent counts an event.
func (s *Set) RecordEvent(e access.Event) {
	s.events.WithLabelValues(string(e.Kind)).Inc()
	s.config.Recorder.RecordEvent(e)
}

// RecordRefusal counts a dispatch that a gate of this node refused to run.
func (s *Set) RecordRefusal(service, upstream string, reason wire.Reason) {
	s.refusals.WithLabelValues(service, upstream, string(reason)).Inc()
}

// RecordRetry counts a ruling of a retry budget of this node.
func (s *Set) RecordRetry(service string, ruling retry.Ruling) {
	s.retries.WithLabelValues(service, string(ruling)).Inc()
}

// RetryCounts returns the rulings on the service's retries since the node started or the
// table first named the service.
func (s *Set) RetryCounts(service string) access.RetryCounts {
	count := func(ruling retry.Ruling) uint64 {
		var m dto.Metric
		if err := s.retries.WithLabelValues(service, string(ruling)).Write(&m); err != nil {
			return 0 // a counter without exemplars has nothing that can fail to encode
		}
		return uint64(m.GetCounter().GetValue())
	}
	return access.RetryCounts{
		Granted: count(retry.Granted), Quota: count(retry.DeniedQuota), LikelyFails: count(retry.DeniedLikelyFails),
		Priority: count(retry.DeniedPriority), Overload: count(retry.DeniedOverload), Attempts: count(retry.DeniedAttempts),
	}
}

// RecordDisplacement counts a waiter that a gate of this node displaced from its queue.
func (s *Set) RecordDisplacement(service string) {
	s.displaced.WithLabelValues(service).Inc()
}

// SetServices sets the services of the table in force, whose objectives apply to requests
// from now on. It deletes the series of services that the table no longer names.
func (s *Set) SetServices(services []table.Service) {
	for i := range services {
		// An alert on a spent retry budget would miss the first request without an earlier
		// value of the series.
		s.notRetried.WithLabelValues(services[i].Name, string(retry.NoBudget))
		for _, ruling := range retry.Rulings {
			s.retries.WithLabelValues(services[i].Name, string(ruling))
		}
		s.displaced.WithLabelValues(services[i].Name)
	}
	s.claims.setServices(services)
	s.deliveries.setServices(services)
	for _, removed := range s.services.setServices(services) {
		labels := prometheus.Labels{"service": removed}
		s.requests.DeletePartialMatch(labels)
		s.attempts.DeletePartialMatch(labels)
		s.requestTime.DeletePartialMatch(labels)
		s.waitTime.DeletePartialMatch(labels)
		s.notRetried.DeletePartialMatch(labels)
		s.refusals.DeletePartialMatch(labels)
		s.retries.DeletePartialMatch(labels)
		s.claims.deleteSeries(labels)
		s.deliveries.deleteSeries(labels)
		s.displaced.DeletePartialMatch(labels)
		s.crossBytes.DeletePartialMatch(labels)
	}
}
