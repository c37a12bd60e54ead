package reading

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
)

// ErrStale reports a platform that holds a lower version than the node knows:
// a replica that lags, or a platform restored from a backup.
const ErrStale = errors.ConstError("the platform holds an older version than is known")

// Spans of a Follower.
const (
	// defaultPace follows each watch of a node that has no plan. A platform
	// that answers watches at once for no reason would otherwise be called
	// without end.
	defaultPace = clock.Second / 10
	// firstSpread is the span within which a node that starts makes its first
	// call. A region of the size designed for, 218 nodes, that starts at one
	// moment is then well within what the platform allows; a node alone loses
	// little.
	firstSpread = clock.Second / 4
)

// Source is what a Follower reads; a *Reader is one.
type Source interface {
	Get(ctx context.Context, key string) (Value, error)
	Watch(ctx context.Context, key string, after uint64) (Value, bool, error)
}

// FollowerConfig describes a Follower.
type FollowerConfig struct {
	Source Source
	Key    string
	// After returns the highest version that the node knows, from wherever.
	After func() uint64
	// Deliver takes each value above After.
	Deliver func(Value)
	// Report takes each error; it may be nil.
	Report func(error)
	// Plan returns how the node reads the key at present; nil stands for a
	// node that always watches, and is good for small fleets.
	Plan func() Plan
	// Backoff and BackoffMax bound the spans after failed calls; 0 stands for
	// a quarter of a second and for ten seconds.
	Backoff, BackoffMax clock.Millis
	// Seed draws the spans; nodes have different ones.
	Seed uint64
	// Pause waits for a span or the end of ctx; nil stands for a timer. Tests
	// put virtual time in its place.
	Pause func(ctx context.Context, span clock.Millis) error
}

// Stats counts what a Follower met.
type Stats struct {
	// Calls made, failed ones included.
	Calls uint64
	// Errors of calls, stale answers not included.
	Errors uint64
	// Stale answers, with a version below the known one.
	Stale uint64
	// Overtaken values, which the node had from a peer before the platform
	// answered.
	Overtaken uint64
	// Delivered values.
	Delivered uint64
	// Seen is the version that the platform last named.
	Seen uint64
}

// Follower reads one value again and again until its context ends. It fits
// suture's Service.
type Follower struct {
	config  FollowerConfig
	backoff *Backoff
	rand    *rand.Rand
	// offered is the version last delivered. A node that refused it as invalid
	// still knows only an older one; asked what follows that one, the platform
	// would answer with the refused one at once, over and over.
	offered uint64
	// check has the next call read at once in place of watching: at the start,
	// and when the platform is back, it may hold something older than is known,
	// and a watch would tell so only when its wait is over.
	check bool

	mu    sync.Mutex
	stats Stats
}

// NewFollower returns a Follower to be run by a supervisor.
func NewFollower(config FollowerConfig) *Follower {
	if config.Report == nil {
		config.Report = func(error) {}
	}
	if config.Plan == nil {
		config.Plan = func() Plan { return Plan{Direct: true, Pace: defaultPace} }
	}
	if config.Pause == nil {
		config.Pause = pause
	}
	return &Follower{
		config:  config,
		backoff: NewBackoff(BackoffConfig{First: config.Backoff, Longest: config.BackoffMax, Seed: config.Seed}),
		rand:    rand.New(rand.NewPCG(config.Seed, planStream)),
	}
}

// String names the follower in the supervisor's log.
func (f *Follower) String() string {
	return "platform follower of " + f.config.Key
}

// Stats returns the counts so far.
func (f *Follower) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}

// Serve runs until ctx ends and returns its error.
func (f *Follower) Serve(ctx context.Context) error {
	f.offered, f.check = 0, true
	span := clock.Millis(f.rand.Int64N(int64(min(f.config.Plan().Pace, firstSpread)) + 1))
	for ctx.Err() == nil {
		if err := f.config.Pause(ctx, span); err != nil {
			break
		}
		span = f.step(ctx)
	}
	return ctx.Err()
}

// answer is what one call brought.
type answer struct {
	value   Value
	found   bool   // value has a body
	known   uint64 // by the node, when the call began
	asked   uint64 // news are versions above it
	problem error
}

// replaced tells whether the platform holds neither what the node knows nor
// what was offered to it last, but something between: a refused version was
// taken back, and what is there now is to be read.
func (a answer) replaced() bool {
	return a.value.Version > a.known && a.value.Version < a.asked
}

// step makes one call and returns the span to leave before the next.
func (f *Follower) step(ctx context.Context) clock.Millis {
	plan := f.config.Plan()
	got := f.call(ctx, plan)
	if ctx.Err() != nil {
		return 0
	}
	fresh, err := f.count(got)
	f.check = err != nil && !errors.Is(err, ErrStale)
	if err != nil {
		f.config.Report(err)
		return max(f.backoff.Next(), plan.AfterWatch(f.rand))
	}
	f.backoff.Reset()
	if fresh {
		f.offered = got.value.Version
		f.config.Deliver(got.value)
	} else if got.replaced() {
		f.offered = 0
	}
	if plan.Direct {
		return plan.AfterWatch(f.rand)
	}
	return plan.AfterPoll(f.rand)
}

func (f *Follower) call(ctx context.Context, plan Plan) answer {
	known := f.config.After()
	got := answer{known: known, asked: max(known, f.offered)}
	if plan.Direct && !f.check {
		got.value, got.found, got.problem = f.config.Source.Watch(ctx, f.config.Key, got.asked)
		return got
	}
	got.value, got.problem = f.config.Source.Get(ctx, f.config.Key)
	got.found = got.problem == nil
	if known == 0 && errors.Is(got.problem, ErrAbsent) {
		got.problem = nil // not published yet
	}
	return got
}

// count enters the call into the statistics, and tells whether its value is to
// be delivered.
func (f *Follower) count(got answer) (bool, error) {
	now := f.config.After()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.Calls++
	if got.problem != nil {
		f.stats.Errors++
		return false, got.problem
	}
	version := got.value.Version
	if version != 0 {
		f.stats.Seen = version
		if version < got.known {
			f.stats.Stale++
			return false, errors.Annotatef(ErrStale, "%q at version %d, known %d", f.config.Key, version, got.known)
		}
	}
	switch {
	case !got.found, version <= got.asked:
		return false, nil
	case version <= now:
		f.stats.Overtaken++
		return false, nil
	default:
		f.stats.Delivered++
		return true, nil
	}
}

func pause(ctx context.Context, span clock.Millis) error {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
