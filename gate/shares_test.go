package gate_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// One account holds the only slot and the only queue position. A request of another account must
// take the position, and the displaced one must end as not run with a retry time. Where requests
// wait at gates, the order of arrival must hold as before.
func TestQueuePositionGoesToTheAccountThatUsedLess(t *testing.T) {
	for _, waiting := range []table.Waiting{table.WaitForService, table.WaitAtGates} {
		g, h := newGateFromConfig(t, gate.Config{
			Service:  table.Service{Name: "conferme", Queue: 1, Waiting: waiting},
			Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 1},
		})
		send := func(seq uint64, label, account string) chan *wire.Reply {
			d, replies := dispatch(seq, label), make(chan *wire.Reply, 1)
			d.Account = account
			g.Handle(d, func(r *wire.Reply) { replies <- r })
			return replies
		}
		send(1, "first", "large")
		<-h.begun
		isFair := waiting == table.WaitForService
		for isFair && (len(g.Shares()) == 0 || g.Shares()[0].Used == 0) {
			continue // until the run has lasted for a millisecond
		}
		large, small := send(2, "large", "large"), send(3, "small", "small")
		refused, next := large, "small"
		if !isFair {
			refused, next = small, "large"
		}
		if got := <-refused; got.Outcome != wire.NotRun || got.Reason != wire.ReasonFull || got.RetryAfter <= 0 {
			t.Errorf("%s: got outcome %v, reason %s, retry after %v; want the request not run, full and a retry time", waiting, got.Outcome, got.Reason, got.RetryAfter)
		}
		h.end <- struct{}{}
		if got := <-h.begun; got != next {
			t.Errorf("%s: got %s begun, want %s", waiting, got, next)
		}
		if got := g.Shares(); isFair != (len(got) > 0 && got[0].Account == "large") {
			t.Errorf("%s: got shares %v, want those of large only where they decide", waiting, got)
		}
		close(h.end)
	}
}
