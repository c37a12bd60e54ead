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
	tests := []struct {
		name    string
		caution table.Caution
		waiting table.Waiting
	}{
		{"waiting at a gate", table.Fast, ""},
		{"waiting at the entry", table.ShortEpisodes, ""},
		{"waiting for the service", table.ShortEpisodes, table.WaitForService},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			deployment := newTable(1)
			s := &deployment.Services[0]
			s.Deadline, s.Caution, s.Waiting = 20*clock.Second, test.caution, test.waiting
			_, entryNode, _, backend := startTwoNodesOf(t, fleet.Config{
				Table: deployment, ServiceTime: 15 * clock.Second, Adjust: func(s *settings.Settings) { s.Grace = 2 * clock.Second },
			})
			slots := s.Upstreams[0].Slots
			answers := sendInBackground(t, entryNode, backend, slots, 2)
			entryNode.Node.Leave()
			<-entryNode.Done()
			if got := entryNode.Node.InFlight(); got > 0 {
				t.Errorf("got %d requests without an answer when the node had stopped, want none", got)
			}
			counts := countOutcomes(<-answers)
			if counts[string(access.Unknown)] != slots || counts[string(access.NotRun)] != 2 {
				t.Errorf("got outcomes %v, want %d unknown and 2 not run", counts, slots)
			}
		})
	}
}

// Guards against a node that ends on a second signal without a word to its own callers.
func TestSecondSignalAnswersAllCallers(t *testing.T) {
	deployment := newTable(1)
	deployment.Services[0].Deadline = 20 * clock.Second
	_, entryNode, _, backend := startTwoNodesOf(t, fleet.Config{
		Table: deployment, ServiceTime: 15 * clock.Second, Adjust: func(s *settings.Settings) { s.Grace = 15 * clock.Second },
	})
	slots := deployment.Services[0].Upstreams[0].Slots
	answers := sendInBackground(t, entryNode, backend, slots, 0)
	entryNode.Node.Leave()
	waitUntil(t, "not ready", func() bool { return !entryNode.Node.Ready() })
	entryNode.Stop() // ends the context of Run, as a second signal does
	if got := entryNode.Node.InFlight(); got > 0 {
		t.Errorf("got %d requests without an answer when the node had stopped, want none", got)
	}
	if got := countOutcomes(<-answers); got[string(access.Unknown)] != slots {
		t.Errorf("got outcomes %v, want %d unknown", got, slots)
	}
}

// sendInBackground sends requests that may run once, waits until as many run as there are slots and the
// others wait, and returns the channel that receives all answers.
func sendInBackground(t *testing.T, entryNode *fleet.Member, backend *standin.Backend, running, waiting int) <-chan []answer {
	t.Helper()
	answers := make(chan []answer, 1)
	go func() { answers <- sendConcurrently(running+waiting, entryNode.Caller) }()
	awaitTotals(t, backend, begunAtLeast(uint64(running)))
	waitUntil(t, "all requests in flight", func() bool { return entryNode.Node.InFlight() >= running+waiting })
	return answers
}

// countOutcomes counts answers by outcome; connections that ended without an answer have none.
func countOutcomes(answers []answer) map[string]int {
	counts := map[string]int{}
	for _, got := range answers {
		counts[got.outcome]++
	}
	return counts
}

// Guards against an entry that sends a gate no request that may run once, after the gate has refused a
// longer one that may outlast its node.
func TestShortRequestsAreSentToALeavingGateAfterALongOne(t *testing.T) {
	for name, caution := range map[string]table.Caution{"fast": table.Fast, "short episodes": table.ShortEpisodes} {
		t.Run(name, func(t *testing.T) {
			deployment := newTable(1)
			s := &deployment.Services[0]
			s.Deadline, s.Caution = 60*clock.Second, caution
			deployment.Routes = append(deployment.Routes, table.Route{Prefix: "/conferme/breve/", Service: s.Name, Timeout: 5 * clock.Second})
			_, entryNode, gateNode, _ := startTwoNodesOf(t, fleet.Config{
				Table: deployment, ServiceTime: 20, Adjust: func(s *settings.Settings) { s.Grace, s.Linger = 30*clock.Second, 10*clock.Second },
			})
			gateNode.Node.Leave()
			waitUntil(t, "not ready", func() bool { return !gateNode.Node.Ready() })
			if got := send(t, "POST", entryNode.Caller, "/conferme/turno", ""); got.outcome != string(access.NotRun) {
				t.Errorf("got outcome %q (%s) for a long request, want it not run", got.outcome, got.reason)
			}
			if got := send(t, "POST", entryNode.Caller, "/conferme/breve/turno", ""); got.outcome != string(access.Served) {
				t.Errorf("got outcome %q (%s) for a short request, want served", got.outcome, got.reason)
			}
		})
	}
}

// Guards against a run that nobody knows of when its node stops: its upstream has had two newer gates.
func TestNodeThatStopsReportsRunsAtReplacedGates(t *testing.T) {
	deployment := newTable(1)
	deployment.Services[0].Deadline = 20 * clock.Second
	f, entryNode, gateNode, backend := startTwoNodesOf(t, fleet.Config{
		Table: deployment, ServiceTime: 15 * clock.Second, Adjust: func(s *settings.Settings) { s.Grace = clock.Second },
	})
	done := make(chan answer, 1)
	go func() { done <- send(t, "POST", entryNode.Caller, "/conferme/turno", "") }()
	awaitTotals(t, backend, begunAtLeast(1))
	for _, address := range []string{"127.0.0.1:9", "127.0.0.1:19"} {
		if err := f.Publish(func(t *table.Table) { t.Services[0].Upstreams[0].Address = address }); err != nil {
			t.Fatal(err)
		}
		awaitVersion(t, f)
	}
	gateNode.Node.Leave()
	if got := <-done; got.outcome != string(access.Unknown) || got.reason != "node-stopped" {
		t.Errorf("got outcome %q (%s), want unknown (node-stopped)", got.outcome, got.reason)
	}
}
