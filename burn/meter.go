// Package burn computes how fast services spend the error budgets of their service-level
// objectives.
//
// A burn rate is the share of bad requests over the share that the objective allows: at 1
// the budget lasts exactly as long as the objective's period, at 14.4 a budget for 30 days
// is spent in 50 hours. The package does no I/O and takes instants as arguments.
package burn

import (
	"maps"
	"slices"
	"strings"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Spans are the lengths of the windows over which requests are counted, the shortest first.
var Spans = []clock.Millis{5 * clock.Minute, clock.Hour, 6 * clock.Hour, 3 * clock.Day}

const (
	// bucketsPerWindow is the number of buckets that a window is divided into. One more is
	// kept, so that the buckets cover the window and at most a twelfth more.
	bucketsPerWindow = 12
	// DefaultServices is above the 4,100 services that the design must support. A service
	// takes about 2 KB.
	DefaultServices = 5000
	// DefaultCauses limits the memory for causes to about 1 MB.
	DefaultCauses = 8192
	// Other stands for the upstreams and reasons of samples counted without their cause,
	// because the bound on causes was reached.
	Other = "other"
)

// Config bounds a Meter's memory. A bound of zero or less takes its default.
type Config struct {
	// Services bounds the number of services counted.
	Services int
	// Causes bounds the number of causes that are counted separately, summed over all
	// services and buckets; the rest is counted as Other.
	Causes int
}

// Sample is the result of one request, for the objective of its service. A request that was
// refused or failed through its caller's fault must not be sampled.
type Sample struct {
	// Failed means that the caller got no good answer, and the service or the fleet is
	// the cause.
	Failed bool
	// Slow means that a good answer came later than the objective's latency.
	Slow     bool
	Upstream string
	Reason   string
}

// Meter counts the samples of many services in a bounded number of time buckets. It isn't
// safe for concurrent use.
type Meter struct {
	config    Config
	services  map[string]*series
	causes    int
	unmetered uint64
}

// series holds one service's buckets, a row for each of Spans.
type series [4][bucketsPerWindow + 1]bucket

// bucket counts the samples of one period of time.
type bucket struct {
	// index is the number of the period since the clock's origin, plus one; zero means
	// that the bucket was never used.
	index  int64
	total  uint32
	failed uint32
	slow   uint32
	causes map[Cause]uint32
}

// NewMeter returns an empty Meter.
func NewMeter(c Config) *Meter {
	if c.Services <= 0 {
		c.Services = DefaultServices
	}
	if c.Causes <= 0 {
		c.Causes = DefaultCauses
	}
	return &Meter{config: c, services: make(map[string]*series)}
}

// Add counts a sample of the service at the instant now. A sample of a service beyond
// Config.Services is left out and counted in Unmetered.
func (m *Meter) Add(now clock.Millis, service string, s Sample) {
	rows := m.services[service]
	if rows == nil {
		if len(m.services) >= m.config.Services {
			m.unmetered++
			return
		}
		rows = new(series)
		m.services[strings.Clone(service)] = rows
	}
	for i, span := range Spans {
		m.countSample(m.bucketAt(&rows[i], now, span), s)
	}
}

// bucketAt returns the bucket of the instant, cleared if it held an older period.
func (m *Meter) bucketAt(row *[bucketsPerWindow + 1]bucket, now, span clock.Millis) *bucket {
	index := bucketIndex(now, span)
	b := &row[index%int64(len(row))]
	if b.index != index {
		m.causes -= len(b.causes)
		*b = bucket{index: index}
	}
	return b
}

// bucketIndex returns the bucket.index of an instant, for a window of the span.
func bucketIndex(now, span clock.Millis) int64 {
	return int64(now/(span/bucketsPerWindow)) + 1
}

func (m *Meter) countSample(b *bucket, s Sample) {
	b.total++
	var c Cause
	switch {
	case s.Failed:
		b.failed++
		c = Cause{Kind: Availability, Upstream: s.Upstream, Reason: s.Reason}
	case s.Slow:
		b.slow++
		c = Cause{Kind: Latency, Upstream: s.Upstream, Reason: s.Reason}
	default:
		return
	}
	if _, known := b.causes[c]; !known {
		if m.causes >= m.config.Causes {
			return
		}
		if b.causes == nil {
			b.causes = make(map[Cause]uint32)
		}
		m.causes++
	}
	b.causes[c]++
}

// Unmetered returns the number of samples left out because their service was beyond the
// bound on services.
func (m *Meter) Unmetered() uint64 {
	return m.unmetered
}

// Services returns the sorted names of the services counted.
func (m *Meter) Services() []string {
	return slices.Sorted(maps.Keys(m.services))
}

// Windows returns the service's counts over each of Spans, nil if it has none. The uptime is
// the time since the node started; a window covers no more than that.
func (m *Meter) Windows(now, uptime clock.Millis, service string) []Window {
	rows := m.services[service]
	if rows == nil {
		return nil
	}
	windows := make([]Window, 0, len(Spans))
	for i, span := range Spans {
		covered := min(span, uptime)
		sum := newSum(span, covered, covered)
		newest := bucketIndex(now, span)
		for age := range int64(bucketsPerWindow + 1) {
			b := &rows[i][max(newest-age, 0)%(bucketsPerWindow+1)]
			if b.index == newest-age && b.total > 0 {
				sum.addBucket(b, int(age))
			}
		}
		windows = append(windows, sum.window())
	}
	return windows
}
