package gate_test

import (
	"context"
	"slices"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// truncatingBackend is a backend server that truncates all its responses: one for each value
// received from end, or all when end is closed.
type truncatingBackend struct {
	blockingBackend
	isGone bool
	// closing, if not nil, is closed when the process stops listening.
	closing chan struct{}
}

func (b *truncatingBackend) Do(_ context.Context, c *gate.Call) (gate.Response, error) {
	b.begun <- c.ID
	<-b.end
	return gate.Response{}, gate.ErrTruncated
}

func (b *truncatingBackend) IsGone() bool {
	select {
	case <-b.closing:
		return true
	default:
		return b.isGone
	}
}

// eventRecorder retains the kinds of the recorded events.
type eventRecorder struct {
	mu    sync.Mutex
	kinds []access.EventKind
}

func (k *eventRecorder) RecordEvent(e access.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kinds = append(k.kinds, e.Kind)
}

func (k *eventRecorder) count(kind access.EventKind) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(slices.DeleteFunc(slices.Clone(k.kinds), func(other access.EventKind) bool { return other != kind }))
}

// Three responses are truncated at the same time. The log must distinguish a crashed process
// from broken connections and name the requests that ran, or a request that crashes backend
// servers can't be identified.
func TestCrashIsDistinguishedFromBrokenConnections(t *testing.T) {
	for _, tt := range []struct {
		name       string
		isGone     bool
		wantReason wire.Reason
		wantEvents int
	}{
		{"process gone", true, wire.ReasonCrashed, 1},
		{"connections broken", false, wire.ReasonTruncated, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := &truncatingBackend{blockingBackend: blockingBackend{begun: make(chan string, 8), end: make(chan struct{})}, isGone: tt.isGone}
			log, entries := logging.Silent(), make(logHook, 8)
			log.AddHook(entries)
			events := &eventRecorder{}
			now := clock.NewSystem().Now
			g := gate.New(gate.Config{
				Service: table.Service{Name: "conferme", Caution: table.ShortEpisodes}, Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 3},
				Incarnation: incarnation, Now: now, Backend: b, Pool: newPool(t), Recorder: events, Keys: gate.NewKeyStore(now), Log: log,
			})
			replies := make(chan *wire.Reply, 3)
			for seq := range uint64(3) {
				g.Handle(dispatch(seq, ""), func(r *wire.Reply) { replies <- r })
				<-b.begun
			}
			close(b.end)
			for range 3 {
				if got := <-replies; got.Reason != tt.wantReason {
					t.Errorf("got reason %s, want %s", got.Reason, tt.wantReason)
				}
			}
			if got := events.count(access.Crashed); got != tt.wantEvents {
				t.Errorf("got %d crash events, want %d", got, tt.wantEvents)
			}
			runs, crashes := 0, 0
			for runs < 3 {
				switch entry := <-entries; entry.Message {
				case "request not answered by the backend server":
					runs++
					if got, want := entry.Data["fingerprint"], fingerprintOf(dispatch(0, "")); got != want {
						t.Errorf("got fingerprint %v, want %s", got, want)
					}
				case "backend server crashed under its runs":
					crashes++
				}
			}
			if crashes != tt.wantEvents {
				t.Errorf("got %d log lines of a crash, want %d", crashes, tt.wantEvents)
			}
		})
	}
}

// logHook sends log entries to a channel as they are written.
type logHook chan *logrus.Entry

// Levels returns all levels.
func (logHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire sends an entry to the channel.
func (h logHook) Fire(entry *logrus.Entry) error {
	h <- entry
	return nil
}

func fingerprintOf(d *wire.Dispatch) string {
	subject := d.QuarantineRequest()
	return subject.Fingerprint().String()
}

// fakeCrashTracker reports the same status for all requests and counts what the gate records.
type fakeCrashTracker struct {
	mu     sync.Mutex
	status quarantine.Status
	// statusCalls, if not nil, receives a value for each call of Status.
	statusCalls chan struct{}
	// succeeded and inconclusive count the recorded runs.
	succeeded, inconclusive int
	// crashes, if not nil, receives the recorded crashes.
	crashes chan quarantine.Crash
}

func (s *fakeCrashTracker) Status(*wire.Dispatch) quarantine.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.statusCalls != nil {
		s.statusCalls <- struct{}{}
	}
	return s.status
}

func (s *fakeCrashTracker) RecordCrash(c quarantine.Crash) {
	if s.crashes != nil {
		s.crashes <- c
	}
}

func (s *fakeCrashTracker) RecordSuccess(*wire.Dispatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.succeeded++
}

func (s *fakeCrashTracker) RecordInconclusive(quarantine.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inconclusive++
}

func (s *fakeCrashTracker) setStatus(status quarantine.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// Guards against two suspected requests running at the same time: a crash would then be evidence
// against both of them.
func TestSuspectsRunOneAtATime(t *testing.T) {
	s := &fakeCrashTracker{status: quarantine.Status{Verdict: quarantine.Suspected}, statusCalls: make(chan struct{}, 16)}
	g, h := newGateFromConfig(t, gate.Config{
		Service: table.Service{Name: "conferme", Caution: table.ShortEpisodes}, Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 4}, Crashes: s,
	})
	replies := make(chan *wire.Reply, 4)
	for i, name := range []string{"first", "second", "third"} {
		g.Handle(dispatch(uint64(i), name), func(r *wire.Reply) { replies <- r })
	}
	first := <-h.begun
	for range 3 {
		<-s.statusCalls
	}
	s.setStatus(quarantine.Status{IsCleared: true}) // before the first one ends
	g.Handle(dispatch(1000, "harmless"), func(r *wire.Reply) { replies <- r })
	if got := <-h.begun; got != "harmless" {
		t.Errorf("%s began while the suspect %s ran, want only the harmless request to begin", got, first)
	}
	h.end <- struct{}{}
	h.end <- struct{}{}
	<-h.begun
	<-h.begun
	close(h.end)
	for range 4 {
		if got := <-replies; got.Outcome != wire.Answered {
			t.Errorf("got outcome %v, reason %q; want all requests answered", got.Outcome, got.Reason)
		}
	}
}

// Guards against a quarantined request reaching the backend server through an entry that doesn't
// know of the quarantine yet.
func TestQuarantinedRequestIsNotRun(t *testing.T) {
	s := &fakeCrashTracker{status: quarantine.Status{Verdict: quarantine.Quarantined, Versions: []string{"v1"}}}
	for _, tt := range []struct {
		name    string
		entry   quarantine.Verdict
		version string
		wantRun bool
	}{
		{"unknown to the entry", quarantine.Free, "v1", false},
		{"known to the entry", quarantine.Quarantined, "v1", false},
		{"another version, unknown to the entry", quarantine.Free, "v2", false},
		{"another version, on trial", quarantine.Suspected, "v2", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			g, h := newGateFromConfig(t, gate.Config{
				Service:  table.Service{Name: "conferme", Caution: table.ShortEpisodes},
				Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 1, Version: tt.version}, Crashes: s,
			})
			close(h.end)
			d := dispatch(1, "deadly")
			d.Verdict = uint8(tt.entry)
			replies := make(chan *wire.Reply, 1)
			g.Handle(d, func(r *wire.Reply) { replies <- r })
			got := <-replies
			if isRun := got.Outcome == wire.Answered; isRun != tt.wantRun || (!isRun && got.Reason != wire.ReasonQuarantined) {
				t.Errorf("got outcome %v, reason %q; want run %t", got.Outcome, got.Reason, tt.wantRun)
			}
		})
	}
}

// Guards against requests that wait for a backend server whose process has ended: they would be
// refused only when they get a slot, with no time left for another upstream.
func TestWaitersAreRefusedWhenTheProcessEnds(t *testing.T) {
	b := &truncatingBackend{blockingBackend: blockingBackend{begun: make(chan string, 8), end: make(chan struct{})}, isGone: true}
	now := clock.NewSystem().Now
	changed := make(chan struct{}, 8)
	g := gate.New(gate.Config{
		Service: table.Service{Name: "conferme", Caution: table.ShortEpisodes, Queue: 4}, Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 1},
		Incarnation: incarnation, Now: now, Backend: b, Pool: newPool(t), Recorder: discardRecorder{}, Keys: gate.NewKeyStore(now), Log: logging.Silent(),
		OnChange: func() { changed <- struct{}{} },
	})
	g.Handle(dispatch(1, "first"), func(*wire.Reply) {})
	<-b.begun
	replies := make(chan *wire.Reply, 2)
	g.Handle(dispatch(2, "waits"), func(r *wire.Reply) { replies <- r })
	close(b.end)
	if got := <-replies; got.Outcome != wire.NotRun || got.Reason != wire.ReasonConnectionRefused {
		t.Errorf("got outcome %v, reason %q for the waiting request, want it refused", got.Outcome, got.Reason)
	}
	<-changed
	if got := g.Status(); !got.Down {
		t.Errorf("got status %+v, want the upstream down", got)
	}
	g.Handle(dispatch(3, "later"), func(r *wire.Reply) { replies <- r })
	if got := <-replies; got.Reason != wire.ReasonConnectionRefused {
		t.Errorf("got reason %q for a later request, want %q", got.Reason, wire.ReasonConnectionRefused)
	}
}

// fixedBackend is a backend server that returns the same response to all requests.
type fixedBackend struct {
	blockingBackend
	response gate.Response
	err      error
}

func (a *fixedBackend) Do(context.Context, *gate.Call) (gate.Response, error) {
	return a.response, a.err
}

// Guards against clearing a request that crashes backend servers because a backend server in a
// failure episode answered it with an immediate failure, and against endless trials that prove
// nothing.
func TestFailureDoesNotClearASuspect(t *testing.T) {
	for _, tt := range []struct {
		name                      string
		response                  gate.Response
		err                       error
		wantSucceeded, wantMissed int
	}{
		{"success", gate.Response{Status: 200}, nil, 1, 0},
		{"caller's fault", gate.Response{Status: 404}, nil, 1, 0},
		{"failure", gate.Response{Status: 500}, nil, 0, 1},
		{"shed", gate.Response{Status: 503, Shed: true}, nil, 0, 1},
		{"no response in time", gate.Response{}, gate.ErrTimeout, 0, 1},
		{"nothing sent", gate.Response{}, gate.ErrRefused, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &fakeCrashTracker{status: quarantine.Status{Verdict: quarantine.Suspected}}
			now := clock.NewSystem().Now
			g := gate.New(gate.Config{
				Service: table.Service{Name: "conferme", Caution: table.ShortEpisodes}, Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 1},
				Incarnation: incarnation, Now: now, Backend: &fixedBackend{response: tt.response, err: tt.err}, Pool: newPool(t), Recorder: discardRecorder{},
				Keys: gate.NewKeyStore(now), Log: logging.Silent(), Crashes: s,
			})
			replies := make(chan *wire.Reply, 1)
			g.Handle(dispatch(1, "suspect"), func(r *wire.Reply) { replies <- r })
			<-replies
			if s.succeeded != tt.wantSucceeded || s.inconclusive != tt.wantMissed {
				t.Errorf("got %d successes and %d inconclusive trials, want %d and %d", s.succeeded, s.inconclusive, tt.wantSucceeded, tt.wantMissed)
			}
		})
	}
}

// Guards against missing the request that crashed a process in the list of suspects, because its
// connection broke a moment before the address was closed.
func TestCrashIsDetectedWhenTheListenerClosesLast(t *testing.T) {
	b := &truncatingBackend{blockingBackend: blockingBackend{begun: make(chan string, 8), end: make(chan struct{})}, closing: make(chan struct{})}
	s := &fakeCrashTracker{crashes: make(chan quarantine.Crash, 2)}
	now := clock.NewSystem().Now
	g := gate.New(gate.Config{
		Service: table.Service{Name: "conferme", Caution: table.ShortEpisodes}, Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 2},
		Incarnation: incarnation, Now: now, Backend: b, Pool: newPool(t), Recorder: discardRecorder{}, Keys: gate.NewKeyStore(now), Log: logging.Silent(), Crashes: s,
	})
	replies := make(chan *wire.Reply, 2)
	for _, name := range []string{"first", "second"} {
		g.Handle(dispatch(uint64(name[0]), name), func(r *wire.Reply) { replies <- r })
		<-b.begun
	}
	b.end <- struct{}{}
	if got := <-replies; got.Reason != wire.ReasonTruncated {
		t.Errorf("got reason %q while the address accepts connections, want %q", got.Reason, wire.ReasonTruncated)
	}
	close(b.closing)
	crash := <-s.crashes
	var got []string
	for _, suspect := range crash.Suspects {
		got = append(got, suspect.Request)
	}
	slices.Sort(got)
	if want := []string{"first", "second"}; !slices.Equal(got, want) {
		t.Errorf("got suspects %v, want %v", got, want)
	}
	close(b.end)
	if got := <-replies; got.Reason != wire.ReasonCrashed {
		t.Errorf("got reason %q, want %q", got.Reason, wire.ReasonCrashed)
	}
}
