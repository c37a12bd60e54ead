package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/logging"
)

const (
	// defaultMaxStaleness is the least of the spans within which an upstream that reports
	// its leaving gets no new work, and an edit is in force.
	defaultMaxStaleness = 2 * clock.Second
	// watchTimeout is what a watch waits for a change: with the registrations of a
	// fleet there are always some. One that began before an absence of the store
	// may never be answered; a longer wait would add to the time until that shows.
	watchTimeout = clock.Millis(1)
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Store Store
	Now   func() clock.Millis
	// MaxStaleness is how old what is known may be at most while the store answers; 0
	// stands for two seconds.
	MaxStaleness clock.Millis
	// MaxBackoff is the longest span after a failed call; 0 stands for 0.3 s.
	MaxBackoff clock.Millis
	// Nodes tells how many nodes read the store, and whether this one does it ahead
	// of the others; it may be nil.
	Nodes func() (count int, isReader bool)
	// Deliver takes in all values that count, after each call and, told, after
	// news of a peer. It must not keep the slice's values beyond the next call.
	Deliver func(items []Item, isTold bool)
	// Hash sums up what of a value matters; changes beyond it are not told to other
	// nodes. Tell tells them. Both may be nil, and must not block.
	Hash    HashFunc
	Publish func(n Update)
	// ExpectedRemoval reports whether a value that is gone was expected to go; it may be
	// nil.
	ExpectedRemoval func(old Item) bool
	// OnAvailability is told when the store goes away, with the cause, and with nil when
	// it is back.
	OnAvailability func(cause error)
	// BytesReceived counts the bytes that have come from the store; it may be nil.
	BytesReceived func() uint64
	Seed          uint64
	// Log takes lines; nil stands for none.
	Log logrus.FieldLogger
}

// Follower keeps a Copy up to date.
type Follower struct {
	config FollowerConfig

	mu       sync.Mutex // guards copy and pace, and calls of Deliver
	copy     *Copy
	schedule *PollSchedule
	// revision is the copy's. It is read without the lock: what Deliver calls
	// may hold locks that its readers hold, too.
	revision      atomic.Uint64
	wakeup        chan struct{}
	isUnavailable bool
	// confirmedRevision is the revision of the last call that was answered, which began at
	// confirmedAt. doubted is that of news since with removals that were not taken
	// on a peer's word, 0 without.
	confirmedRevision   uint64
	confirmedAt         clock.Millis
	unconfirmedRevision uint64
	audit               audit
	lag                 lag
	pendingUpdates      []pendingUpdate
	// peerBytes is the size of all values that a peer holds which knows newer ones.
	peerBytes int
	stats     Stats
}

// Stats counts what a follower met.
type Stats struct {
	// Answered and Failed sum up the calls with a whole answer, and those without.
	Answered, Failed CallStats
	// LateChanges is how often a change that a peer knew was not read within Fresh; Lag is
	// for how long the oldest one that is not read yet has been known of.
	LateChanges uint64
	Lag         clock.Millis
	// UpdatesReceived is how often news of another node were taken in.
	UpdatesReceived uint64
	// CopyErrors is how often a list showed that the copy was wrong.
	CopyErrors uint64
	// KnownAt is the instant at which what is known was the store's, if IsKnown.
	KnownAt clock.Millis
	IsKnown bool
}

// CallStats sums up calls of the store.
type CallStats struct {
	Count uint64
	// Bytes are those that came, heads included, and Took the time of all calls.
	Bytes uint64
	Took  clock.Millis
}

func (s *CallStats) add(bytes uint64, took clock.Millis) {
	s.Count++
	s.Bytes += bytes
	s.Took += took
}

// Stats returns the counts so far.
func (f *Follower) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.stats
	s.KnownAt, s.IsKnown = f.schedule.currentAt, f.schedule.currentAt >= 0
	s.Lag = f.lag.span(f.config.Now())
	return s
}

// NewFollower returns a follower; Serve runs it.
func NewFollower(c FollowerConfig) *Follower {
	if c.MaxStaleness <= 0 {
		c.MaxStaleness = defaultMaxStaleness
	}
	if c.Log == nil {
		c.Log = logging.Silent()
	}
	return &Follower{config: c, copy: NewCopy(c.Hash), schedule: NewPollSchedule(PollConfig{MaxStaleness: c.MaxStaleness, MaxBackoff: c.MaxBackoff, Seed: c.Seed}), wakeup: make(chan struct{}, 1)}
}

// Serve follows the store until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	for f.waitUntilDue(ctx) {
		if f.config.Nodes != nil {
			nodes, isReader := f.config.Nodes() // it may hold locks that take this one's
			f.mu.Lock()
			f.schedule.SetFleetSize(nodes, isReader)
			f.mu.Unlock()
		}
		began, received := f.config.Now(), f.bytesReceived()
		err := f.step(ctx)
		if ctx.Err() != nil {
			break
		}
		f.recordCall(f.config.Now()-began, f.bytesReceived()-received, err)
	}
	return errors.Trace(ctx.Err())
}

// waitUntilDue waits until a call is due, and returns false when the context ends.
func (f *Follower) waitUntilDue(ctx context.Context) bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		f.mu.Lock()
		left := f.schedule.Due() - f.config.Now()
		f.mu.Unlock()
		if left <= 0 {
			return true
		}
		timer.Reset(left.Duration())
		select {
		case <-ctx.Done():
		case <-f.wakeup:
		case <-timer.C:
		}
	}
	return false
}

// wake has await look again.
func (f *Follower) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// Revision is that of the copy; 0 while nothing is known.
func (f *Follower) Revision() uint64 {
	return f.revision.Load()
}

// Snapshot returns the copy.
func (f *Follower) Snapshot() ([]Item, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.copy.Items(f.config.Now()), f.copy.Revision()
}

// Seed takes in another process's copy while nothing is known: one that starts
// while the store is away would else serve nobody until it is back. What has
// changed since comes with the first watch from the copy's revision.
func (f *Follower) Seed(items []Item, revision uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copy.Revision() > 0 || revision == 0 {
		return false
	}
	f.copy.Reset(f.config.Now(), Listing{Items: items, Revision: revision})
	f.config.Deliver(f.copy.Items(f.config.Now()), true)
	f.revision.Store(f.copy.Revision())
	return true
}

// step makes one call and takes its answer in.
func (f *Follower) step(ctx context.Context) error {
	after, isAudit := f.watchStart()
	if after == 0 || isAudit {
		return f.relist(ctx, false)
	}
	asked := f.config.Now()
	events, revision, err := f.config.Store.Watch(ctx, after, watchTimeout, f.listBytes())
	if errors.Is(err, ErrCompacted) || errors.Is(err, ErrTooLarge) {
		f.config.Log.WithError(err).WithField("revision", after).Info("changes are not to be had; all values are listed again")
		return f.relist(ctx, errors.Is(err, ErrTooLarge))
	}
	if err != nil {
		return errors.Trace(err)
	}
	if len(events) == 0 {
		// A store that is about to drop its history may tell of no changes though it
		// counts them: gone on from its count, they would never be known.
		revision = after
	}
	f.applyAnswer(asked, revision, func(now clock.Millis) Update {
		n := newUpdate(f.copy, after, revision, events)
		f.copy.WatchedThrough(revision)
		f.copy.Apply(now, events, revision)
		return n
	})
	return nil
}

// listBytes is how many bytes the values have that a list brings, as far as is known. A
// watch tells each version of a value since a revision, a list the last one alone: for a
// node that is several versions of a large configuration behind, the watch's answer is a
// multiple of it, and larger with each further version. Bounded so, what a call brings
// does not grow with how far the node is behind.
func (f *Follower) listBytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.copy.Bytes(), f.peerBytes)
}

// watchStart is the revision from which changes are to be read, and whether all values are
// to be listed in their place.
func (f *Follower) watchStart() (after uint64, isAudit bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.audit.recordCall(len(f.copy.items))
	if f.unconfirmedRevision > 0 {
		return f.confirmedRevision, f.audit.isDue
	}
	return f.copy.Revision(), f.audit.isDue
}

// relist reads all values anew and goes on from there. What has changed is told to others
// if it was to be read.
func (f *Follower) relist(ctx context.Context, isTold bool) error {
	asked := f.config.Now()
	all, err := f.config.Store.List(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	f.applyAnswer(asked, all.Revision, func(now clock.Millis) Update {
		var n Update
		if isTold {
			n = newListUpdate(f.copy, all.Items, all.Revision)
		}
		f.auditList(now, all.Items, all.Revision)
		f.copy.Reset(now, all)
		return n
	})
	return nil
}

// applyAnswer changes the copy by an answer, delivers it and tells others. After an absence
// of the store it begins the grace for values that lapsed meanwhile. An answer that is
// older than removals in doubt confirms nothing: the next call does.
func (f *Follower) applyAnswer(asked clock.Millis, revision uint64, change func(now clock.Millis) Update) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	if f.schedule.Failures() > 0 {
		f.copy.StoreReturned(now)
	}
	news := change(now)
	f.copy.PruneTombstones(revision)
	isUrgent := f.schedule.IsUrgent() // all others make such a call too, and need not be told
	f.revision.Store(f.copy.Revision())
	f.config.Deliver(f.copy.Items(now), false)
	f.schedule.Answered(asked)
	f.confirmedRevision, f.confirmedAt = revision, asked
	if revision >= f.unconfirmedRevision {
		f.unconfirmedRevision = 0
	} else {
		f.schedule.PollSoon(now)
	}
	if digest, isSettled := f.copy.Digest(); isSettled && f.unconfirmedRevision == 0 && news.Revision == f.copy.Revision() {
		news.Digest = digest
	}
	if news.IsTruncated {
		news.Bytes = f.copy.Bytes()
	}
	if !isUrgent {
		f.publish(news, now, asked)
	}
	f.peerBytes = 0
	f.receivePending(now)
	f.logLag()
	if f.lag.isLarge() {
		f.schedule.PollSoon(now) // it was told while the answer was on its way
	}
}

// recordCall takes in what became of a call, and tells when the store goes away and when it is
// back.
func (f *Follower) recordCall(took clock.Millis, bytes uint64, err error) {
	f.mu.Lock()
	if err == nil {
		f.stats.Answered.add(bytes, took)
	} else {
		f.stats.Failed.add(bytes, took)
		f.schedule.Failed(f.config.Now())
		f.logFailure(took, bytes, err)
	}
	f.logLag()
	f.mu.Unlock()
	isGone := err != nil && !errors.Is(err, ErrTruncated) // others may be answered whole
	if isGone && f.config.Publish != nil {
		f.config.Publish(Update{IsUnavailable: true})
	}
	if away := err != nil; away != f.isUnavailable {
		f.isUnavailable = away
		f.config.OnAvailability(err)
	}
}
