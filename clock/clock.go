// Package clock holds the project's one time type and the sources of it.
//
// Decision packages take instants as arguments and never read a source
// themselves, so that the same code runs in daemons and in virtual time.
package clock

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// ErrSpan reports a text that is not a span of time such as "250ms" or "5s".
const ErrSpan = errors.ConstError("not a span of time")

// Millis counts milliseconds. As an instant it counts from the origin of the
// source that gave it; instants of two sources can't be compared. As a span it
// is the difference of two instants of one source.
type Millis int64

// Spans used throughout the project.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
	Day           = 24 * Hour
)

// FromDuration converts a span, rounding towards zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Duration converts a span for the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts an instant for libraries that take time.Time. The result is
// only good for differences: its calendar date means nothing.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m))
}

// Seconds returns the span in seconds.
func (m Millis) Seconds() float64 {
	return float64(m) / float64(Second)
}

// String writes a span as the standard library writes durations.
func (m Millis) String() string {
	return m.Duration().String()
}

// MarshalText writes a span as tables and settings do, for example "250ms".
func (m Millis) MarshalText() ([]byte, error) {
	return []byte(m.String()), nil
}

// UnmarshalText reads a span as tables and settings write it. It returns
// ErrSpan for a text that is no span or that is finer than a millisecond.
func (m *Millis) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d%time.Millisecond != 0 {
		return errors.Annotatef(ErrSpan, "reading %s", strconv.Quote(string(text)))
	}
	*m = FromDuration(d)
	return nil
}

// System is the process's monotonic clock. Its origin is the call of
// NewSystem. Steps of the machine's calendar clock don't move it.
type System struct {
	origin time.Time
}

// NewSystem starts a monotonic clock at zero.
func NewSystem() *System {
	return &System{origin: time.Now()}
}

// Now returns the time since the origin.
func (s *System) Now() Millis {
	return FromDuration(time.Since(s.origin))
}

// Manual is a clock that moves only when told, for tests and benchmarks in
// virtual time. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// Now returns the instant last set.
func (c *Manual) Now() Millis {
	return Millis(c.now.Load())
}

// Advance moves the clock by the span and returns the new instant.
func (c *Manual) Advance(span Millis) Millis {
	return Millis(c.now.Add(int64(span)))
}
