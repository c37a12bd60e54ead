package gate_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/announcement"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// limitedBackend is a backend server that answers immediately and names a rate limit in its
// responses. Its clock is the test's.
type limitedBackend struct {
	mu       sync.Mutex
	now      clock.Millis
	named    announcement.Announcement
	arrivals []clock.Millis
	isGone   bool
	isFull   bool
}

// refuses sets whether the backend server refuses all requests.
func (b *limitedBackend) refuses(isFull bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isFull = isFull
}

func (b *limitedBackend) Do(_ context.Context, _ *gate.Call) (gate.Response, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, b.now)
	if b.isFull {
		return gate.Response{Status: 503, Shed: true, Overloaded: true, Announcement: b.named, HasAnnouncement: true}, nil
	}
	return gate.Response{Status: 200, Announcement: b.named, HasAnnouncement: true}, nil
}

func (*limitedBackend) Probe(string) bool { return true }
func (b *limitedBackend) IsGone() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isGone
}
func (*limitedBackend) Close()                     {}
func (*limitedBackend) ResetConnections(time.Time) {}

func (b *limitedBackend) clock() clock.Millis {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

func (b *limitedBackend) advance(span clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now += span
}

func (b *limitedBackend) announceNothing() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.named = announcement.Announcement{}
}

// peak returns the most arrivals in any window that begins at since or later.
func (b *limitedBackend) peak(since, window clock.Millis) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := 0
	for i, at := range b.arrivals {
		if at >= since {
			end, _ := slices.BinarySearch(b.arrivals, at+window)
			most = max(most, end-i)
		}
	}
	return most
}

func limitedGateConfig(t *testing.T, b *limitedBackend) gate.Config {
	t.Helper()
	u := table.Upstream{Name: "c1", Weight: 100, Slots: 3}
	return gate.Config{
		Service: table.Service{Name: "conferme", Caution: table.ShortEpisodes, Queue: 4}, Upstream: u,
		Incarnation: incarnation, Now: b.clock, Backend: b, Pool: newPool(t), Recorder: discardRecorder{},
		Keys: gate.NewKeyStore(b.clock), Log: logging.Silent(),
	}
}

// sendFor sends a request from each of several entries in turn, perSecond in all, for a span of
// the test's clock. It returns how many were refused and for which reason the last one was.
func sendFor(g *gate.Gate, b *limitedBackend, seq *uint64, perSecond int, span clock.Millis) (refused int, reason wire.Reason) {
	const entries = 24
	interval := clock.Second / clock.Millis(perSecond)
	for range span / interval {
		*seq++
		d := dispatch(*seq, "")
		d.ID.Entry, d.NoQueue, d.Repeatable, d.Method = *seq%entries, true, true, "GET"
		if got := <-handle(g, d); got.Outcome == wire.NotRun {
			refused++
			reason = got.Reason
		}
		b.advance(interval)
	}
	return refused, reason
}

const (
	// limitWindow is the span over which the users' rule counts arrivals, limitNotice the time
	// after the first naming from which it does.
	limitWindow = 4 * clock.Second
	limitNotice = 3 * clock.Second
)

// allowedArrivals returns how many requests the users' rule allows in limitWindow.
func allowedArrivals(rate float64) int {
	return int(1.5*rate*limitWindow.Seconds()) + 5
}

// Guards against a gate that passes on more requests than its backend server has said it accepts.
func TestGateKeepsToTheRateLimitOfItsBackendServer(t *testing.T) {
	for _, rate := range []float64{0, 0.5, 1.3, 3.3, 8} {
		b := &limitedBackend{named: announcement.Announcement{IsLimited: true, RateLimit: rate}}
		g := gate.New(limitedGateConfig(t, b))
		seq := uint64(0)
		sendFor(g, b, &seq, 20, 20*clock.Second)
		if got, want := b.peak(limitNotice, limitWindow), allowedArrivals(rate); got > want {
			t.Errorf("rate %v: got %d requests in %v, want at most %d", rate, got, limitWindow, want)
		}
	}
}

// Guards against a limit that outlives the need of the backend server: it applies as long as
// responses name it.
func TestRateLimitEndsWhenItIsNoLongerNamed(t *testing.T) {
	b := &limitedBackend{named: announcement.Announcement{IsLimited: true, RateLimit: 0.5}}
	g := gate.New(limitedGateConfig(t, b))
	seq := uint64(0)
	if refused, reason := sendFor(g, b, &seq, 10, 10*clock.Second); refused == 0 || reason != wire.ReasonRateLimit {
		t.Fatalf("got %d requests refused, the last one as %q; want refusals for the limit", refused, reason)
	}
	b.announceNothing()
	sendFor(g, b, &seq, 10, 4*clock.Second) // until a response omits the limit
	if refused, reason := sendFor(g, b, &seq, 10, 10*clock.Second); refused != 0 {
		t.Errorf("got %d requests refused, the last one as %q; want none after the limit has ended", refused, reason)
	}
}

// Guards against a less urgent request that takes the turn of a more urgent one while the rate
// limit of their backend server makes both wait.
func TestRateLimitAdmitsUrgentRequestsFirst(t *testing.T) {
	b := &limitedBackend{named: announcement.Announcement{IsLimited: true, RateLimit: 20}}
	c := limitedGateConfig(t, b)
	c.Now = clock.NewSystem().Now
	c.Keys = gate.NewKeyStore(c.Now)
	g := gate.New(c)
	if got := <-handle(g, dispatch(1, "first")); got.Outcome != wire.Answered {
		t.Fatalf("got outcome %v, reason %s; want the request served", got.Outcome, got.Reason)
	}
	reserved := make(chan int, 2)
	for priority := 3; priority >= 0; priority -= 3 {
		id := wire.RequestID{Entry: 1, Seq: uint64(2 + priority)}
		g.ProbeCapacity(&wire.CapacityProbe{
			ID: id, Attempt: 1, Upstream: "c1", Priority: priority, Budget: clock.Minute, WaitBudget: clock.Minute,
		}, func(r *wire.Reservation) {
			if r.Reserved {
				reserved <- priority
			}
		})
	}
	if first, second := <-reserved, <-reserved; first != 0 || second != 3 {
		t.Errorf("got priorities %d and %d admitted, want 0 and 3", first, second)
	}
}

// Guards against a new process under the same name that inherits the limit of its predecessor.
func TestRestartedUpstreamHasNoRateLimit(t *testing.T) {
	b := &limitedBackend{named: announcement.Announcement{IsLimited: true, RateLimit: 0.5}}
	c := limitedGateConfig(t, b)
	g := gate.New(c)
	seq := uint64(0)
	sendFor(g, b, &seq, 10, clock.Second)
	c.Upstream.Started++
	b.announceNothing()
	g.Update(c.Service, c.Upstream)
	if refused, reason := sendFor(g, b, &seq, 10, clock.Second); refused != 0 {
		t.Errorf("got %d requests refused, the last one as %q; want none", refused, reason)
	}
}

// Guards against requests that are sent to a backend server after its responses have said that it
// shuts down, while the platform's list doesn't say so yet.
func TestGateAdmitsNothingAfterItsBackendServerAnnouncesToLeave(t *testing.T) {
	b := &limitedBackend{named: announcement.Announcement{IsLeaving: true}}
	g := gate.New(limitedGateConfig(t, b))
	seq := uint64(0)
	sendFor(g, b, &seq, 10, clock.Second)
	if got := len(b.arrivals); got != 1 {
		t.Errorf("got %d requests at the backend server, want the one whose response announced that it leaves", got)
	}
	if !g.Status().Leaving {
		t.Error("got a status without Leaving, want entries notified")
	}
	b.announceNothing()
	if refused, reason := sendFor(g, b, &seq, 10, clock.Minute); refused != 600 || reason != wire.ReasonLeaving {
		t.Errorf("got %d requests refused, the last one as %q; want all 600 refused as leaving", refused, reason)
	}
}

// Guards against an upstream that returns under its name, after its registration has expired,
// and whose new gate knows nothing of what the process has announced.
func TestReturningUpstreamKeepsItsAnnouncement(t *testing.T) {
	for _, announced := range []announcement.Announcement{{IsLimited: true, RateLimit: 0.5}, {IsLeaving: true}} {
		b := &limitedBackend{named: announced}
		c := limitedGateConfig(t, b)
		seq := uint64(0)
		first := gate.New(c)
		sendFor(first, b, &seq, 10, clock.Second)
		first.Leave()
		c.Previous = first
		before := len(b.arrivals)
		sendFor(gate.New(c), b, &seq, 10, clock.Second)
		if got := len(b.arrivals) - before; got > 0 {
			t.Errorf("%+v: got %d requests in the first second, want none", announced, got)
		}
	}
}

// Guards against a restarted gate that passes on requests without a limit until the backend
// server's next response.
func TestRestartedGateLearnsTheRateLimitFromEntries(t *testing.T) {
	told := func(rate float64, age clock.Millis) wire.Announcement {
		return wire.Announcement{Upstream: "c1", IsLimited: true, RateLimit: rate, Age: age}
	}
	tests := []struct {
		name string
		told []wire.Announcement
		want float64
	}{
		{"one entry", []wire.Announcement{told(0.5, 100)}, 0.5},
		{"the latest first", []wire.Announcement{told(0.5, 100), told(8, 9000)}, 0.5},
		{"the latest last", []wire.Announcement{told(8, 9000), told(0.5, 100)}, 0.5},
		{"of another process", []wire.Announcement{{Upstream: "c1", Started: 99, IsLimited: true, RateLimit: 0.5}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := &limitedBackend{}
			g := gate.New(limitedGateConfig(t, b))
			for _, a := range tt.told {
				g.LearnAnnouncement(a)
			}
			if got := g.MetricsState().RateLimit; got != tt.want {
				t.Errorf("got a limit of %v, want %v", got, tt.want)
			}
			seq := uint64(0)
			sendFor(g, b, &seq, 10, 3*clock.Second) // a response without a limit ends it
			g.LearnAnnouncement(told(0.5, 0))
			if got := g.MetricsState(); got.IsLimited {
				t.Errorf("got a limit of %v from an entry, want what the backend server itself announces", got.RateLimit)
			}
		})
	}
}

// Guards against a backend server that announces to leave, ends and is started again, and that
// gets no requests any more because its name and address are the same.
func TestReplacedBackendServerIsUsedAgain(t *testing.T) {
	b := &limitedBackend{named: announcement.Announcement{IsLeaving: true}}
	changed := make(chan struct{}, 8)
	c := limitedGateConfig(t, b)
	c.OnChange = func() { changed <- struct{}{} }
	g := gate.New(c)
	seq := uint64(0)
	sendFor(g, b, &seq, 10, clock.Second)
	b.announceNothing()
	for _, isGone := range []bool{true, false} {
		b.mu.Lock()
		b.isGone = isGone
		b.mu.Unlock()
		if isGone {
			<-time.After(1200 * time.Millisecond) // two checks
			if !g.Status().Leaving {
				t.Error("got a status without Leaving before another process listens")
			}
		}
	}
	for g.Status().Leaving {
		<-changed
	}
	if refused, reason := sendFor(g, b, &seq, 10, clock.Second); refused != 0 {
		t.Errorf("got %d requests refused, the last one as %q; want none", refused, reason)
	}
}

// Guards against a limit that a refusal ends, though the backend server still needs it.
func TestRefusalWithoutALimitEndsNone(t *testing.T) {
	b := &limitedBackend{named: announcement.Announcement{IsLimited: true, RateLimit: 0.5}}
	g := gate.New(limitedGateConfig(t, b))
	seq := uint64(0)
	sendFor(g, b, &seq, 10, clock.Second)
	b.announceNothing()
	b.refuses(true)
	sendFor(g, b, &seq, 10, 10*clock.Second)
	if got := g.MetricsState(); !got.IsLimited || got.RateLimit != 0.5 {
		t.Errorf("got limited %v to %v, want the limit of 0.5 a second", got.IsLimited, got.RateLimit)
	}
	b.refuses(false)
	sendFor(g, b, &seq, 10, 4*clock.Second)
	if g.MetricsState().IsLimited {
		t.Error("got a limit after a response without one, want none")
	}
}

// Guards against a gate that reports an upstream as full, after its rate limit admits requests
// again, until one arrives: entries prefer upstreams with free slots, and none does.
func TestUpstreamIsFreeOnceItsRateLimitAdmitsRequests(t *testing.T) {
	b := &limitedBackend{now: 1000, named: announcement.Announcement{IsLimited: true, RateLimit: 1}}
	g := gate.New(limitedGateConfig(t, b))
	seq := uint64(0)
	if refused, reason := sendFor(g, b, &seq, 10, clock.Second); refused == 0 || reason != wire.ReasonRateLimit {
		t.Fatalf("got %d refused, the last for %q; want some for the rate limit", refused, reason)
	}
	if got := g.Status().InFlight; got != 3 {
		t.Errorf("got %d in flight while the limit admits none, want all slots", got)
	}
	b.advance(2 * clock.Second)
	if got := g.Status().InFlight; got != 0 {
		t.Errorf("got %d in flight once the limit admits a request, want 0", got)
	}
}
