package floor

import "fuchsiapick.example/fuchsiapick/clock"

// LastingSpan is how long a shortage must last until its members count as forced, and how
// long a member must not be forced until it no longer counts. Severities are estimates of
// different ages that drift between updates: a request that fails at a forced member makes
// it the worst, so that it is ejected and another member is forced in its place until the
// next request. These exchanges take milliseconds to some hundred milliseconds, a shortage
// of capacity takes seconds.
const LastingSpan = clock.Second

// Lasting decides when a member counts as forced, however often it is exchanged for another
// one meanwhile. The zero Lasting is a member that isn't forced.
type Lasting struct {
	isActive    bool // forced at lastAt, and since then not out of use for a span
	isCounted   bool
	since       clock.Millis // start of the time in which isActive is set
	lastForceAt clock.Millis
}

// IsActive reports whether the member was forced within the last span before Update. One that
// isn't active needs no further updates until it is forced.
func (l *Lasting) IsActive() bool { return l.isActive }

// Update records a member's use and reports whether the member begins to count as forced: a
// span has passed since it was first forced, and in between it was never out of use for a
// span. Update reports that at most once in two spans. With a span of 0 each change counts.
func (l *Lasting) Update(now clock.Millis, use Use, span clock.Millis) bool {
	if use != Forced {
		if now-l.lastForceAt >= span {
			*l = Lasting{}
		}
		return false
	}
	if !l.isActive {
		l.isActive, l.since = true, now
	}
	l.lastForceAt = now
	if l.isCounted || now-l.since < span {
		return false
	}
	l.isCounted = true
	return true
}
