// Package metrics counts what a node does, for scraping in the Prometheus text
// format. Label sets are bounded by the table: services, upstreams, outcomes
// and reasons; callers are never labels.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"fuchsiapick.example/fuchsiapick/account"
	"fuchsiapick.example/fuchsiapick/clock"
)

const namespace = "fuchsiapick"

// Book is the account of requests that is counted along.
type Book interface {
	Received()
	Close(now clock.Millis, r account.Record)
	Note(e account.Event)
}

// State is what is read anew at each scrape.
type State interface {
	States() []account.UpstreamState
	Version() uint64
	Busy() int
}

// Config configures a Set.
type Config struct {
	Book  Book
	State State
}

// Set wraps a Book and counts what passes. It is safe for concurrent use.
type Set struct {
	config   Config
	registry *prometheus.Registry
	received prometheus.Counter
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	took     *prometheus.HistogramVec
	events   *prometheus.CounterVec
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
		took: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds",
			Help:    "Time from a request's arrival to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}, []string{"service", "outcome"}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "events_total",
			Help: "Verdicts, path losses, tables and other events by kind.",
		}, []string{"kind"}),
	}
	s.registry.MustRegister(s.received, s.requests, s.attempts, s.took, s.events, &states{source: c.State},
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return s
}

// Handler serves the metrics over HTTP.
func (s *Set) Handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
}

// Received counts a request that reached the entry.
func (s *Set) Received() {
	s.received.Inc()
	s.config.Book.Received()
}

// Close counts a request that was answered.
func (s *Set) Close(now clock.Millis, r account.Record) {
	s.requests.WithLabelValues(r.Service, r.Upstream, string(r.Outcome), r.Reason).Inc()
	s.attempts.WithLabelValues(r.Service).Add(float64(r.Attempts))
	s.took.WithLabelValues(r.Service, string(r.Outcome)).Observe(r.Took.Seconds())
	s.config.Book.Close(now, r)
}

// Note counts an event.
func (s *Set) Note(e account.Event) {
	s.events.WithLabelValues(string(e.Kind)).Inc()
	s.config.Book.Note(e)
}
