package reading_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/reading"
)

var _ suture.Service = (*reading.Follower)(nil)

// reply is what a scripted platform answers to one call.
type reply struct {
	version uint64 // 0: nothing is held
	err     error
	peer    uint64 // version that a peer brings while the call is under way
}

// script plays a platform and the version fence of a node, in virtual time.
type script struct {
	replies   []reply
	known     uint64
	refuses   uint64
	delivered []uint64
	spans     []clock.Millis
	watches   int
	end       context.CancelFunc
}

func (s *script) next() reply {
	r := s.replies[0]
	s.replies = s.replies[1:]
	s.known = max(s.known, r.peer)
	return r
}

func (s *script) Get(context.Context, string) (reading.Value, error) {
	r := s.next()
	return reading.Value{Key: "table", Version: r.version}, r.err
}

func (s *script) Watch(_ context.Context, _ string, after uint64) (reading.Value, bool, error) {
	s.watches++
	r := s.next()
	return reading.Value{Key: "table", Version: r.version}, r.version > after, r.err
}

// pause takes no time, and ends the follower when the script is over.
func (s *script) pause(ctx context.Context, span clock.Millis) error {
	s.spans = append(s.spans, span)
	if len(s.replies) == 0 {
		s.end()
	}
	return ctx.Err()
}

func (s *script) deliver(value reading.Value) {
	s.delivered = append(s.delivered, value.Version)
	if value.Version != s.refuses {
		s.known = max(s.known, value.Version)
	}
}

// play runs a follower over the whole script.
func play(t *testing.T, s *script, plan reading.Plan) (reading.Stats, []error) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s.end = cancel
	var reported []error
	f := reading.NewFollower(reading.FollowerConfig{
		Source:  s,
		Key:     "table",
		After:   func() uint64 { return s.known },
		Deliver: s.deliver,
		Report:  func(err error) { reported = append(reported, err) },
		Plan:    func() reading.Plan { return plan },
		Seed:    1,
		Pause:   s.pause,
	})
	if err := f.Serve(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v, want that of the context", err)
	}
	return f.Stats(), reported
}

func TestFollower(t *testing.T) {
	tests := []struct {
		name      string
		known     uint64
		refuses   uint64 // version that the node finds invalid
		polls     bool
		replies   []reply
		delivered []uint64
		reported  []error
		watches   int
		want      reading.Stats
	}{
		{
			name: "delivers in order", replies: []reply{
				{err: reading.ErrUnavailable}, {version: 4}, {version: 4}, {version: 6},
			},
			delivered: []uint64{4, 6}, reported: []error{reading.ErrUnavailable}, watches: 2,
			want: reading.Stats{Calls: 4, Errors: 1, Delivered: 2, Seen: 6},
		},
		// The platform is restored from a backup, or a replica lags. Put in force
		// its version would undo a published change: it must reach nobody, and be
		// reported and counted. Publishing above what is known helps.
		{
			name: "nothing stale to a watch", known: 9, replies: []reply{{version: 9}, {version: 5}, {version: 10}},
			delivered: []uint64{10}, reported: []error{reading.ErrStale}, watches: 2,
			want: reading.Stats{Calls: 3, Stale: 1, Delivered: 1, Seen: 10},
		},
		{
			name: "nothing stale to a poll", known: 9, polls: true, replies: []reply{{version: 5}, {version: 9}, {version: 10}},
			delivered: []uint64{10}, reported: []error{reading.ErrStale},
			want: reading.Stats{Calls: 3, Stale: 1, Delivered: 1, Seen: 10},
		},
		// A peer brings 7 while the watch for what follows 4 is answered with 6:
		// the answer is late, but no replica lags.
		{
			name: "overtaken by a peer", known: 4, replies: []reply{{version: 4}, {version: 6, peer: 7}},
			watches: 1, want: reading.Stats{Calls: 2, Overtaken: 1, Seen: 6},
		},
		// Version 9 is invalid, so that the node still knows 4. A watch for what
		// follows 4 would bring 9 again at once, and fill the log. When 9 is taken
		// back for 7, that one is read.
		{
			name: "a refused version once", known: 4, refuses: 9, replies: []reply{
				{version: 9}, {version: 9}, {version: 7}, {version: 7},
			},
			delivered: []uint64{9, 7}, watches: 3,
			want: reading.Stats{Calls: 4, Delivered: 2, Seen: 7},
		},
		{
			name: "a refused version once to polls", known: 4, refuses: 9, polls: true,
			replies:   []reply{{version: 9}, {version: 9}, {version: 7}, {version: 7}},
			delivered: []uint64{9, 7},
			want:      reading.Stats{Calls: 4, Delivered: 2, Seen: 7},
		},
		// The platform comes back with what its backup held. A watch would say so
		// only when its wait is over; operators are told at once.
		{
			name: "stale after an outage", known: 9, replies: []reply{{version: 9}, {err: reading.ErrUnavailable}, {version: 5}},
			reported: []error{reading.ErrUnavailable, reading.ErrStale}, watches: 1,
			want: reading.Stats{Calls: 3, Errors: 1, Stale: 1, Seen: 5},
		},
		{
			name: "not published yet", replies: []reply{{err: reading.ErrAbsent}, {}, {version: 1}},
			delivered: []uint64{1}, watches: 2,
			want: reading.Stats{Calls: 3, Delivered: 1, Seen: 1},
		},
		{
			name: "lost by the platform", known: 9, replies: []reply{{err: reading.ErrAbsent}},
			reported: []error{reading.ErrAbsent},
			want:     reading.Stats{Calls: 1, Errors: 1},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &script{known: tt.known, refuses: tt.refuses, replies: tt.replies}
			got, reported := play(t, s, reading.Plan{Direct: !tt.polls, Pace: 100, Poll: 5000})
			if got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
			if !slices.Equal(s.delivered, tt.delivered) {
				t.Errorf("got %v delivered, want %v", s.delivered, tt.delivered)
			}
			if !slices.EqualFunc(reported, tt.reported, errors.Is) {
				t.Errorf("got %v reported, want %v", reported, tt.reported)
			}
			if s.watches != tt.watches {
				t.Errorf("got %d watches, want %d", s.watches, tt.watches)
			}
		})
	}
}

// A platform answers each call at once and wrongly, or with no news. A node
// that called again at once would spend the platform's calls and its own core.
func TestFollowerLeavesASpanAfterEveryCall(t *testing.T) {
	s := &script{known: 3, replies: []reply{
		{version: 3}, {version: 3}, {version: 2}, {err: reading.ErrAnswer}, {version: 4},
	}}
	play(t, s, reading.Plan{Direct: true, Pace: 400})
	if got := len(s.spans); got != 6 {
		t.Fatalf("got %d spans, want one before the first call and one after each", got)
	}
	for i, span := range s.spans[1:] {
		if span < 400 {
			t.Errorf("got %v after call %d, want at least the pace", span, i+1)
		}
	}
}

// The platform fails under the watches of 2,400 nodes that are cut off from each
// other, is away for a minute, and comes back. If they wait alike they call it
// all at once, at both moments, and bring it down again.
func TestOutageSpreadsAFleet(t *testing.T) {
	const away = clock.Minute
	plan := reading.Share(reading.ShareConfig{}, reading.View{Self: "a", Fleet: 2400}, "table")
	perSecond := make(map[clock.Millis]int)
	for seed := range uint64(2400) {
		b := reading.NewBackoff(reading.BackoffConfig{Seed: seed})
		source := rand.New(rand.NewPCG(seed, 0))
		at := clock.Millis(0)
		for at < away {
			at += max(b.Next(), plan.AfterWatch(source))
			perSecond[at/clock.Second]++
		}
		if at > away+10*clock.Second {
			t.Errorf("got a first call %v after the return, want it within 10s", at-away)
		}
	}
	for second, calls := range perSecond {
		if calls > 1000 {
			t.Errorf("got %d calls in second %d, want at most 1,000", calls, second)
		}
	}
}
