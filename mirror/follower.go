package mirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// defaultFresh is the least of the spans within which an upstream that reports
	// its leaving gets no new work, and an edit is in force.
	defaultFresh = 2 * clock.Second
	// paceShare is the part of Fresh, in tenths, between the starts of two calls.
	// Each write of an upstream's registration ends a waiting watch, 16 times a
	// second with 24 upstreams, and every call is priced. The rest, 0.6 s of 2 s, is
	// for the answer, a table on a third of a core, and a hop.
	paceShare = 7
	// watchWait is how long a watch waits for a change. A connection that went
	// silent shows only as an answer that doesn't come: with the margin it is
	// given up before the bounds above are reached once more.
	watchWait = 1500 * clock.Millis(1)
	// firstBackoff and mostBackoff bound the span between failed calls: quick
	// enough that a store that returns is read within its bounds, and spread,
	// so that the nodes of a fleet don't come back as one wave.
	firstBackoff = 100 * clock.Millis(1)
	mostBackoff  = 300 * clock.Millis(1)
	// probeWait is what a watch waits while the store is away. One that began
	// before its return may never be answered; a longer wait would add to the
	// time until the next call, and an edit made at the return would be late.
	probeWait = clock.Millis(1)
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Store Store
	Now   func() clock.Millis
	// Fresh is how old what is known may be at most while the store answers; 0
	// stands for two seconds.
	Fresh clock.Millis
	// Deliver takes in all values that count, after each call that changed
	// them. It must not keep the slice's values beyond the next call.
	Deliver func(items []Item)
	// Away is told when the store goes away, with the cause, and with nil when
	// it is back.
	Away func(cause error)
	Seed uint64
	Log  logrus.FieldLogger
}

// Follower keeps a Copy up to date.
type Follower struct {
	config FollowerConfig

	mu   sync.Mutex // guards copy, and calls of Deliver
	copy *Copy
	// revision is the copy's. It is read without the lock: what Deliver calls
	// may hold locks that its readers hold, too.
	revision atomic.Uint64
	random   *rand.Rand
	failures int
}

// NewFollower returns a follower; Serve runs it.
func NewFollower(c FollowerConfig) *Follower {
	if c.Fresh <= 0 {
		c.Fresh = defaultFresh
	}
	return &Follower{config: c, copy: NewCopy(), random: rand.New(rand.NewPCG(c.Seed, 0))}
}

// Serve follows the store until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		began := f.config.Now()
		err := f.step(ctx)
		if ctx.Err() != nil {
			break
		}
		f.note(err)
		next := began + paceShare*f.config.Fresh/10
		if err != nil {
			next = f.config.Now() + f.backoff()
		}
		f.rest(ctx, next-f.config.Now())
	}
	return errors.Trace(ctx.Err())
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
	f.copy.Reset(f.config.Now(), items, revision)
	f.config.Deliver(f.copy.Items(f.config.Now()))
	f.revision.Store(f.copy.Revision())
	return true
}

// step makes one call and takes its answer in.
func (f *Follower) step(ctx context.Context) error {
	after := f.Revision()
	if after == 0 {
		return f.relist(ctx)
	}
	wait := watchWait
	if f.failures > 0 {
		wait = probeWait
	}
	events, revision, err := f.config.Store.Watch(ctx, after, wait)
	if errors.Is(err, ErrHistory) {
		f.config.Log.WithField("revision", after).Info("changes are no longer to be had; all values are listed again")
		return f.relist(ctx)
	}
	if err != nil {
		return errors.Trace(err)
	}
	f.take(func(now clock.Millis) { f.copy.Apply(now, events, revision) })
	return nil
}

// relist reads all values anew and goes on from there.
func (f *Follower) relist(ctx context.Context) error {
	items, revision, err := f.config.Store.List(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	f.take(func(now clock.Millis) { f.copy.Reset(now, items, revision) })
	return nil
}

// take changes the copy by an answer and delivers it. After an absence of the
// store it begins the grace for values that lapsed meanwhile.
func (f *Follower) take(change func(now clock.Millis)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	if f.failures > 0 {
		f.copy.Returned(now)
	}
	change(now)
	f.config.Deliver(f.copy.Items(now))
	f.revision.Store(f.copy.Revision())
}

// note tells when the store goes away and when it is back.
func (f *Follower) note(err error) {
	switch {
	case err != nil:
		f.failures++
		if f.failures == 1 {
			f.config.Away(err)
		}
	case f.failures > 0:
		f.failures = 0
		f.config.Away(nil)
	}
}

func (f *Follower) backoff() clock.Millis {
	span := min(firstBackoff<<min(f.failures, 4), mostBackoff)
	return span/2 + clock.Millis(f.random.Int64N(int64(span)))
}

func (f *Follower) rest(ctx context.Context, span clock.Millis) {
	if span <= 0 {
		return
	}
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
