package mirror

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// pace is the least span between the starts of two calls. Each write of an
	// upstream's registration ends a waiting watch, 16 times a second with 24
	// upstreams, and every call is priced. An upstream that reports its leaving
	// must get no new work 2 s later, and an edit must be in force 2 s later:
	// a second for the pace leaves a second for the answer and the hop.
	pace = clock.Second
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
	config   FollowerConfig
	copy     *Copy
	random   *rand.Rand
	failures int
}

// NewFollower returns a follower; Serve runs it.
func NewFollower(c FollowerConfig) *Follower {
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
		next := began + pace
		if err != nil {
			next = f.config.Now() + f.backoff()
		}
		f.rest(ctx, next-f.config.Now())
	}
	return errors.Trace(ctx.Err())
}

// step makes one call and takes its answer in.
func (f *Follower) step(ctx context.Context) error {
	if f.copy.Revision() == 0 {
		items, revision, err := f.config.Store.List(ctx)
		if err != nil {
			return errors.Trace(err)
		}
		f.returned()
		f.copy.Reset(f.config.Now(), items, revision)
		f.deliver()
		return nil
	}
	wait := watchWait
	if f.failures > 0 {
		wait = probeWait
	}
	events, revision, err := f.config.Store.Watch(ctx, f.copy.Revision(), wait)
	if errors.Is(err, ErrHistory) {
		f.config.Log.WithField("revision", f.copy.Revision()).Info("changes are no longer to be had; all values are listed again")
		return f.relist(ctx)
	}
	if err != nil {
		return errors.Trace(err)
	}
	f.returned()
	f.copy.Apply(f.config.Now(), events, revision)
	f.deliver()
	return nil
}

// relist reads all values anew and goes on from there.
func (f *Follower) relist(ctx context.Context) error {
	items, revision, err := f.config.Store.List(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	f.returned()
	f.copy.Reset(f.config.Now(), items, revision)
	f.deliver()
	return nil
}

// returned begins the grace for values that lapsed while the store was away.
func (f *Follower) returned() {
	if f.failures > 0 {
		f.copy.Returned(f.config.Now())
	}
}

func (f *Follower) deliver() {
	f.config.Deliver(f.copy.Items(f.config.Now()))
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
