package gate_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Guards against a request that waits at a gate which the instance list marked as leaving first: it
// would wait on when the node shuts down, and begin there or be cut.
func TestWaitersOfAListedGateAreRefusedWhenTheNodeLeaves(t *testing.T) {
	g, h, _, _ := newDrainingGate(t)
	g.SetListedLeaving(true)
	g.Handle(dispatch(1, "first"), func(*wire.Reply) {})
	<-h.begun
	replies := make(chan *wire.Reply, 1)
	g.Handle(dispatch(2, "second"), func(r *wire.Reply) { replies <- r })
	if len(replies) > 0 {
		t.Fatalf("got reply %+v within the drain time, want the request to wait", <-replies)
	}
	g.Leave()
	if len(replies) == 0 {
		t.Fatal("got no reply when the node leaves, want a refusal")
	}
	if got := <-replies; got.Outcome != wire.NotRun || got.Reason != wire.ReasonLeaving {
		t.Errorf("got outcome %v, reason %s; want the request not run, since the upstream leaves", got.Outcome, got.Reason)
	}
	close(h.end)
}

// newDrainingGate returns a gate like newGate that admits requests for a long time after the
// instance list has marked it as leaving.
func newDrainingGate(t *testing.T) (*gate.Gate, *blockingBackend, table.Service, table.Upstream) {
	t.Helper()
	s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Queue: 4, Drain: clock.Hour}
	u := table.Upstream{Name: "c1", Weight: 100, Slots: 1}
	g, h := newGateFromConfig(t, gate.Config{Service: s, Upstream: u, OnChange: func() {}})
	return g, h, s, u
}
