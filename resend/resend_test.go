package resend_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/resend"
)

// init fixes the seed of the property tests unless -rapid.seed is given on the command line.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "10000", "rapid.steps": "120"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func TestParseHeader(t *testing.T) {
	const bad = resend.ErrMalformed
	tests := []struct {
		text string
		want resend.Header
		err  error
	}{
		{"1; age=0", resend.Header{Number: 1}, nil},
		{"2; age=4.5", resend.Header{Number: 2, Age: 4500}, nil},
		{"12;age=70.025", resend.Header{Number: 12, Age: 70025}, nil},
		{"", resend.Header{}, bad},
		{"1", resend.Header{}, bad},
		{"0; age=1", resend.Header{}, bad},
		{"-1; age=1", resend.Header{}, bad},
		{"1000001; age=1", resend.Header{}, bad},
		{"99999999999999999999; age=1", resend.Header{}, bad},
		{"1; age=", resend.Header{}, bad},
		{"1; age=-1", resend.Header{}, bad},
		{"1; age=1.", resend.Header{}, bad},
		{"1; age=1.2345", resend.Header{}, bad},
		{"1; age=1e9", resend.Header{}, bad},
		{"1; age=99999999999", resend.Header{}, bad},
		{"1; age=1; age=2", resend.Header{}, bad},
	}
	for _, tt := range tests {
		got, err := resend.ParseHeader(tt.text)
		if (tt.err == nil && got != tt.want) || !errors.Is(err, tt.err) {
			t.Errorf("%q: got %v and %v, want %v and %v", tt.text, got, err, tt.want, tt.err)
		}
	}
	for _, key := range []string{"", "a\tb", "caffè", strings.Repeat("k", 256)} {
		if err := resend.CheckKey(key); !errors.Is(err, resend.ErrMalformed) {
			t.Errorf("key %q: got error %v, want ErrMalformed", key, err)
		}
	}
}

func newSend(number uint32, seq uint64) resend.Send {
	return resend.Send{Key: resend.Key{Text: "turno-7"}, Precedence: resend.Precedence{Number: number, Seq: seq}, Received: 5}
}

func newStore(start clock.Millis) *resend.Store[string] {
	return resend.NewStore[string](resend.StoreConfig{Start: start, Retention: retention, MaxKeys: 10, MaxReply: 6, MaxBytes: 10})
}

func checkStatus(t *testing.T, description string, got, want resend.Status) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got status %d, want %d", description, got, want)
	}
}

// Guards against two concurrent resends that both run because their revocations reach two
// nodes in different orders, and a node revokes the key for the one without precedence.
func TestCrossingResendsRunOnce(t *testing.T) {
	for _, number := range []uint32{1, 2} { // both resends may have the same number
		a, b := newStore(1), newStore(1)
		low, high := newSend(1, 1), newSend(number, 2)
		_, _ = a.Revoke(10, high)
		got, _ := a.Revoke(11, low)
		checkStatus(t, "the first revokes at a", got, resend.Superseded)
		_, _ = b.Revoke(12, low)
		_, _ = b.Revoke(13, high)
		got, _ = a.Begin(14, low)
		checkStatus(t, "the first begins at a", got, resend.Superseded)
		got, _ = b.Begin(15, high)
		checkStatus(t, "the second begins at b", got, resend.Free)
	}
}

// Guards against the record of a running send being evicted when other keys fill the store:
// its reply could not be kept for a resend.
func TestRunningKeyIsNotEvicted(t *testing.T) {
	store := newStore(1)
	long := newSend(0, 1)
	_, _ = store.Begin(10, long)
	for i := range 30 {
		send := newSend(1, 2)
		send.Key.Text = fmt.Sprint("other", i)
		_, _ = store.Revoke(20, send)
	}
	store.RecordReply(long.Key, "answer", 6)
	got, _ := store.Lookup(30, long)
	checkStatus(t, "the running send", got, resend.Ran)
	if got := store.Len(); got > 11 {
		t.Errorf("got %d keys, want at most 10 and the one of the running send", got)
	}
}

// Guards against a resend running at a node that was replaced after the resend revoked the
// key there: a later resend may have run elsewhere since, and the new process has a record
// of neither.
func TestResendNeedsItsRevocation(t *testing.T) {
	send := newSend(1, 1)
	send.Received = 30
	got, _ := newStore(20).Begin(31, send)
	checkStatus(t, "begin without a revocation", got, resend.Forgotten)
}

// Guards against a first send that runs after a resend of its key has run. The first send
// is delayed at its entry and then reaches a node that was replaced, or a gate that was
// created, after the entry received it: neither has a record of the revocation.
func TestLateFirstSendIsNotRun(t *testing.T) {
	tests := []struct {
		name                 string
		start, gate, receive clock.Millis
		want                 resend.Status
	}{
		{"in time", 20, 25, 30, resend.Free},
		{"node was replaced later", 20, 1, 19, resend.Forgotten},
		{"gate was created later", 1, 25, 24, resend.Forgotten},
	}
	for _, tt := range tests {
		send := newSend(0, 1)
		send.Received, send.GateCreated = tt.receive, tt.gate
		got, _ := newStore(tt.start).Begin(40, send)
		checkStatus(t, tt.name, got, tt.want)
	}
}

// Guards against a late first send that runs after the backend server has shed the resend
// of its key: the resend is then sent elsewhere, so its revocation must stay.
func TestShedResendKeepsItsRevocation(t *testing.T) {
	store := newStore(1)
	_, _ = store.Revoke(10, newSend(1, 2))
	_, _ = store.Begin(11, newSend(1, 2))
	store.RecordNotRun(newSend(1, 2).Key)
	got, _ := store.Begin(12, newSend(0, 1))
	checkStatus(t, "the first send", got, resend.Superseded)
	got, _ = store.Begin(13, newSend(1, 2))
	checkStatus(t, "the resend", got, resend.Free)
}

// Guards against a dropped reply that takes the record of its key along: a resend would
// then run again. Guards as well against a request with another body getting the kept
// reply.
func TestRepliesAreKeptWithinBounds(t *testing.T) {
	store := newStore(1)
	run := func(text string, size int) resend.Send {
		send := newSend(0, 1)
		send.Key.Text = text
		got, _ := store.Begin(10, send)
		checkStatus(t, text, got, resend.Free)
		store.RecordReply(send.Key, "answer to "+text, size)
		return send
	}
	first, second, large := run("first", 6), run("second", 6), run("large", 7)
	got, _ := store.Lookup(11, first)
	checkStatus(t, "the oldest reply was dropped", got, resend.Lost)
	got, answer := store.Lookup(11, second)
	checkStatus(t, "the newest reply", got, resend.Ran)
	if answer != "answer to second" {
		t.Errorf("got reply %q, want the one to second", answer)
	}
	got, _ = store.Lookup(11, large)
	checkStatus(t, "a reply over the size limit", got, resend.Lost)
	second.Digest[0] = 1
	got, _ = store.Lookup(11, second)
	checkStatus(t, "another body", got, resend.Reused)
	got, _ = store.Revoke(11, second)
	checkStatus(t, "a resend with another body", got, resend.Reused)
}

func TestResolve(t *testing.T) {
	free := resend.LookupResult{Answered: true, Status: resend.Free, Covers: 500, Version: 3}
	withStatus := func(s resend.Status) resend.LookupResult { return resend.LookupResult{Answered: true, Status: s} }
	newer := free
	newer.Version = 4
	tests := []struct {
		name    string
		age     clock.Millis
		results []resend.LookupResult
		want    resend.Decision
	}{
		{"all nodes confirm", 100, []resend.LookupResult{free, free}, resend.Decision{Action: resend.Run}},
		{"a send ran", 100, []resend.LookupResult{{}, withStatus(resend.Ran)}, resend.Decision{Action: resend.Replay, From: 1}},
		{"a send ran, key too old", 2000, []resend.LookupResult{withStatus(resend.Ran)}, resend.Decision{Action: resend.Replay}},
		{"another body", 100, []resend.LookupResult{free, withStatus(resend.Reused)}, resend.Decision{Action: resend.Refuse, Reason: resend.ReasonReused}},
		{"a send is running", 100, []resend.LookupResult{withStatus(resend.Running)}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonRunning, RetryAfter: clock.Second}},
		{"reply not kept", 100, []resend.LookupResult{free, withStatus(resend.Lost)}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonLost}},
		{"one node doesn't answer", 100, []resend.LookupResult{free, {}}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonUnreachable, RetryAfter: clock.Second}},
		{"later resend", 100, []resend.LookupResult{withStatus(resend.Superseded)}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonSuperseded, RetryAfter: clock.Second}},
		{"node's records end within the margin", 480, []resend.LookupResult{free}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonForgotten}},
		{"newer table", 100, []resend.LookupResult{newer}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonBehind, RetryAfter: clock.Second}},
		{"older than the entry's membership", 780, []resend.LookupResult{free}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonForgotten}},
		{"older than the retention", 1000, []resend.LookupResult{free}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonOld}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lookup := resend.Lookup{Age: tt.age, KnownFor: 800, Retention: retention, Margin: margin, Version: 3}
			if got := resend.Resolve(lookup, tt.results); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a lookup that leaves out a node which a table edit has removed. An entry
// that hasn't received the edit yet may send a key to that node within the margin after the
// edit.
func TestMembershipKeepsRemovedNodesWithinMargin(t *testing.T) {
	m := resend.NewMembership(retention)
	m.Update(1, []string{"a", "b"})
	m.Update(100, []string{"a"})
	tests := []struct {
		now, age clock.Millis
		want     int
	}{{110, 1, 2}, {121, 1, 2}, {122, 1, 1}, {400, 300, 2}, {2000, 900, 1}}
	for _, tt := range tests {
		if got := len(m.Nodes(tt.now, resend.MaxAge(tt.age, margin))); got != tt.want {
			t.Errorf("at %d, key of age %d: got %d nodes, want %d", tt.now, tt.age, got, tt.want)
		}
	}
	m.Update(1101, []string{"a"})
	if m.Has("b") {
		t.Error("got a node that was removed longer ago than the retention, want it dropped")
	}
}
