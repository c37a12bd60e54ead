package gate_test

import (
	"maps"
	"slices"
	"sync"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// newGateWithOneRetry returns a gate with one slot whose retry budget admits one retry in the
// first minute.
func newGateWithOneRetry(t *testing.T) (*gate.Gate, *blockingBackend) {
	t.Helper()
	u := table.Upstream{Name: "c1", Weight: 100, Slots: 1}
	s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Queue: 4, ExtraRetries: 5, RetryWindow: clock.Minute, Upstreams: []table.Upstream{u}}
	return newGateFromConfig(t, gate.Config{Service: s, Upstream: u})
}

// handle passes a dispatch to the gate and returns the channel that receives the reply.
func handle(g *gate.Gate, d *wire.Dispatch) chan *wire.Reply {
	replies := make(chan *wire.Reply, 1)
	g.Handle(d, func(r *wire.Reply) { replies <- r })
	return replies
}

func retryDispatch(seq uint64) *wire.Dispatch {
	d := dispatch(seq, "retry")
	d.Retry = true
	return d
}

// When every entry retries its failed requests, an upstream must get only as many retries as its
// part of the service's budget allows. First attempts must still be admitted.
func TestRetryBeyondTheQuotaIsNotRun(t *testing.T) {
	g, h := newGateWithOneRetry(t)
	close(h.end)
	if got := <-handle(g, retryDispatch(1)); got.Outcome != wire.Answered {
		t.Fatalf("got outcome %v, reason %s; want the first retry served", got.Outcome, got.Reason)
	}
	got := <-handle(g, retryDispatch(2))
	if got.Outcome != wire.NotRun || got.Reason != wire.ReasonRetryBudget {
		t.Errorf("got outcome %v, reason %s; want the second retry not run, since the budget is spent", got.Outcome, got.Reason)
	}
	if got.RetryAfter < clock.Second || got.RetryAfter > clock.Minute+clock.Second {
		t.Errorf("got RetryAfter %v, want the time until the first retry leaves the window", got.RetryAfter)
	}
	if got := <-handle(g, dispatch(3, "first")); got.Outcome != wire.Answered {
		t.Errorf("got outcome %v, reason %s for a first attempt, want it served", got.Outcome, got.Reason)
	}
	if got := len(h.begun); got != 2 {
		t.Errorf("got %d requests at the upstream, want 2", got)
	}
	reservation := probeCapacity(g, &wire.CapacityProbe{ID: wire.RequestID{Entry: 1, Seq: 4}, Attempt: 1, Upstream: "c1", Retry: true, Budget: clock.Second})
	if reservation.Reserved || reservation.Reason != wire.ReasonRetryBudget {
		t.Errorf("got reserved %v, reason %s; want no slot beyond the retry budget", reservation.Reserved, reservation.Reason)
	}
}

// A retry that finds no slot reaches no upstream. If the budget were charged for it, retries that
// never ran would exhaust the budget, and retries that find a free slot would be refused.
func TestRetryWithoutASlotSpendsNoBudget(t *testing.T) {
	g, h := newGateWithOneRetry(t)
	running := handle(g, dispatch(1, "running"))
	<-h.begun
	refused := retryDispatch(2)
	refused.NoQueue = true
	if got := <-handle(g, refused); got.Reason != wire.ReasonFull {
		t.Fatalf("got reason %s, want the retry refused as full", got.Reason)
	}
	close(h.end)
	<-running
	if got := <-handle(g, retryDispatch(3)); got.Outcome != wire.Answered {
		t.Errorf("got outcome %v, reason %s; want the retry served", got.Outcome, got.Reason)
	}
}

// Two retries wait for the same slot, and the quota admits only one of them. The other one must
// not reach the upstream when it gets the slot, and must be reported as not run.
func TestQueuedRetryIsCheckedAgainstTheQuota(t *testing.T) {
	g, h := newGateWithOneRetry(t)
	running := handle(g, dispatch(1, "running"))
	<-h.begun
	first, second := handle(g, retryDispatch(2)), handle(g, retryDispatch(3))
	close(h.end)
	<-running
	if got := <-first; got.Outcome != wire.Answered {
		t.Errorf("got outcome %v, reason %s; want the first retry served", got.Outcome, got.Reason)
	}
	if got := <-second; got.Outcome != wire.NotRun || got.Reason != wire.ReasonRetryBudget {
		t.Errorf("got outcome %v, reason %s; want the second retry not run, since the budget is spent", got.Outcome, got.Reason)
	}
}

// retryCounter counts the rulings of a retry budget.
type retryCounter struct {
	mu     sync.Mutex
	counts map[retry.Ruling]int
}

func (c *retryCounter) RecordRetry(_ string, ruling retry.Ruling) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[ruling]++
}

// Operators could not see how much of the budget was granted, and why the rest was denied.
// With waiting for the service, what is left must go to urgent requests.
func TestRulingsOnRetriesAreCounted(t *testing.T) {
	for _, tt := range []struct {
		name    string
		waiting table.Waiting
		want    map[retry.Ruling]int
	}{
		{"at gates", table.WaitAtGates, map[retry.Ruling]int{retry.Granted: 4, retry.DeniedQuota: 2}},
		{"for the service", table.WaitForService, map[retry.Ruling]int{retry.Granted: 4, retry.DeniedPriority: 1, retry.DeniedQuota: 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := table.Upstream{Name: "c1", Weight: 100, Slots: 1}
			s := table.Service{Name: "conferme", Waiting: tt.waiting, Queue: 4, ExtraRetries: 20, RetryWindow: clock.Minute, Upstreams: []table.Upstream{u}}
			counter := &retryCounter{counts: map[retry.Ruling]int{}}
			g, h := newGateFromConfig(t, gate.Config{Service: s, Upstream: u, Retries: counter})
			close(h.end)
			<-handle(g, dispatch(1, "first"))
			for seq, priority := range []int{2, 2, 2, 2, 0, 0} { // a new gate's bound is 4.4
				d := retryDispatch(uint64(2 + seq))
				d.Priority = priority
				<-handle(g, d)
			}
			if !maps.Equal(counter.counts, tt.want) {
				t.Errorf("got %v, want %v", counter.counts, tt.want)
			}
		})
	}
}

// The entry chooses among gates that reserve a slot for a retry, and must know which upstreams
// shed before it gets the reservations. Other probes, and services without placement by cost,
// must cost no further message.
func TestShareOfShedRunsPrecedesReservationForRetry(t *testing.T) {
	for _, tt := range []struct {
		name      string
		placement table.Placement
		retry     bool
		want      []string
	}{
		{"retry by cost", table.PlaceByCost, true, []string{"profile", "reservation"}},
		{"first attempt by cost", table.PlaceByCost, false, []string{"reservation"}},
		{"retry to the nearest", table.PlaceNear, true, []string{"reservation"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := table.Upstream{Name: "c1", Weight: 100, Slots: 1}
			s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Placement: tt.placement, Upstreams: []table.Upstream{u}}
			var sent []string
			g, h := newGateFromConfig(t, gate.Config{Service: s, Upstream: u, SendProfile: func(_ uint64, p *wire.UpstreamProfile) {
				if p.Shed < 0.2 || p.Shed > 0.3 || p.Upstream != "c1" {
					t.Errorf("got %+v, want a quarter of the runs of c1 shed", p)
				}
				sent = append(sent, "profile")
			}})
			close(h.end)
			for seq := range uint64(3) {
				h.isShedding = seq == 2
				<-handle(g, dispatch(seq, "run"))
			}
			g.ProbeCapacity(&wire.CapacityProbe{ID: wire.RequestID{Entry: 1, Seq: 9}, Attempt: 2, Upstream: "c1", Retry: tt.retry, Budget: clock.Second},
				func(r *wire.Reservation) {
					if !r.Reserved {
						t.Errorf("got no slot, reason %s; want one reserved", r.Reason)
					}
					sent = append(sent, "reservation")
				})
			if !slices.Equal(sent, tt.want) {
				t.Errorf("got %v, want %v", sent, tt.want)
			}
		})
	}
}
