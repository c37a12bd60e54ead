package mirror

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// maxAwaited bounds the changes that are remembered as unread; the first ones count.
const maxAwaited = 64

// lag tells for how long a node has known of changes that it has not read. It is not
// safe for concurrent use.
type lag struct {
	// awaited holds the revisions that peers have told of, in order, with the instants
	// at which they did.
	awaited []awaitedRevision
	// lastReported is the span at which it was last said that changes are late, 0 while they
	// aren't.
	lastReported clock.Millis
}

// awaitedRevision is a revision that a peer has told of.
type awaitedRevision struct {
	revision uint64
	since    clock.Millis
	isLarge  bool
}

// recordUpdate takes in that a peer knows the store up to a revision, and this node doesn't, and
// whether there are changes that are too large to be told.
func (l *lag) recordUpdate(now clock.Millis, revision uint64, isLarge bool) {
	if len(l.awaited) == maxAwaited || (len(l.awaited) > 0 && l.awaited[len(l.awaited)-1].revision >= revision) {
		return
	}
	l.awaited = append(l.awaited, awaitedRevision{revision, now, isLarge})
}

// recordRead takes in that all changes up to a revision are known. It returns how long the
// oldest had been awaited if that was late and what is left is not, else 0.
func (l *lag) recordRead(now, bound clock.Millis, revision uint64) clock.Millis {
	span := l.span(now)
	for len(l.awaited) > 0 && l.awaited[0].revision <= revision {
		l.awaited = l.awaited[1:]
	}
	if l.lastReported == 0 || l.span(now) > bound {
		return 0
	}
	l.lastReported = 0
	return span
}

// span is for how long the oldest change that is known of has not been read.
func (l *lag) span(now clock.Millis) clock.Millis {
	if len(l.awaited) == 0 {
		return 0
	}
	return now - l.awaited[0].since
}

// late reports whether a change has been awaited for longer than the bound, and whether
// that is to be said now: at first, and whenever the span has doubled since.
func (l *lag) late(now, bound clock.Millis) (isFirst, isDue bool) {
	span := l.span(now)
	if span <= max(bound, 2*l.lastReported) {
		return false, false
	}
	isFirst = l.lastReported == 0
	l.lastReported = span
	return isFirst, true
}

// isLarge reports whether a change that is too large to be told has not been read.
func (l *lag) isLarge() bool {
	return slices.ContainsFunc(l.awaited, func(a awaitedRevision) bool { return a.isLarge })
}

// newest is the last revision that a peer has told of and that is not read; 0 for none.
func (l *lag) newest() uint64 {
	if len(l.awaited) == 0 {
		return 0
	}
	return l.awaited[len(l.awaited)-1].revision
}
