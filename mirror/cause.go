package mirror

import "fuchsiapick.example/fuchsiapick/clock"

// Cause is why a node calls the store.
type Cause string

// The causes of calls.
const (
	// CauseStart is the first list of a node that has no copy.
	CauseStart Cause = "start"
	// CauseAge means that the copy reached the age at which a node reads the store.
	CauseAge Cause = "age"
	// CauseLarge is a change that a peer's update left out, because it is too large.
	CauseLarge Cause = "large"
	// CauseRemoval is a removal that only the store can confirm.
	CauseRemoval Cause = "removal"
	// CauseSuspicion is an indication that the copy is wrong.
	CauseSuspicion Cause = "suspicion"
	// CauseRetry is a call after a failed one.
	CauseRetry Cause = "retry"
	// CauseHistory is a list because the store can't return the changes: its history is gone,
	// it was restored, or they are larger than all values.
	CauseHistory Cause = "history"
	// CauseAudit is a list that checks the copy.
	CauseAudit Cause = "audit"
)

// Causes returns all causes.
func Causes() []Cause {
	return []Cause{CauseStart, CauseAge, CauseLarge, CauseRemoval, CauseSuspicion, CauseRetry, CauseHistory, CauseAudit}
}

// callCause returns the cause of the call that is due. f.mu is held.
func (f *Follower) callCause() Cause {
	switch {
	case f.copy.Revision() == 0:
		return CauseStart
	case f.audit.isSuspected:
		return CauseSuspicion
	case f.audit.isDue:
		return CauseAudit
	case f.schedule.IsUrgent():
		return f.urgentCause
	case f.schedule.Failures() > 0:
		return CauseRetry
	default:
		return CauseAge
	}
}

// countCalls adds the calls made since the last count to a cause. A list takes a call for each of
// its pages.
func (f *Follower) countCalls(cause Cause) {
	made := f.callsCounted + 1
	if f.config.CallsMade != nil {
		made = f.config.CallsMade()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stats.Causes == nil {
		f.stats.Causes = map[Cause]uint64{}
	}
	f.stats.Causes[cause] += made - f.callsCounted
	f.callsCounted = made
}

// pollSoon makes a call due soon, whatever peers send.
func (f *Follower) pollSoon(now clock.Millis, cause Cause) {
	f.schedule.PollSoon(now)
	f.urgentCause = cause
}
