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

// broken is a backend server that breaks off all its answers when it is told to.
type broken struct {
	held
	isGone bool
	// closing, if it isn't nil, is closed when nothing listens any more.
	closing chan struct{}
}

func (b *broken) Do(_ context.Context, c *gate.Call) (gate.Response, error) {
	b.begun <- c.ID
	<-b.end
	return gate.Response{}, gate.ErrTruncated
}

func (b *broken) IsGone() bool {
	select {
	case <-b.closing:
		return true
	default:
		return b.isGone
	}
}

// retainedReply holds the events that were noted.
type retainedReply struct {
	mu    sync.Mutex
	kinds []access.EventKind
}

func (k *retainedReply) RecordEvent(e access.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kinds = append(k.kinds, e.Kind)
}

func (k *retainedReply) count(kind access.EventKind) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(slices.DeleteFunc(slices.Clone(k.kinds), func(other access.EventKind) bool { return other != kind }))
}

// Three runs break off at once. Unless the lines tell a process that ended from a
// connection that broke, and which requests ran there, a request that crashes its
// backend servers can't be found.
func TestACrashIsToldFromABrokenConnection(t *testing.T) {
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
			b := &broken{held: held{begun: make(chan string, 8), end: make(chan struct{})}, isGone: tt.isGone}
			log, told := logging.Silent(), make(lineHook, 8)
			log.AddHook(told)
			journal := &retainedReply{}
			now := clock.NewSystem().Now
			g := gate.New(gate.Config{
				Service: table.Service{Name: "conferme", Caution: table.ShortEpisodes}, Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 3},
				Incarnation: incarnation, Now: now, Backend: b, Pool: newPool(t), Journal: journal, Keys: gate.NewKeyStore(now), Log: log,
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
			if got := journal.count(access.Crashed); got != tt.wantEvents {
				t.Errorf("got %d crashes noted, want %d", got, tt.wantEvents)
			}
			runs, crashes := 0, 0
			for runs < 3 {
				switch one := <-told; one.Message {
				case "request not answered by the backend server":
					runs++
					if got, want := one.Data["fingerprint"], fingerprintOf(dispatch(0, "")); got != want {
						t.Errorf("got fingerprint %v, want %s", got, want)
					}
				case "backend server crashed under its runs":
					crashes++
				}
			}
			if crashes != tt.wantEvents {
				t.Errorf("got %d lines of a crash, want %d", crashes, tt.wantEvents)
			}
		})
	}
}

// lineHook hands on log lines as they are written.
type lineHook chan *logrus.Entry

// Levels takes in all lines.
func (lineHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire hands on a line.
func (h lineHook) Fire(one *logrus.Entry) error {
	h <- one
	return nil
}

func fingerprintOf(d *wire.Dispatch) string {
	subject := d.QuarantineRequest()
	return subject.Fingerprint().String()
}

// said is what a node knows of all requests.
type said struct {
	mu       sync.Mutex
	standing quarantine.Status
	// asked, if not nil, gets one for each question.
	asked chan struct{}
	// succeeded and missed count what the gate told.
	succeeded, missed int
	// ended, if not nil, gets the ends that the gate told.
	ended chan quarantine.Crash
}

func (s *said) Status(*wire.Dispatch) quarantine.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.asked != nil {
		s.asked <- struct{}{}
	}
	return s.standing
}

func (s *said) RecordCrash(e quarantine.Crash) {
	if s.ended != nil {
		s.ended <- e
	}
}

func (s *said) RecordSuccess(*wire.Dispatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.succeeded++
}

func (s *said) RecordInconclusive(quarantine.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.missed++
}

func (s *said) say(standing quarantine.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standing = standing
}

// Guards against suspected requests running beside each other: an end would then speak
// against all of them.
func TestSuspectsRunOneAtATime(t *testing.T) {
	s := &said{standing: quarantine.Status{Verdict: quarantine.Suspected}, asked: make(chan struct{}, 16)}
	g, h := gateOf(t, gate.Config{
		Service: table.Service{Name: "conferme", Caution: table.ShortEpisodes}, Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 4}, Crashes: s,
	})
	replies := make(chan *wire.Reply, 4)
	for i, name := range []string{"first", "second", "third"} {
		g.Handle(dispatch(uint64(i), name), func(r *wire.Reply) { replies <- r })
	}
	first := <-h.begun
	for range 3 {
		<-s.asked
	}
	s.say(quarantine.Status{IsCleared: true}) // by the first one's end
	g.Handle(dispatch(1000, "harmless"), func(r *wire.Reply) { replies <- r })
	if got := <-h.begun; got != "harmless" {
		t.Errorf("got %s begun beside the suspect %s, want only the harmless one", got, first)
	}
	h.end <- struct{}{}
	h.end <- struct{}{}
	<-h.begun
	<-h.begun
	close(h.end)
	for range 4 {
		if got := <-replies; got.Outcome != wire.Answered {
			t.Errorf("got outcome %v %q, want all answered", got.Outcome, got.Reason)
		}
	}
}

// Guards against a request that is held back reaching the backend server through an entry
// that hasn't heard of it.
func TestAQuarantinedRequestIsNotRun(t *testing.T) {
	s := &said{standing: quarantine.Status{Verdict: quarantine.Quarantined, Versions: []string{"v1"}}}
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
			g, h := gateOf(t, gate.Config{
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
				t.Errorf("got outcome %v %q, want run %t", got.Outcome, got.Reason, tt.wantRun)
			}
		})
	}
}

// Guards against requests waiting for a backend server whose process has ended, to be
// refused by its address when their turn comes and no time is left for another.
func TestWaitersAreRefusedWhenTheProcessEnds(t *testing.T) {
	b := &broken{held: held{begun: make(chan string, 8), end: make(chan struct{})}, isGone: true}
	now := clock.NewSystem().Now
	told := make(chan struct{}, 8)
	g := gate.New(gate.Config{
		Service: table.Service{Name: "conferme", Caution: table.ShortEpisodes, Queue: 4}, Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 1},
		Incarnation: incarnation, Now: now, Backend: b, Pool: newPool(t), Journal: nobody{}, Keys: gate.NewKeyStore(now), Log: logging.Silent(),
		OnChange: func() { told <- struct{}{} },
	})
	g.Handle(dispatch(1, "first"), func(*wire.Reply) {})
	<-b.begun
	replies := make(chan *wire.Reply, 2)
	g.Handle(dispatch(2, "waits"), func(r *wire.Reply) { replies <- r })
	close(b.end)
	if got := <-replies; got.Outcome != wire.NotRun || got.Reason != wire.ReasonConnectionRefused {
		t.Errorf("got outcome %v %q for the one that waits, want it refused", got.Outcome, got.Reason)
	}
	<-told
	if got := g.Status(); !got.Down {
		t.Errorf("got %+v, want it down", got)
	}
	g.Handle(dispatch(3, "later"), func(r *wire.Reply) { replies <- r })
	if got := <-replies; got.Reason != wire.ReasonConnectionRefused {
		t.Errorf("got reason %q for a later one, want %q", got.Reason, wire.ReasonConnectionRefused)
	}
}

// answers is a backend server that gives the same answer to all.
type answers struct {
	held
	answer gate.Response
	err    error
}

func (a *answers) Do(context.Context, *gate.Call) (gate.Response, error) {
	return a.answer, a.err
}

// Guards against a deadly request being cleared by a backend server in an episode, which
// fails all it gets at once, and against trials without end that show nothing.
func TestAFailureClearsNobody(t *testing.T) {
	for _, tt := range []struct {
		name                      string
		answer                    gate.Response
		err                       error
		wantSucceeded, wantMissed int
	}{
		{"success", gate.Response{Status: 200}, nil, 1, 0},
		{"the caller's fault", gate.Response{Status: 404}, nil, 1, 0},
		{"failure", gate.Response{Status: 500}, nil, 0, 1},
		{"shed", gate.Response{Status: 503, Shed: true}, nil, 0, 1},
		{"no answer in time", gate.Response{}, gate.ErrTimeout, 0, 1},
		{"nothing sent", gate.Response{}, gate.ErrRefused, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := &said{standing: quarantine.Status{Verdict: quarantine.Suspected}}
			now := clock.NewSystem().Now
			g := gate.New(gate.Config{
				Service: table.Service{Name: "conferme", Caution: table.ShortEpisodes}, Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 1},
				Incarnation: incarnation, Now: now, Backend: &answers{answer: tt.answer, err: tt.err}, Pool: newPool(t), Journal: nobody{},
				Keys: gate.NewKeyStore(now), Log: logging.Silent(), Crashes: s,
			})
			replies := make(chan *wire.Reply, 1)
			g.Handle(dispatch(1, "suspect"), func(r *wire.Reply) { replies <- r })
			<-replies
			if s.succeeded != tt.wantSucceeded || s.missed != tt.wantMissed {
				t.Errorf("got %d successes and %d misses told, want %d and %d", s.succeeded, s.missed, tt.wantSucceeded, tt.wantMissed)
			}
		})
	}
}

// Guards against the one request that crashed a process being left out of what ran there,
// since its connection broke off a moment before the address was closed.
func TestACrashIsFoundThoughTheAddressClosesLast(t *testing.T) {
	b := &broken{held: held{begun: make(chan string, 8), end: make(chan struct{})}, closing: make(chan struct{})}
	s := &said{ended: make(chan quarantine.Crash, 2)}
	now := clock.NewSystem().Now
	g := gate.New(gate.Config{
		Service: table.Service{Name: "conferme", Caution: table.ShortEpisodes}, Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 2},
		Incarnation: incarnation, Now: now, Backend: b, Pool: newPool(t), Journal: nobody{}, Keys: gate.NewKeyStore(now), Log: logging.Silent(), Crashes: s,
	})
	replies := make(chan *wire.Reply, 2)
	for _, name := range []string{"first", "second"} {
		g.Handle(dispatch(uint64(name[0]), name), func(r *wire.Reply) { replies <- r })
		<-b.begun
	}
	b.end <- struct{}{}
	if got := <-replies; got.Reason != wire.ReasonTruncated {
		t.Errorf("got reason %q while the address is open, want %q", got.Reason, wire.ReasonTruncated)
	}
	close(b.closing)
	end := <-s.ended
	var got []string
	for _, one := range end.Suspects {
		got = append(got, one.Request)
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
