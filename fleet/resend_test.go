package fleet_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// A request runs and its answer is lost, so that the outcome is unknown. A resend must
// return the answer of that run, through any node.
func TestResendReplaysLostAnswer(t *testing.T) {
	f, entryNode := startKeyed(t, 2)
	o := newOperation("turno-7")
	for _, m := range f.Members[:2] {
		m.LinkRelay.SetMode(standin.DropFromTarget)
	}
	if got := o.send(t, entryNode.Caller); got.outcome == "served" {
		t.Fatalf("got %v over paths that lose answers", got)
	}
	for _, m := range f.Members[:2] {
		m.LinkRelay.SetMode(standin.Pass)
	}
	first := o.resendUntilServed(t, entryNode.Caller)
	for _, m := range f.Members {
		if got := o.resendUntilServed(t, m.Caller); got.replay != "true" || got.body != first.body {
			t.Errorf("through %s: got %v, replay %q, body %q; want the replay of %q", m.Name, got, got.replay, got.body, first.body)
		}
	}
	wantRuns(t, f, 1)
}

// A caller's HTTP library repeats a request on its own, without a resend header. The gate
// that ran the request has its key on record and must replay the answer.
func TestSecondSendWithoutResendHeaderIsNotRunAgain(t *testing.T) {
	f, entryNode := startKeyed(t, 1)
	o := newOperation("busta-3")
	first := o.send(t, entryNode.Caller)
	for _, m := range f.Members {
		got := o.send(t, m.Caller)
		if got.outcome != "served" || got.replay != "true" || got.body != first.body {
			t.Errorf("through %s: got %v, replay %q; want the first answer", m.Name, got, got.replay)
		}
	}
	wantRuns(t, f, 1)
}

// A proxy in front of the nodes sends header names in lower case. Guards against nodes
// that miss the key and the caller for that reason and run the request again.
func TestKeyIsReadWithoutRegardToCase(t *testing.T) {
	f, entryNode := startKeyed(t, 1)
	o := newOperation("turno-6")
	o.send(t, entryNode.Caller)
	_, header := sendRaw(t, entryNode.Caller, "POST /conferme/turno HTTP/1.1\r\nhost: a\r\nfuchsiapick-caller: squadra-palermo\r\n"+
		"idempotency-key: turno-6\r\ncontent-length: 9\r\n\r\npalermo-7")
	if got := header.Get(entry.HeaderReplay); got != "true" {
		t.Errorf("got replay %q, want true", got)
	}
	wantRuns(t, f, 1)
}

// A request is sent again while the first send still runs. The second send must be
// refused as "key-running" and must not run.
func TestSecondSendWhileFirstRuns(t *testing.T) {
	f, entryNode := startKeyed(t, 1)
	backend := f.Backends["conferme-1"]
	backend.SetFault(standin.Fault{Kind: standin.Hangs})
	o := newOperation("turno-8")
	done := make(chan sendResult)
	go func() { done <- o.send(t, entryNode.Caller) }()
	awaitTotals(t, backend, begunAtLeast(1))
	for _, got := range []sendResult{o.send(t, entryNode.Caller), o.resend(t, f.Members[0].Caller)} {
		if got.status != 409 || got.outcome != "unknown" || got.reason != "key-running" || got.retryAfter == "" {
			t.Errorf("got %v, Retry-After %q; want 409 unknown key-running with one", got, got.retryAfter)
		}
	}
	<-done
	if got := o.resend(t, entryNode.Caller); got.status != 502 || got.reason != "answer-not-kept" {
		t.Errorf("got %v, want 502 answer-not-kept", got)
	}
	wantRuns(t, f, 1)
}

// The node whose gate ran a request is killed before the resend. Nobody knows the outcome
// any more, and the other upstream, which has no record of the request, must not run it.
func TestResendAfterItsGateWasKilled(t *testing.T) {
	f, entryNode := startKeyed(t, 2)
	o := newOperation("turno-9")
	o.send(t, entryNode.Caller)
	_, ranAt := runsOf(f)
	killed := memberOf(t, f, ranAt)
	killed.Stop()
	if got := o.resend(t, entryNode.Caller); got.outcome != "unknown" || got.reason != "key-node-unreachable" {
		t.Errorf("got %v, want unknown", got)
	}
	// The table names a new node in its place.
	replacement, err := f.AddMember(t.Context(), "fresh", "palermo")
	if err != nil {
		t.Fatal(err)
	}
	replaceNode(t, f, killed, replacement)
	if got := o.resend(t, entryNode.Caller); got.outcome != "unknown" {
		t.Errorf("after the table edit: got %v, want unknown", got)
	}
	wantRuns(t, f, 1)
}

// replaceNode publishes a table in which another node takes over a node's upstreams, and
// waits until the remaining nodes have it.
func replaceNode(t *testing.T, f *fleet.Fleet, old, replacement *fleet.Member) {
	t.Helper()
	err := f.Publish(func(tt *table.Table) {
		for i := range tt.Services[0].Upstreams {
			if u := &tt.Services[0].Upstreams[i]; u.Node == old.Link {
				u.Node = replacement.Link
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range f.Members {
		if m != old {
			waitUntil(t, "table at "+m.Name, func() bool { return m.Node.Version() == f.Table.Version })
		}
	}
}

// An operator removes the upstream that ran a request from the table, and the caller then
// resends the request. The upstream's node still runs and must replay the answer.
func TestResendAfterItsUpstreamLeftTheTable(t *testing.T) {
	f, entryNode := startKeyed(t, 2)
	o := newOperation("prezzo-1")
	first := o.send(t, entryNode.Caller)
	_, ranAt := runsOf(f)
	err := f.Publish(func(tt *table.Table) {
		remaining := tt.Services[0].Upstreams[:0]
		for _, u := range tt.Services[0].Upstreams {
			if u.Name != ranAt {
				remaining = append(remaining, u)
			}
		}
		tt.Services[0].Upstreams = remaining
	})
	if err != nil {
		t.Fatal(err)
	}
	awaitVersion(t, f)
	if got := o.resend(t, entryNode.Caller); got.replay != "true" || got.body != first.body {
		t.Errorf("got %v, replay %q; want the first answer", got, got.replay)
	}
	wantRuns(t, f, 1)
}

// The node that ran a request is replaced on the same addresses. The new process has no
// record of the request. Guards against it confirming that the key never ran, upon which
// the request would run again. Keys that are younger than the new process must be served.
func TestResendAfterItsNodeWasReplaced(t *testing.T) {
	f, entryNode := startKeyed(t, 2)
	o := newOperation("turno-10")
	o.send(t, entryNode.Caller)
	_, ranAt := runsOf(f)
	replaced := memberOf(t, f, ranAt)
	if err := f.Replace(t.Context(), replaced); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "path to the new process", func() bool {
		return o.resend(t, entryNode.Caller).reason != "key-node-unreachable"
	})
	for _, m := range []*fleet.Member{entryNode, replaced} {
		if got := o.resend(t, m.Caller); got.outcome != "unknown" || got.reason != "key-older-than-node" {
			t.Errorf("through %s: got %v, want unknown key-older-than-node", m.Name, got)
		}
	}
	wantRuns(t, f, 1)
	began := time.Now()
	waitUntil(t, "node age", func() bool { return time.Since(began) > minNodeAge })
	if got := newOperation("turno-11").resendUntilServed(t, entryNode.Caller); got.replay != "" {
		t.Errorf("a younger key: got %v, replay %q; want a run", got, got.replay)
	}
	wantRuns(t, f, 2)
}

// The entry that takes a resend can't reach the gate that ran the key. The caller must
// immediately receive the outcome "unknown", and nothing may run. When the path works
// again, the caller must get the answer.
func TestResendAcrossPartition(t *testing.T) {
	for _, mode := range []standin.RelayMode{standin.Refuse, standin.Freeze, standin.DropToTarget} {
		t.Run(string(mode), func(t *testing.T) {
			f, entryNode := startKeyed(t, 2)
			o := newOperation("turno-12")
			first := o.send(t, entryNode.Caller)
			_, ranAt := runsOf(f)
			cut := memberOf(t, f, ranAt).LinkRelay
			cut.SetMode(mode)
			got := o.resend(t, entryNode.Caller)
			if got.status != 502 || got.outcome != "unknown" || got.reason != "key-node-unreachable" || got.retryAfter == "" {
				t.Errorf("got %v, Retry-After %q; want 502 unknown with one", got, got.retryAfter)
			}
			cut.SetMode(standin.Pass)
			if got := o.resendUntilServed(t, entryNode.Caller); got.replay != "true" || got.body != first.body {
				t.Errorf("got %v, replay %q; want the first answer", got, got.replay)
			}
			wantRuns(t, f, 1)
		})
	}
}

// The link falls silent permanently after a request ran, and the key lookup of the resend
// is lost on it. The entry must repeat the lookup on a new link early enough that this same
// resend returns the answer.
func TestResendOverSilentLink(t *testing.T) {
	c := newTable(1)
	c.Services[0].Deadline = 10 * clock.Second
	f, entryNode := startKeyedTable(t, c)
	o := newOperation("turno-14")
	first := o.send(t, entryNode.Caller)
	f.Members[0].LinkRelay.SetMode(standin.BlackholeOpen)
	if got := o.resend(t, entryNode.Caller); got.replay != "true" || got.body != first.body {
		t.Errorf("got %v, replay %q; want the first answer", got, got.replay)
	}
	wantRuns(t, f, 1)
}

// The first send of a request reaches no node, and its caller resends it through two
// nodes at the same time. The request must run once, and both resends must get its answer
// in the end.
func TestConcurrentResendsRunOnce(t *testing.T) {
	const rounds = 30
	f, entryNode := startKeyed(t, 2)
	for i := range rounds {
		o := newOperation(fmt.Sprintf("turno-%d", i))
		var group sync.WaitGroup
		bodies := make([]string, 2)
		for j, m := range []*fleet.Member{f.Members[0], entryNode} {
			copied := *o
			group.Go(func() { bodies[j] = copied.resendUntilServed(t, m.Caller).body })
		}
		group.Wait()
		if bodies[0] != bodies[1] || t.Failed() {
			t.Fatalf("got answers %q and %q, want one", bodies[0], bodies[1])
		}
	}
	wantRuns(t, f, rounds)
}

// A caller's counter starts again and reuses an old key for another request. The caller
// must get neither the answer of the old request nor a run under that key.
func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	f, entryNode := startKeyed(t, 1)
	o := newOperation("turno-13")
	o.send(t, entryNode.Caller)
	o.body = "messina-2"
	for _, got := range []sendResult{o.send(t, entryNode.Caller), o.resend(t, entryNode.Caller)} {
		if got.status != 422 || got.outcome != "not-run" || got.reason != "key-reused" {
			t.Errorf("got %v, want 422 not-run key-reused", got)
		}
	}
	wantRuns(t, f, 1)
}

// Guards against a malformed resend header being ignored, so that the request silently
// runs a second time.
func TestMalformedResendHeadersAreRefused(t *testing.T) {
	f, entryNode := startKeyed(t, 1)
	tests := []struct{ name, fields string }{
		{"resend header without a key", "Fuchsiapick-Resend: 1; age=1\r\n"},
		{"no age", "Idempotency-Key: k\r\nFuchsiapick-Resend: 1\r\n"},
		{"lower case", "idempotency-key: k\r\nfuchsiapick-resend: 1\r\n"},
		{"two keys", "Idempotency-Key: k\r\nIdempotency-Key: l\r\n"},
		{"two resend headers", "Idempotency-Key: k\r\nFuchsiapick-Resend: 1; age=1\r\nFuchsiapick-Resend: 2; age=1\r\n"},
		{"empty key", "Idempotency-Key:\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, header := sendRaw(t, entryNode.Caller, "POST /conferme/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"+tt.fields+"\r\n")
			if got := header.Get(entry.HeaderOutcome); status != http.StatusBadRequest || got != "not-run" {
				t.Errorf("got %d %s, want 400 not-run", status, got)
			}
		})
	}
	wantRuns(t, f, 0)
}
