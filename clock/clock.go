// Package clock provides the project's time type and the clocks that return it.
//
// Packages that make decisions take times as arguments and never read a clock themselves,
// so that the same code runs in daemons and in simulations with virtual time.
package clock

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// ErrSpan reports a text that is not a duration such as "250ms" or "5s".
const ErrSpan = errors.ConstError("not a span of time")

// Millis is a number of milliseconds, used for instants and durations. An instant counts
// from the origin of the clock that returned it; instants of two clocks can't be
// compared. A duration is the difference of two instants of one clock.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
	Day           = 24 * Hour
)

// FromDuration converts a duration from the standard library, rounding toward zero.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Duration converts a duration for the standard library.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts an instant for libraries that take time.Time. Only differences of the
// results are meaningful; their calendar date is not.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m))
}

// Seconds returns the duration in seconds.
func (m Millis) Seconds() float64 {
	return float64(m) / float64(Second)
}

// String formats a duration as the standard library does, for example "250ms".
func (m Millis) String() string {
	return m.Duration().String()
}

// MarshalText formats a duration as in tables and settings, for example "250ms".
func (m Millis) MarshalText() ([]byte, error) {
	return []byte(m.String()), nil
}

// UnmarshalText parses a duration as in tables and settings. It returns ErrSpan for a
// text that is not a duration or that is finer than a millisecond.
func (m *Millis) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d%time.Millisecond != 0 {
		return errors.Annotatef(ErrSpan, "reading %s", strconv.Quote(string(text)))
	}
	*m = FromDuration(d)
	return nil
}

// System is the process's monotonic clock. Its origin is the call of NewSystem.
// Adjustments of the machine's wall clock don't affect it.
type System struct {
	origin time.Time
}

// NewSystem returns a monotonic clock that starts at zero.
func NewSystem() *System {
	return &System{origin: time.Now()}
}

// Now returns the time since the origin.
func (s *System) Now() Millis {
	return FromDuration(time.Since(s.origin))
}

// Manual is a clock that only Advance moves, for tests and benchmarks in virtual time. It
// starts at zero and is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// Now returns the current time of the clock.
func (c *Manual) Now() Millis {
	return Millis(c.now.Load())
}

// Advance moves the clock by a duration and returns the new time.
func (c *Manual) Advance(duration Millis) Millis {
	return Millis(c.now.Add(int64(duration)))
}
