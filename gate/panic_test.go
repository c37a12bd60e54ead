package gate_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// panicCounter counts the panics that are recorded.
type panicCounter struct{ count atomic.Int64 }

func (p *panicCounter) Record(string, any, []byte) { p.count.Add(1) }

// panickingBackend panics with a request whose id is "bad", and serves all others.
type panickingBackend struct{ blockingBackend }

func (*panickingBackend) Do(_ context.Context, c *gate.Call) (gate.Response, error) {
	if c.ID == "bad" {
		panic("a fault of this test")
	}
	return gate.Response{Status: 200}, nil
}

// panickingTracker panics with the status of a request whose id is "suspect".
type panickingTracker struct{}

func (panickingTracker) Status(d *wire.Dispatch) quarantine.Status {
	if d.CallerRequestID == "suspect" {
		panic("a fault of this test")
	}
	return quarantine.Status{}
}
func (panickingTracker) RecordCrash(quarantine.Crash)        {}
func (panickingTracker) RecordSuccess(*wire.Dispatch)        {}
func (panickingTracker) RecordInconclusive(quarantine.Crash) {}

// newPanickingGate returns a gate with one slot, whose parts panic with the requests that are named above.
func newPanickingGate(t *testing.T, c gate.Config) (*gate.Gate, *panicCounter) {
	t.Helper()
	panics := &panicCounter{}
	c.Service, c.Upstream = table.Service{Name: "conferme", Caution: table.ShortEpisodes, Queue: 4}, table.Upstream{Name: "c1", Weight: 100, Slots: 1}
	c.Incarnation, c.Now, c.Backend, c.Pool = incarnation, clock.NewSystem().Now, &panickingBackend{}, newPool(t)
	c.Crashes, c.Recorder, c.Log, c.Panics = panickingTracker{}, discardRecorder{}, logging.Silent(), panics
	c.Keys = gate.NewKeyStore(c.Now)
	return gate.New(c), panics
}

// answered waits for a reply.
func answered(t *testing.T, replies <-chan *wire.Reply) *wire.Reply {
	t.Helper()
	select {
	case r := <-replies:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("got no reply, want one")
		return nil
	}
}

// Guards against a request that is never answered, and a slot that is lost for ever, after a
// panic while the request is about to run, or runs: the pool of workers only prints it.
func TestPanicOfARunFreesItsSlotAndIsAnswered(t *testing.T) {
	for _, tt := range []struct {
		request string
		want    wire.Outcome
	}{{"bad", wire.Broken}, {"suspect", wire.NotRun}} {
		t.Run(tt.request, func(t *testing.T) {
			g, panics := newPanickingGate(t, gate.Config{})
			replies := make(chan *wire.Reply, 2)
			g.Handle(dispatch(1, tt.request), func(r *wire.Reply) { replies <- r })
			if got := answered(t, replies); got.Outcome != tt.want || got.Reason != "node-fault" {
				t.Errorf("got %v, %q; want %v, node-fault", got.Outcome, got.Reason, tt.want)
			}
			g.Handle(dispatch(2, "good"), func(r *wire.Reply) { replies <- r })
			if got := answered(t, replies); got.Outcome != wire.Answered {
				t.Errorf("next request: got %v, %q; want an answer", got.Outcome, got.Reason)
			}
			if got := panics.count.Load(); got != 1 {
				t.Errorf("got %d panics recorded, want 1", got)
			}
			if got := g.Pending(); got != 0 {
				t.Errorf("got %d requests pending, want 0", got)
			}
		})
	}
}

// await waits until panics were recorded, since the slot is given on before that, and checks their number.
func (p *panicCounter) await(t *testing.T, want int64) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); p.count.Load() < want && time.Now().Before(deadline); {
		<-time.After(time.Millisecond)
	}
	if got := p.count.Load(); got != want {
		t.Errorf("got %d panics recorded, want %d", got, want)
	}
}

// Guards against a waiter that gets no slot because the reply to the run before it panics.
func TestPanicOfAReplyDoesNotWithholdTheSlot(t *testing.T) {
	h := &blockingBackend{begun: make(chan string, 8), end: make(chan struct{})}
	panics := &panicCounter{}
	now := clock.NewSystem().Now
	g := gate.New(gate.Config{
		Service: table.Service{Name: "conferme", Caution: table.ShortEpisodes, Queue: 4}, Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 1},
		Incarnation: incarnation, Now: now, Backend: h, Pool: newPool(t), Recorder: discardRecorder{},
		Keys: gate.NewKeyStore(now), Log: logging.Silent(), Panics: panics,
	})
	replies := make(chan *wire.Reply, 1)
	g.Handle(dispatch(1, "first"), func(*wire.Reply) { panic("a fault of this test") })
	<-h.begun
	g.Handle(dispatch(2, "second"), func(r *wire.Reply) { replies <- r })
	close(h.end)
	if got := answered(t, replies); got.Outcome != wire.Answered {
		t.Errorf("got %v, %q; want an answer", got.Outcome, got.Reason)
	}
	panics.await(t, 1)
}

// Guards against a timer whose panic ends the process, and against one that isn't set again after it.
func TestPanicOfATimerEndsNeitherTheProcessNorTheTimer(t *testing.T) {
	var calls atomic.Int64
	asked := make(chan struct{}, 1)
	_, panics := newPanickingGate(t, gate.Config{RequestWork: func(uint64, *wire.WorkRequest) bool {
		if calls.Add(1) == 1 {
			panic("a fault of this test")
		}
		select {
		case asked <- struct{}{}:
		default:
		}
		return true
	}})
	select {
	case <-asked:
	case <-time.After(20 * time.Second):
		t.Error("got no second call, want one")
	}
	if got := panics.count.Load(); got != 1 {
		t.Errorf("got %d panics recorded, want 1", got)
	}
}
