package gate_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// bounded returns a gate of one slot that may grant one retry in an hour.
func bounded(t *testing.T) (*gate.Gate, *held) {
	t.Helper()
	u := table.Upstream{Name: "c1", Weight: 100, Slots: 1}
	s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Queue: 4, ExtraRetries: 5, RetryWindow: clock.Minute, Upstreams: []table.Upstream{u}}
	return gateOf(t, gate.Config{Service: s, Upstream: u})
}

// offer hands a dispatch to the gate and returns where its reply comes.
func offer(g *gate.Gate, d *wire.Dispatch) chan *wire.Reply {
	replies := make(chan *wire.Reply, 1)
	g.Handle(d, func(r *wire.Reply) { replies <- r })
	return replies
}

func retryOf(seq uint64) *wire.Dispatch {
	d := dispatch(seq, "retry")
	d.Retry = true
	return d
}

// Every entry sends a failed request on. The upstream gets the retries that its part of
// the service's budget allows, and first arrivals all the same.
func TestRetryBeyondTheQuotaIsNotRun(t *testing.T) {
	g, h := bounded(t)
	close(h.end)
	if got := <-offer(g, retryOf(1)); got.Outcome != wire.Answered {
		t.Fatalf("got %v, %s; want the first retry served", got.Outcome, got.Reason)
	}
	got := <-offer(g, retryOf(2))
	if got.Outcome != wire.NotRun || got.Reason != wire.ReasonRetryBudget {
		t.Errorf("got %v, %s; want the second one not run, for want of budget", got.Outcome, got.Reason)
	}
	if got.RetryAfter < clock.Second || got.RetryAfter > clock.Minute+clock.Second {
		t.Errorf("got RetryAfter %v, want when the first leaves the window", got.RetryAfter)
	}
	if got := <-offer(g, dispatch(3, "first")); got.Outcome != wire.Answered {
		t.Errorf("got %v, %s for a first arrival, want it served", got.Outcome, got.Reason)
	}
	if got := len(h.begun); got != 2 {
		t.Errorf("got %d requests at the upstream, want 2", got)
	}
	hold := enquire(g, &wire.CapacityProbe{ID: wire.RequestID{Entry: 1, Seq: 4}, Attempt: 1, Upstream: "c1", Retry: true, Budget: clock.Second})
	if hold.Reserved || hold.Reason != wire.ReasonRetryBudget {
		t.Errorf("got a slot kept: %v, %s; want none for want of budget", hold.Reserved, hold.Reason)
	}
}

// A retry that finds no slot reaches no upstream. Charged for it, the budget was spent by
// requests that never used it, and those that failed next to a free slot got none.
func TestRetryWithoutASlotSpendsNothing(t *testing.T) {
	g, h := bounded(t)
	running := offer(g, dispatch(1, "running"))
	<-h.begun
	refused := retryOf(2)
	refused.NoQueue = true
	if got := <-offer(g, refused); got.Reason != wire.ReasonFull {
		t.Fatalf("got %s, want it refused as full", got.Reason)
	}
	close(h.end)
	<-running
	if got := <-offer(g, retryOf(3)); got.Outcome != wire.Answered {
		t.Errorf("got %v, %s; want the retry served", got.Outcome, got.Reason)
	}
}

// Two retries wait for the same slot with room in the quota for one. The other one must
// not reach the upstream when its turn comes, and must be told as not run.
func TestRetryThatWaitedIsHeldToTheQuota(t *testing.T) {
	g, h := bounded(t)
	running := offer(g, dispatch(1, "running"))
	<-h.begun
	first, second := offer(g, retryOf(2)), offer(g, retryOf(3))
	close(h.end)
	<-running
	if got := <-first; got.Outcome != wire.Answered {
		t.Errorf("got %v, %s; want the first retry served", got.Outcome, got.Reason)
	}
	if got := <-second; got.Outcome != wire.NotRun || got.Reason != wire.ReasonRetryBudget {
		t.Errorf("got %v, %s; want the second one not run, for want of budget", got.Outcome, got.Reason)
	}
}
