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

// A dispatcher confirms a shift and the answer is lost on its way: unknown. The
// resend must get the answer of the run that was, through any node.
func TestResendReplaysLostAnswer(t *testing.T) {
	f, far := keyed(t, 2)
	o := newOperation("turno-7")
	for _, m := range f.Members[:2] {
		m.LinkRelay.SetMode(standin.DropFromTarget)
	}
	if got := o.send(t, far.Caller); got.outcome == "served" {
		t.Fatalf("got %v over paths that lose answers", got)
	}
	for _, m := range f.Members[:2] {
		m.LinkRelay.SetMode(standin.Pass)
	}
	first := o.settle(t, far.Caller)
	for _, m := range f.Members {
		if got := o.settle(t, m.Caller); got.replay != "true" || got.body != first.body {
			t.Errorf("through %s: got %v, replay %q, body %q; want the replay of %q", m.Name, got, got.replay, got.body, first.body)
		}
	}
	wantRuns(t, f, 1)
}

// A caller's library sends a payroll entry again on its own, without a mark.
// The gate that ran it remembers it.
func TestUnmarkedSecondSendIsNotRunAtTheSameGate(t *testing.T) {
	f, far := keyed(t, 1)
	o := newOperation("busta-3")
	first := o.send(t, far.Caller)
	for _, m := range f.Members {
		got := o.send(t, m.Caller)
		if got.outcome != "served" || got.replay != "true" || got.body != first.body {
			t.Errorf("through %s: got %v, replay %q; want the first answer", m.Name, got, got.replay)
		}
	}
	wantRuns(t, f, 1)
}

// A proxy before the nodes writes field names in lower case. Read with regard to
// case, the key and the caller would be lost, and the confirmation run again.
func TestKeyIsReadWithoutRegardToCase(t *testing.T) {
	f, far := keyed(t, 1)
	o := newOperation("turno-6")
	o.send(t, far.Caller)
	_, header := raw(t, far.Caller, "POST /conferme/turno HTTP/1.1\r\nhost: a\r\nfuchsiapick-caller: squadra-palermo\r\n"+
		"idempotency-key: turno-6\r\ncontent-length: 9\r\n\r\npalermo-7")
	if got := header.Get(entry.HeaderReplay); got != "true" {
		t.Errorf("got replay %q, want true", got)
	}
	wantRuns(t, f, 1)
}

// A second confirmation is sent while the first one still runs.
func TestSendWhileItRuns(t *testing.T) {
	f, far := keyed(t, 1)
	backend := f.Backends["conferme-1"]
	backend.SetFault(standin.Fault{Kind: standin.Hangs})
	o := newOperation("turno-8")
	done := make(chan outcome)
	go func() { done <- o.send(t, far.Caller) }()
	await(t, backend, ran(1))
	for _, got := range []outcome{o.send(t, far.Caller), o.resend(t, f.Members[0].Caller)} {
		if got.status != 409 || got.outcome != "unknown" || got.reason != "key-running" || got.after == "" {
			t.Errorf("got %v, Retry-After %q; want 409 unknown key-running with one", got, got.after)
		}
	}
	<-done
	if got := o.resend(t, far.Caller); got.status != 502 || got.reason != "answer-not-kept" {
		t.Errorf("got %v, want 502 answer-not-kept", got)
	}
	wantRuns(t, f, 1)
}

// The node that ran a confirmation dies before the resend. Nobody can tell any
// more; the other upstream, which knows nothing of it, must not run it.
func TestResendAfterItsGateWasKilled(t *testing.T) {
	f, far := keyed(t, 2)
	o := newOperation("turno-9")
	o.send(t, far.Caller)
	_, ranAt := runsOf(f)
	killed := memberOf(t, f, ranAt)
	killed.Stop()
	if got := o.resend(t, far.Caller); got.outcome != "unknown" || got.reason != "key-node-unreachable" {
		t.Errorf("got %v, want unknown", got)
	}
	// The table names a fresh node in its place.
	fresh, err := f.AddMember(t.Context(), "fresh", "palermo")
	if err != nil {
		t.Fatal(err)
	}
	replaceNode(t, f, killed, fresh)
	if got := o.resend(t, far.Caller); got.outcome != "unknown" {
		t.Errorf("after the table edit: got %v, want unknown", got)
	}
	wantRuns(t, f, 1)
}

func replaceNode(t *testing.T, f *fleet.Fleet, old, fresh *fleet.Member) {
	t.Helper()
	err := f.Publish(func(tt *table.Table) {
		for i := range tt.Services[0].Upstreams {
			if u := &tt.Services[0].Upstreams[i]; u.Node == old.Link {
				u.Node = fresh.Link
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range f.Members {
		if m != old {
			until(t, "table at "+m.Name, func() bool { return m.Node.Version() == f.Table.Version })
		}
	}
}

// An operator takes the upstream that ran a price revision out of the table,
// then the owner sends it again. Its node is still there and has the answer.
func TestResendAfterItsUpstreamLeftTheTable(t *testing.T) {
	f, far := keyed(t, 2)
	o := newOperation("prezzo-1")
	first := o.send(t, far.Caller)
	_, ranAt := runsOf(f)
	err := f.Publish(func(tt *table.Table) {
		kept := tt.Services[0].Upstreams[:0]
		for _, u := range tt.Services[0].Upstreams {
			if u.Name != ranAt {
				kept = append(kept, u)
			}
		}
		tt.Services[0].Upstreams = kept
	})
	if err != nil {
		t.Fatal(err)
	}
	awaitVersion(t, f)
	if got := o.resend(t, far.Caller); got.replay != "true" || got.body != first.body {
		t.Errorf("got %v, replay %q; want the first answer", got, got.replay)
	}
	wantRuns(t, f, 1)
}

// A node is replaced on the same addresses after it ran a confirmation. The new
// process knows nothing of it and could be taken for one that never had it: it
// must not vouch for the key, and nobody runs it. Keys sent since are served.
func TestResendAfterItsNodeWasReplaced(t *testing.T) {
	f, far := keyed(t, 2)
	o := newOperation("turno-10")
	o.send(t, far.Caller)
	_, ranAt := runsOf(f)
	replaced := memberOf(t, f, ranAt)
	if err := f.Replace(t.Context(), replaced); err != nil {
		t.Fatal(err)
	}
	until(t, "path to the new process", func() bool {
		return o.resend(t, far.Caller).reason != "key-node-unreachable"
	})
	for _, m := range []*fleet.Member{far, replaced} {
		if got := o.resend(t, m.Caller); got.outcome != "unknown" || got.reason != "key-older-than-node" {
			t.Errorf("through %s: got %v, want unknown key-older-than-node", m.Name, got)
		}
	}
	wantRuns(t, f, 1)
	began := time.Now()
	until(t, "age", func() bool { return time.Since(began) > lead })
	if got := newOperation("turno-11").settle(t, far.Caller); got.replay != "" {
		t.Errorf("a younger key: got %v, replay %q; want a run", got, got.replay)
	}
	wantRuns(t, f, 2)
}

// One gate can't be reached from the entry that takes the resend: it may have
// run the key, and it has. The caller hears unknown at once and nothing runs;
// when the path is back it gets the answer.
func TestResendAcrossPartition(t *testing.T) {
	for _, mode := range []standin.RelayMode{standin.Refuse, standin.Freeze, standin.DropToTarget} {
		t.Run(string(mode), func(t *testing.T) {
			f, far := keyed(t, 2)
			o := newOperation("turno-12")
			first := o.send(t, far.Caller)
			_, ranAt := runsOf(f)
			cut := memberOf(t, f, ranAt).LinkRelay
			cut.SetMode(mode)
			got := o.resend(t, far.Caller)
			if got.status != 502 || got.outcome != "unknown" || got.reason != "key-node-unreachable" || got.after == "" {
				t.Errorf("got %v, Retry-After %q; want 502 unknown with one", got, got.after)
			}
			cut.SetMode(standin.Pass)
			if got := o.settle(t, far.Caller); got.replay != "true" || got.body != first.body {
				t.Errorf("got %v, replay %q; want the first answer", got, got.replay)
			}
			wantRuns(t, f, 1)
		})
	}
}

// The link goes silent for good after a confirmation ran. The question of the
// resend is lost on it; a new link works, and the question must go out there in
// time for the caller to get its answer with this very resend.
func TestResendOverSilentLink(t *testing.T) {
	c := deployment(1)
	c.Services[0].Deadline = 10 * clock.Second
	f, far := keyedTable(t, c)
	o := newOperation("turno-14")
	first := o.send(t, far.Caller)
	f.Members[0].LinkRelay.SetMode(standin.BlackholeOpen)
	if got := o.resend(t, far.Caller); got.replay != "true" || got.body != first.body {
		t.Errorf("got %v, replay %q; want the first answer", got, got.replay)
	}
	wantRuns(t, f, 1)
}

// A caller lost its first send before it reached any node, and resends through
// two nodes at once. One of them runs; both get its answer in the end.
func TestTwoResendsAtOnceRunOnce(t *testing.T) {
	const rounds = 30
	f, far := keyed(t, 2)
	for i := range rounds {
		o := newOperation(fmt.Sprintf("turno-%d", i))
		var group sync.WaitGroup
		bodies := make([]string, 2)
		for j, m := range []*fleet.Member{f.Members[0], far} {
			own := *o
			group.Go(func() { bodies[j] = own.settle(t, m.Caller).body })
		}
		group.Wait()
		if bodies[0] != bodies[1] || t.Failed() {
			t.Fatalf("got answers %q and %q, want one", bodies[0], bodies[1])
		}
	}
	wantRuns(t, f, rounds)
}

// A caller's counter starts anew and gives an old key to another confirmation.
// Neither the other one's answer nor a run under that key would be right.
func TestKeyWithAnotherBodyIsRefused(t *testing.T) {
	f, far := keyed(t, 1)
	o := newOperation("turno-13")
	o.send(t, far.Caller)
	o.body = "messina-2"
	for _, got := range []outcome{o.send(t, far.Caller), o.resend(t, far.Caller)} {
		if got.status != 422 || got.outcome != "not-run" || got.reason != "key-reused" {
			t.Errorf("got %v, want 422 not-run key-reused", got)
		}
	}
	wantRuns(t, f, 1)
}

// A mark that can't be read, passed over as if it weren't there, would run the
// request a second time in silence.
func TestMalformedMarksAreRefused(t *testing.T) {
	f, far := keyed(t, 1)
	tests := []struct{ name, fields string }{
		{"mark without a key", "Fuchsiapick-Resend: 1; age=1\r\n"},
		{"no age", "Idempotency-Key: k\r\nFuchsiapick-Resend: 1\r\n"},
		{"lower case", "idempotency-key: k\r\nfuchsiapick-resend: 1\r\n"},
		{"two keys", "Idempotency-Key: k\r\nIdempotency-Key: l\r\n"},
		{"two marks", "Idempotency-Key: k\r\nFuchsiapick-Resend: 1; age=1\r\nFuchsiapick-Resend: 2; age=1\r\n"},
		{"empty key", "Idempotency-Key:\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, header := raw(t, far.Caller, "POST /conferme/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n"+tt.fields+"\r\n")
			if got := header.Get(entry.HeaderOutcome); status != http.StatusBadRequest || got != "not-run" {
				t.Errorf("got %d %s, want 400 not-run", status, got)
			}
		})
	}
	wantRuns(t, f, 0)
}
