package mirror

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Evidence says whether what a value describes still exists, as far as a node knows.
type Evidence uint8

// The kinds of evidence.
const (
	// EvidenceNone means that nothing indicates that it exists.
	EvidenceNone Evidence = iota
	// EvidencePeer means that the node beside it still names it. That node asks the store itself,
	// and ceases to name it if the store confirms the removal.
	EvidencePeer
	// EvidenceOwn means that it is beside this node.
	EvidenceOwn
)

const (
	// confirmWindow is how long after a call of its own a node accepts removals that a peer
	// sends. During consecutive removals, as in a release, each node makes one call per
	// window.
	confirmWindow = 3 * clock.Second
	// confirmDelay is how long a node waits for the node beside a removed upstream to confirm the
	// removal, before it asks the store itself. That node's call and heartbeat take two round
	// trips.
	confirmDelay = 300 * clock.Millis(1)
)

// trustedEvents returns the changes that are accepted from a peer. A value that was
// written up to the known revision is already known, or was removed since. A registration
// also expires when its upstream is alive and only cut off from the store, together with
// this node or close to it. An unexpected removal is therefore accepted only if the store
// has recently answered this node itself, or if nothing indicates that the upstream still
// exists. Otherwise a node that is cut off too would lose the upstreams that only it can
// reach.
func (f *Follower) trustedEvents(now clock.Millis, u Update) []Event {
	events := newerThan(u.Events, f.copy.Revision())
	isUnexpectedRemoval := func(e Event) bool {
		return e.Gone && !f.isExpectedRemoval(e.Key) && f.evidenceOf(e.Key) != EvidenceNone
	}
	if now-f.confirmedAt <= confirmWindow || !slices.ContainsFunc(events, isUnexpectedRemoval) {
		return events
	}
	if f.unconfirmedRevision == 0 {
		f.unconfirmedSince = f.copy.Revision()
	}
	f.unconfirmedRevision = max(f.unconfirmedRevision, u.Revision)
	delay := confirmDelay
	for _, e := range events {
		if isUnexpectedRemoval(e) {
			f.unconfirmed = append(f.unconfirmed, e)
			if f.evidenceOf(e.Key) == EvidenceOwn {
				delay = 0
			}
		}
	}
	f.urgentCause = CauseRemoval
	switch {
	case f.config.Evidence == nil:
		f.schedule.PollSoon(now)
	case delay == 0:
		f.schedule.PollNow(now)
	default:
		f.schedule.PollAfter(now, delay)
	}
	f.wake()
	return slices.DeleteFunc(events, isUnexpectedRemoval)
}

// evidenceOf returns the evidence of what a removed value describes. While this node's own calls fail,
// it may be cut off together with the value's writer, and everything may exist.
func (f *Follower) evidenceOf(key string) Evidence {
	if f.config.Evidence == nil || f.schedule.Failures() > 0 {
		return EvidencePeer
	}
	old, ok := f.copy.effective(key)
	if !ok {
		return EvidenceNone
	}
	return f.config.Evidence(old)
}

// RecheckRemovals applies the removals that wait for confirmation and that nothing contradicts any
// more, for example when the node beside an upstream has ceased to name it.
func (f *Follower) RecheckRemovals() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recheckRemovals()
}

func (f *Follower) recheckRemovals() {
	isContradicted := func(e Event) bool { return f.evidenceOf(e.Key) != EvidenceNone }
	confirmed := slices.DeleteFunc(slices.Clone(f.unconfirmed), isContradicted)
	if len(confirmed) == 0 {
		return
	}
	f.unconfirmed = slices.DeleteFunc(f.unconfirmed, func(e Event) bool { return !isContradicted(e) })
	now := f.config.Now()
	f.applyFromPeer(now, confirmed, f.copy.Revision())
	if len(f.unconfirmed) == 0 {
		f.unconfirmedRevision = 0
		f.schedule.Settle()
		f.wake()
	}
}
