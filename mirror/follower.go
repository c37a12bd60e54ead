package mirror

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/logging"
)

const (
	// defaultMaxStaleness is the shorter of two limits: the time until an upstream that
	// announces its leaving gets no new requests, and the time until an edit is in force.
	defaultMaxStaleness = 2 * clock.Second
	// watchTimeout is how long the store waits for a change before it answers a watch.
	// With the registrations of a fleet there are always changes. A watch that starts
	// shortly before an outage may never be answered; a longer timeout would delay the
	// detection of the outage.
	watchTimeout = clock.Millis(1)
)

// neverAnswered is before any time at which the store can have answered.
const neverAnswered = -clock.Day

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Store Store
	Now   func() clock.Millis
	// MaxStaleness is the maximum age of the copy while the store answers; 0 means two
	// seconds.
	MaxStaleness clock.Millis
	// MaxBackoff is the maximum delay after a failed call, before jitter; 0 means 0.3 s.
	MaxBackoff clock.Millis
	// Nodes returns the number of nodes that read the store, and whether this node reads
	// it ahead of the others. It may be nil.
	Nodes func() (count int, isReader bool)
	// Deliver receives all values that count, after each call and, with fromPeer, after
	// an update from a peer. It must not retain the items beyond the next call.
	Deliver func(items []Item, fromPeer bool)
	// Hash covers the parts of a value that matter; other changes are not published.
	// Publish sends an update to other nodes. Both may be nil, and neither may block.
	Hash    HashFunc
	Publish func(u Update)
	// ExpectedRemoval reports whether the removal of a value was expected. It may be nil.
	ExpectedRemoval func(old Item) bool
	// Evidence returns this node's evidence that what a value describes still exists. It may be
	// nil: then only the store confirms unexpected removals.
	Evidence func(old Item) Evidence
	// IsOlder compares the content of values, to keep what a restored store has lost. It may
	// be nil.
	IsOlder OlderFunc
	// OnAvailability is called with the cause when the store becomes unavailable, and
	// with nil when it answers again.
	OnAvailability func(cause error)
	// BytesReceived returns the total number of bytes received from the store. It may be
	// nil.
	BytesReceived func() uint64
	// CallsMade returns the total number of calls made, a list's pages one by one. It may be
	// nil: a list then counts as one call.
	CallsMade func() uint64
	Seed      uint64
	// Log receives log lines; nil discards them.
	Log logrus.FieldLogger
}

// Follower keeps a Copy of the store up to date.
type Follower struct {
	config FollowerConfig

	mu       sync.Mutex // guards copy and schedule, and serializes calls of Deliver
	copy     *Copy
	schedule *PollSchedule
	// revision is the copy's revision. Revision reads it without mu: code that Deliver
	// calls takes locks that callers of Revision may hold already.
	revision      atomic.Uint64
	wakeup        chan struct{}
	isUnavailable bool
	// answeredAt is the latest time at which the store is known to have answered any node.
	answeredAt clock.Millis
	// confirmedAt is the start of the last answered call. unconfirmedRevision is the revision of
	// a later update with removals that the store has not confirmed, 0 if there is none. The
	// removals came after unconfirmedSince.
	confirmedAt                           clock.Millis
	unconfirmedRevision, unconfirmedSince uint64
	// unconfirmed holds these removals.
	unconfirmed []Event
	audit       audit
	lag         lag
	// pendingUpdates left a gap after the known revision when they arrived.
	pendingUpdates []Update
	// awaitsRestored means that the store was restored, and that this node waits for the
	// update of one that has listed the values before it lists them itself.
	awaitsRestored bool
	// awaitsReaders means that the store has dropped changes that this node needs, and that it
	// waits for the update of a reader before it lists the values itself.
	awaitsReaders bool
	// peerBytes is the size of all values in the copy of a peer with newer values.
	peerBytes int
	history   history
	// forwardedRevision and forwardedAt are those of the last update that was news here: the
	// revision, and the time at which the store was at it.
	forwardedRevision uint64
	forwardedAt       clock.Millis
	// urgentCause is the cause of a call that must be made soon.
	urgentCause Cause
	// callsCounted is the number of calls that Stats.Causes includes. Only Serve uses it.
	callsCounted uint64
	stats        Stats
}

// Stats holds the counters of a follower.
type Stats struct {
	// Answered counts the calls that returned a complete answer, Failed the others.
	Answered, Failed CallStats
	// Causes counts the calls by cause.
	Causes map[Cause]uint64
	// LateChanges counts the periods in which a change known to a peer was not read
	// within MaxStaleness. Lag is the time since a peer announced the oldest change that
	// is still unread.
	LateChanges uint64
	Lag         clock.Millis
	// UpdatesReceived counts the updates from other nodes that left no gap and were applied.
	UpdatesReceived uint64
	// CopyErrors counts the lists that showed the copy to be wrong.
	CopyErrors uint64
	// Era counts how often the store was restored from a backup; 0 if it doesn't say.
	// ValuesIgnored counts the values that calls and updates offered and that are older than
	// those of the copy.
	Era           uint64
	ValuesIgnored uint64
	// KnownAt is the time at which the copy equalled the store, if IsKnown.
	KnownAt clock.Millis
	IsKnown bool
}

// CallStats sums up calls of the store.
type CallStats struct {
	Count uint64
	// Bytes is the number of bytes received, including headers, and Took the total
	// duration of the calls.
	Bytes uint64
	Took  clock.Millis
}

func (s *CallStats) add(bytes uint64, took clock.Millis) {
	s.Count++
	s.Bytes += bytes
	s.Took += took
}

// Stats returns the current counters.
func (f *Follower) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stats
	s.Causes = maps.Clone(s.Causes)
	s.KnownAt, s.IsKnown = f.schedule.currentAt, f.schedule.currentAt >= 0
	s.Lag = f.lag.age(f.config.Now())
	s.ValuesIgnored, s.Era = f.copy.ignored, EraOf(f.copy.Revision())
	return s
}

// IsOutdated reports whether the copy is older than MaxStaleness, or was never the store's.
func (f *Follower) IsOutdated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.schedule.currentAt < 0 || f.config.Now()-f.schedule.currentAt > f.config.MaxStaleness
}

// NewFollower returns a follower that Serve runs.
func NewFollower(c FollowerConfig) *Follower {
	if c.MaxStaleness <= 0 {
		c.MaxStaleness = defaultMaxStaleness
	}
	if c.Log == nil {
		c.Log = logging.Silent()
	}
	return &Follower{config: c, copy: NewCopy(c.Hash, c.IsOlder), schedule: NewPollSchedule(PollConfig{MaxStaleness: c.MaxStaleness, MaxBackoff: c.MaxBackoff, Seed: c.Seed}), wakeup: make(chan struct{}, 1), answeredAt: neverAnswered}
}

// Serve follows the store until the context ends, and returns the context's error.
func (f *Follower) Serve(ctx context.Context) error {
	for f.waitUntilDue(ctx) {
		if f.config.Nodes != nil {
			nodes, isReader := f.config.Nodes() // called without mu: it may take locks whose holders wait for mu
			f.mu.Lock()
			f.schedule.SetFleetSize(nodes, isReader)
			f.mu.Unlock()
		}
		startedAt, received := f.config.Now(), f.bytesReceived()
		cause, isDue := f.confirmDue()
		if !isDue {
			continue
		}
		err := f.poll(ctx, &cause)
		f.countCalls(cause)
		if ctx.Err() != nil {
			break
		}
		f.recordCall(cause, f.config.Now()-startedAt, f.bytesReceived()-received, err)
	}
	return errors.Trace(ctx.Err())
}

// confirmDue returns the cause of the call that is due, and false if it is due no more, because the
// removals that it was to confirm are confirmed otherwise.
func (f *Follower) confirmDue() (Cause, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recheckRemovals()
	return f.callCause(), f.schedule.Due() <= f.config.Now()
}

// waitUntilDue waits until a call is due. It returns false when the context ends.
func (f *Follower) waitUntilDue(ctx context.Context) bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		now := f.config.Now()
		f.mu.Lock()
		f.expireRemoved(now)
		next := f.schedule.Due()
		isDue := next <= now
		if expiry, ok := f.copy.NextExpiry(); ok {
			next = min(next, expiry)
		}
		f.mu.Unlock()
		if isDue {
			return true
		}
		timer.Reset((next - now).Duration())
		select {
		case <-ctx.Done():
		case <-f.wakeup:
		case <-timer.C:
		}
	}
	return false
}

// expireRemoved delivers the values without those whose grace period is over. f.mu is held.
func (f *Follower) expireRemoved(now clock.Millis) {
	if expiry, ok := f.copy.NextExpiry(); ok && expiry <= now {
		f.config.Deliver(f.copy.Items(now), true)
	}
}

// applyFromPeer applies changes that don't come from a call of this node, and delivers the values.
// f.mu is held.
func (f *Follower) applyFromPeer(now clock.Millis, events []Event, revision uint64) {
	f.copy.Apply(now, events, revision)
	f.revision.Store(f.copy.Revision())
	f.config.Deliver(f.copy.Items(now), true)
	if _, ok := f.copy.NextExpiry(); ok {
		f.wake()
	}
}

// wake makes waitUntilDue check the schedule again.
func (f *Follower) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// Revision returns the copy's revision; 0 before the first list.
func (f *Follower) Revision() uint64 {
	return f.revision.Load()
}

// Snapshot returns the values that count now and matter to any reader, and the copy's revision.
func (f *Follower) Snapshot() ([]Item, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.relevantItems(f.config.Now()), f.copy.Revision()
}

// Seed initializes an empty copy with the copy of another process, and reports whether it
// did: a node that starts while the store is unavailable would otherwise serve no
// requests until the store answers. The first watch, which starts at the given revision,
// returns the changes since.
func (f *Follower) Seed(items []Item, revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seed(items, revision)
}

// Replica is a node's copy of the store.
type Replica struct {
	Items    []Item
	Revision uint64
	// CurrentAt is a time at which the store was at Revision, as in Update; negative if it isn't
	// known.
	CurrentAt clock.Millis
	// IsExact is true if Items are exactly what the store held at Revision and matters to any reader.
	IsExact bool
}

// Replica returns the values that count now and matter to any reader.
func (f *Follower) Replica() Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	return Replica{
		Items: f.copy.relevantItems(now), Revision: f.copy.Revision(), CurrentAt: f.schedule.currentAt,
		IsExact: f.copy.IsExact() && len(f.copy.expiring)+len(f.copy.carried) == 0,
	}
}

// SeedReplica does the same as Seed with a copy of known age. The next call is due as after an
// update of that age.
func (f *Follower) SeedReplica(r Replica) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.seed(r.Items, r.Revision) {
		return false
	}
	f.copy.mayLackRemovals = !r.IsExact
	f.recordStoreAnswer(r.CurrentAt)
	f.schedule.Refreshed(r.CurrentAt)
	f.wake()
	return true
}

func (f *Follower) seed(items []Item, revision uint64) bool {
	if f.copy.Revision() > 0 || revision == 0 {
		return false
	}
	f.copy.Reset(f.config.Now(), Listing{Items: items, Revision: revision})
	f.config.Deliver(f.copy.Items(f.config.Now()), true)
	f.revision.Store(f.copy.Revision())
	return true
}

// poll makes one call of the store and applies its answer. It changes the cause if the store can't
// return the changes.
func (f *Follower) poll(ctx context.Context, cause *Cause) error {
	after, isAudit := f.watchStart()
	if after == 0 || isAudit {
		return f.relist(ctx, false)
	}
	startedAt := f.config.Now()
	events, revision, err := f.config.Store.Watch(ctx, after, watchTimeout, f.maxWatchBytes())
	if (errors.Is(err, ErrRestored) && f.awaitRestored()) || (errors.Is(err, ErrCompacted) && f.awaitReaders()) {
		return nil
	}
	if errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) || errors.Is(err, ErrTooLarge) {
		logging.Repeatable(f.config.Log.WithError(err).WithField("revision", StoreRevision(after))).Info("can't read the changes since this revision; listing all values")
		f.countCalls(*cause)
		*cause = CauseHistory
		return f.relist(ctx, true)
	}
	if err != nil {
		return errors.Trace(err)
	}
	if len(events) == 0 {
		// A store that is about to drop its history may return no changes although its
		// revision advances. Continuing from that revision would skip the changes
		// permanently.
		revision = after
	}
	f.applyAnswer(startedAt, revision, func(now clock.Millis) Update {
		u := newUpdate(f.copy, after, revision, events)
		f.copy.WatchedThrough(revision)
		f.copy.Apply(now, events, revision)
		return u
	})
	return nil
}

// awaitRestored reports whether this node waits for another one to list the values of a restored
// store. The nodes that read ahead of the others don't wait, and the others only once: if all
// nodes of a large fleet listed all values at the same time, the store would refuse most calls.
func (f *Follower) awaitRestored() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.awaitsRestored || f.schedule.isReader || f.config.Nodes == nil {
		return false
	}
	f.awaitsRestored = true
	f.schedule.AwaitPeer(f.config.Now())
	f.urgentCause = CauseHistory
	return true
}

// awaitReaders reports whether this node waits for the update of one that reads ahead of the others,
// because the store has dropped the changes that this node needs. It waits once: then it lists all
// values itself.
func (f *Follower) awaitReaders() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.awaitsReaders || f.schedule.isReader || f.config.Nodes == nil {
		return false
	}
	f.awaitsReaders = true
	f.schedule.AwaitReaders(f.config.Now())
	return true
}

// maxWatchBytes returns the size of a watch's answer above which a list is read instead:
// the size of all values, as far as it is known. A watch returns every version of a value
// since a revision, a list only the last. For a node that is several versions of a large
// configuration behind, a watch's answer is a multiple of a list, and grows with each
// version. The limit keeps the size of an answer independent of how far the node is
// behind.
func (f *Follower) maxWatchBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.copy.Bytes(), f.peerBytes)
}

// watchStart returns the revision from which changes are read, and whether all values are
// to be listed instead.
func (f *Follower) watchStart() (after uint64, isAudit bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.audit.recordCall(len(f.copy.items))
	if f.unconfirmedRevision > 0 {
		return f.unconfirmedSince, f.audit.isDue
	}
	return f.copy.Revision(), f.audit.isDue
}

// relist lists all values and replaces the copy. It publishes the difference if
// shouldPublish, that is, if the list replaces a watch that the store couldn't answer or whose
// answer was too large.
func (f *Follower) relist(ctx context.Context, shouldPublish bool) error {
	startedAt := f.config.Now()
	list, err := f.config.Store.List(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if known := f.Revision(); EraOf(list.Revision) < EraOf(known) {
		return errors.Annotatef(ErrUnavailable, "listed values of era %d, but era %d is known", EraOf(list.Revision), EraOf(known))
	}
	f.applyAnswer(startedAt, list.Revision, func(now clock.Millis) Update {
		var u Update
		if shouldPublish {
			u = newListUpdate(f.copy, list.Items, list.Revision)
		}
		f.auditList(now, list.Items, list.Revision)
		previous, ignored := f.copy.Revision(), f.copy.ignored
		f.copy.Reset(now, list)
		if StoreRevision(list.Revision) < StoreRevision(previous) {
			f.config.Log.WithFields(logrus.Fields{
				"era": EraOf(list.Revision), "revision": StoreRevision(list.Revision), "previous": StoreRevision(previous),
				"ignored": f.copy.ignored - ignored, "carried": len(f.copy.carried),
			}).Warn("platform's store has gone back to a lower revision")
		}
		return u
	})
	return nil
}

// applyAnswer changes the copy by an answer, delivers the values and publishes the
// update. After an outage of the store it starts the grace period for values whose leases
// expired meanwhile. An answer older than unconfirmed removals confirms nothing; another
// call follows.
func (f *Follower) applyAnswer(startedAt clock.Millis, revision uint64, change func(now clock.Millis) Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	f.recordStoreAnswer(startedAt)
	f.noteRestore(now, revision)
	update := change(now)
	f.copy.PruneTombstones(revision)
	isUrgent := f.schedule.IsUrgent() // the other nodes make such a call too and need no update
	f.revision.Store(f.copy.Revision())
	f.config.Deliver(f.copy.Items(now), false)
	f.schedule.Answered(startedAt)
	f.confirmedAt = startedAt
	f.awaitsReaders = false
	if revision >= f.unconfirmedRevision {
		f.unconfirmedRevision, f.unconfirmed = 0, nil
	} else {
		f.unconfirmedSince = revision
		f.pollSoon(now, CauseRemoval)
	}
	if digest, isSettled := f.copy.Digest(); isSettled && f.unconfirmedRevision == 0 && update.Revision == f.copy.Revision() {
		update.Digest = digest
	}
	if update.IsTruncated {
		update.Bytes = f.copy.Bytes()
	}
	f.history.record(update)
	if !isUrgent {
		f.publish(update, startedAt)
	}
	f.peerBytes = 0
	f.receivePending(now)
	f.logLag()
	if f.lag.hasTruncated() {
		f.pollSoon(now, CauseLarge) // a peer announced a large change during the call
	}
}

// recordStoreAnswer records that the store answered this node or another one at the given time. If
// that ends an outage, the grace period starts for values whose writers register again. While the
// store answers others as often as usual, there is no outage, and only this node's calls fail. f.mu is
// held.
func (f *Follower) recordStoreAnswer(at clock.Millis) {
	if at <= f.answeredAt {
		return
	}
	silence := at - f.answeredAt
	f.answeredAt = at
	if f.schedule.Failures() == 0 || silence <= f.schedule.LongestInterval() {
		return
	}
	graceEnd := f.copy.StoreReturned(at)
	f.config.Log.WithFields(logrus.Fields{"silence": silence.String(), "until": (graceEnd - f.config.Now()).String()}).Debug("platform may have been unavailable; values that were removed meanwhile still count")
}

// noteRestore starts the grace period if the store was restored, as an answer or an update of the
// given revision shows. f.mu is held.
func (f *Follower) noteRestore(now clock.Millis, revision uint64) {
	if f.copy.Revision() > 0 && EraOf(revision) > EraOf(f.copy.Revision()) {
		f.awaitsRestored = false
		f.copy.StoreReturned(now)
	}
}

// recordCall records the result of a call, and reports when the store becomes unavailable
// and when it answers again.
func (f *Follower) recordCall(cause Cause, took clock.Millis, bytes uint64, err error) {
	f.config.Log.WithFields(logrus.Fields{"cause": string(cause), "bytes": bytes, "took": took.String(), "answered": err == nil}).Debug("platform called")
	now := f.config.Now()
	f.mu.Lock()
	if err == nil {
		f.stats.Answered.add(bytes, took)
	} else {
		f.stats.Failed.add(bytes, took)
		f.schedule.Failed(now)
		f.logFailure(took, bytes, err)
	}
	f.logLag()
	f.mu.Unlock()
	isUnanswered := err != nil && !errors.Is(err, ErrTruncated) // other nodes may get complete answers
	if isUnanswered && f.config.Publish != nil {
		f.config.Publish(Update{IsUnavailable: true, CurrentAt: now})
	}
	if hasFailed := err != nil; hasFailed != f.isUnavailable {
		f.isUnavailable = hasFailed
		f.config.OnAvailability(err)
	}
}
