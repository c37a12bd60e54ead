// Package burn counts how fast services spend the error budget of their
// service-level objectives.
//
// A burn rate is the share of bad requests over the share that the objective
// allows: at 1 the budget lasts exactly as long as the objective's period, at
// 14.4 a budget of 30 days is gone in 50 hours. The package is pure: it does
// no I/O and takes instants as arguments.
package burn

import (
	"maps"
	"slices"
	"strings"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Spans are the windows that burn is counted over, the shortest first.
var Spans = []clock.Millis{5 * clock.Minute, clock.Hour, 6 * clock.Hour, 3 * clock.Day}

const (
	// bucketsPerWindow is how many buckets a window is cut into. One more is kept, so
	// that a window spans its length and at most a twelfth more.
	bucketsPerWindow = 12
	// DefaultServices is above the 4,100 services of the size to design for.
	// A service takes about 2 KB.
	DefaultServices = 5000
	// DefaultCauses keeps causes within about 1 MB.
	DefaultCauses = 8192
	// Other stands for the upstreams and reasons beyond a bound.
	Other = "other"
)

// Config bounds a Meter's memory. A bound of zero or less takes its default.
type Config struct {
	// Services bounds the services counted.
	Services int
	// Causes bounds the pairs of upstream and reason kept apart, over all
	// services and buckets; the rest is counted as Other.
	Causes int
}

// Sample is what one request means for its service's objective. A request that
// was refused or failed by its caller's own fault is no sample.
type Sample struct {
	// Failed means that the caller got no good answer, and the service or the
	// fleet is to answer for it.
	Failed bool
	// Slow means that a good answer came later than the objective says.
	Slow     bool
	Upstream string
	Reason   string
}

// Meter counts samples of many services in a bounded number of time buckets.
// It isn't safe for concurrent use.
type Meter struct {
	config    Config
	services  map[string]*series
	causes    int
	unmetered uint64
}

// series holds one service's buckets, a row for each of Spans.
type series [4][bucketsPerWindow + 1]bucket

// bucket counts the samples of one slice of time.
type bucket struct {
	// index is the slice's number since the clock's origin, plus one; zero
	// means that the bucket was never used.
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

// Add counts a sample of the service at the instant.
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
		m.count(m.bucketAt(&rows[i], now, span), s)
	}
}

// bucketAt returns the bucket of the instant, emptied if it held an older one.
func (m *Meter) bucketAt(row *[bucketsPerWindow + 1]bucket, now, span clock.Millis) *bucket {
	index := bucketIndex(now, span)
	b := &row[index%int64(len(row))]
	if b.index != index {
		m.causes -= len(b.causes)
		*b = bucket{index: index}
	}
	return b
}

func bucketIndex(now, span clock.Millis) int64 {
	return int64(now/(span/bucketsPerWindow)) + 1
}

func (m *Meter) count(b *bucket, s Sample) {
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

// Unmetered returns how many samples were left out because they were of a
// service beyond the bound.
func (m *Meter) Unmetered() uint64 {
	return m.unmetered
}

// Services returns the names of the services counted, in order.
func (m *Meter) Services() []string {
	return slices.Sorted(maps.Keys(m.services))
}

// Windows returns the service's counts over each of Spans, as far back as the
// life, the span since the node started, reaches.
func (m *Meter) Windows(now, life clock.Millis, service string) []Window {
	rows := m.services[service]
	if rows == nil {
		return nil
	}
	windows := make([]Window, 0, len(Spans))
	for i, span := range Spans {
		covered := min(span, life)
		w := newSum(span, covered, covered)
		last := bucketIndex(now, span)
		for age := range int64(bucketsPerWindow + 1) {
			b := &rows[i][max(last-age, 0)%(bucketsPerWindow+1)]
			if b.index == last-age && b.total > 0 {
				w.addBucket(b, int(age))
			}
		}
		windows = append(windows, w.window())
	}
	return windows
}
