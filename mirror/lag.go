package mirror

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// maxAwaited limits the number of unread changes that are retained; the oldest are kept.
const maxAwaited = 64

// lag measures for how long a node has known of changes that it hasn't read. It is not
// safe for concurrent use.
type lag struct {
	// awaited holds the unread revisions that peers have announced, in ascending order.
	awaited []awaitedRevision
	// reportedAge is the age of the oldest unread change at the last report that changes
	// are late; 0 while no change is late.
	reportedAge clock.Millis
}

// awaitedRevision is an unread revision that a peer announced at since.
type awaitedRevision struct {
	revision    uint64
	since       clock.Millis
	isTruncated bool
}

// recordUpdate records that a peer knows the store up to a revision that this node hasn't
// read, and whether the peer's update leaves out large changes.
func (l *lag) recordUpdate(now clock.Millis, revision uint64, isTruncated bool) {
	if len(l.awaited) == maxAwaited || (len(l.awaited) > 0 && l.awaited[len(l.awaited)-1].revision >= revision) {
		return
	}
	l.awaited = append(l.awaited, awaitedRevision{revision, now, isTruncated})
}

// recordRead records that all changes up to a revision are known. If late changes were
// reported and the remaining changes are within the bound, it returns how long the oldest
// change was awaited, otherwise 0.
func (l *lag) recordRead(now, bound clock.Millis, revision uint64) clock.Millis {
	age := l.age(now)
	for len(l.awaited) > 0 && l.awaited[0].revision <= revision {
		l.awaited = l.awaited[1:]
	}
	if l.reportedAge == 0 || l.age(now) > bound {
		return 0
	}
	l.reportedAge = 0
	return age
}

// age returns the time since the oldest unread change was announced; 0 if there is none.
func (l *lag) age(now clock.Millis) clock.Millis {
	if len(l.awaited) == 0 {
		return 0
	}
	return now - l.awaited[0].since
}

// checkLate returns isDue if a change has been unread for longer than the bound and is to
// be reported now: the first time, with isFirst, and each time its age has doubled since.
func (l *lag) checkLate(now, bound clock.Millis) (isFirst, isDue bool) {
	age := l.age(now)
	if age <= max(bound, 2*l.reportedAge) {
		return false, false
	}
	isFirst = l.reportedAge == 0
	l.reportedAge = age
	return isFirst, true
}

// hasTruncated reports whether an update that leaves out large changes is unread.
func (l *lag) hasTruncated() bool {
	return slices.ContainsFunc(l.awaited, func(a awaitedRevision) bool { return a.isTruncated })
}

// newestRevision returns the highest unread revision that a peer has announced; 0 if
// there is none.
func (l *lag) newestRevision() uint64 {
	if len(l.awaited) == 0 {
		return 0
	}
	return l.awaited[len(l.awaited)-1].revision
}
