package fleet_test

import (
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// sendConcurrently sends requests that may run once, all at the same time, and returns their
// answers. The outcome of one whose connection ends without an answer is empty.
func sendConcurrently(count int, address string) []answer {
	answers := make([]answer, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			answers[i], _ = sendOnce(&fasthttp.Client{ReadTimeout: waitTimeout}, address, true) // an error leaves the outcome empty
		})
	}
	group.Wait()
	return answers
}

// Guards against a gate that begins a run-once request while its node leaves, though the request may
// outlast the node: the node cuts the run, and the caller receives the outcome "unknown".
func TestLeavingGateBeginsNoRunOnceRequestThatMayOutlastItsNode(t *testing.T) {
	deployment := newTable(2)
	deployment.Services[0].Deadline = 6 * clock.Second
	f := startFleet(t, fleet.Config{Table: deployment, ServiceTime: 20, Adjust: func(s *settings.Settings) {
		s.Grace, s.Linger = 3*clock.Second, clock.Second
	}})
	f.Backends["conferme-1"].SetFault(standin.Fault{Kind: standin.Slow, Factor: 200}) // longer than the grace period
	leaving := f.Members[0]
	leaving.Node.Leave()
	waitUntil(t, "not ready", func() bool { return !leaving.Node.Ready() })
	for _, got := range sendConcurrently(6, f.Members[1].Caller) {
		if got.outcome != string(access.Served) {
			t.Errorf("got outcome %q (%s), want served", got.outcome, got.reason)
		}
	}
	if got := len(f.Backends["conferme-1"].Ledger()); got > 0 {
		t.Errorf("got %d runs beside the leaving node, want none", got)
	}
}

// Guards against an entry that waits for the outcome of a run that a node has cut at the end of its
// grace period: only that node knows that it has, and no other process can tell.
func TestNodeThatStopsReportsTheRunsThatItCuts(t *testing.T) {
	deployment := newTable(1)
	deployment.Services[0].Deadline = 20 * clock.Second
	_, entryNode, gateNode, backend := startTwoNodesOf(t, fleet.Config{
		Table: deployment, ServiceTime: 15 * clock.Second, Adjust: func(s *settings.Settings) { s.Grace = clock.Second },
	})
	done := make(chan answer, 1)
	go func() { done <- send(t, "POST", entryNode.Caller, "/conferme/turno", "") }()
	awaitTotals(t, backend, begunAtLeast(1))
	gateNode.Node.Leave()
	if got := <-done; got.outcome != string(access.Unknown) || got.reason != "node-stopped" {
		t.Errorf("got outcome %q (%s), want unknown (node-stopped)", got.outcome, got.reason)
	}
}

// Guards against a node that stops while requests of its callers run elsewhere or wait, at a gate or at
// its entry: their connections would end without an answer.
func TestLeavingNodeAnswersAllItsCallers(t *testing.T) {
	for name, caution := range map[string]table.Caution{"waiting at a gate": table.Fast, "waiting at the entry": table.ShortEpisodes} {
		t.Run(name, func(t *testing.T) {
			deployment := newTable(1)
			deployment.Services[0].Deadline, deployment.Services[0].Caution = 20*clock.Second, caution
			_, entryNode, _, backend := startTwoNodesOf(t, fleet.Config{
				Table: deployment, ServiceTime: 15 * clock.Second, Adjust: func(s *settings.Settings) { s.Grace = 2 * clock.Second },
			})
			answers := make(chan []answer, 1)
			slots := deployment.Services[0].Upstreams[0].Slots
			go func() { answers <- sendConcurrently(slots+2, entryNode.Caller) }()
			awaitTotals(t, backend, begunAtLeast(uint64(slots)))
			waitUntil(t, "all requests in flight", func() bool { return entryNode.Node.InFlight() >= slots+2 })
			entryNode.Node.Leave()
			<-entryNode.Done()
			if got := entryNode.Node.InFlight(); got > 0 {
				t.Errorf("got %d requests without an answer when the node had stopped, want none", got)
			}
			counts := map[string]int{}
			for _, got := range <-answers {
				counts[got.outcome]++
			}
			if counts[string(access.Unknown)] != slots || counts[string(access.NotRun)] != 2 {
				t.Errorf("got outcomes %v, want %d unknown and 2 not run", counts, slots)
			}
		})
	}
}
