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

// The draws are the same on every run unless -rapid.seed is given.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "10000", "rapid.steps": "120"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func TestParseMark(t *testing.T) {
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
			t.Errorf("key %q: got error %v, want ErrMark", key, err)
		}
	}
}

func claim(number uint32, seq uint64) resend.Send {
	return resend.Send{Key: resend.Key{Text: "turno-7"}, Precedence: resend.Precedence{Number: number, Seq: seq}, Received: 5}
}

func memory(start clock.Millis) *resend.Store[string] {
	return resend.NewStore[string](resend.StoreConfig{Start: start, Retention: retention, MaxKeys: 10, MaxReply: 6, MaxBytes: 10})
}

func want(t *testing.T, what string, got, want resend.Status) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got standing %d, want %d", what, got, want)
	}
}

// Two resends of a confirmation cross: the second goes first at one node, the
// first asks there late. Were the key given back to it, each would find a node
// where it may run, and the shift would be confirmed twice.
func TestCrossingResendsRunOnce(t *testing.T) {
	for _, number := range []uint32{1, 2} { // the caller may have given both one number
		a, b := memory(1), memory(1)
		low, high := claim(1, 1), claim(number, 2)
		_, _ = a.Revoke(10, high)
		got, _ := a.Revoke(11, low)
		want(t, "the first at a", got, resend.Superseded)
		_, _ = b.Revoke(12, low)
		_, _ = b.Revoke(13, high)
		got, _ = a.Begin(14, low)
		want(t, "the first begins at a", got, resend.Superseded)
		got, _ = b.Begin(15, high)
		want(t, "the second begins at b", got, resend.Free)
	}
}

// Other keys fill the memory while a long confirmation runs. Were it forgotten,
// its answer could not be kept for the resend.
func TestRunningKeyIsNotForgotten(t *testing.T) {
	m := memory(1)
	long := claim(0, 1)
	_, _ = m.Begin(10, long)
	for i := range 30 {
		c := claim(1, 2)
		c.Key.Text = fmt.Sprint("other", i)
		_, _ = m.Revoke(20, c)
	}
	m.RecordReply(long.Key, "answer", 6)
	got, _ := m.Lookup(30, long)
	want(t, "the long one", got, resend.Ran)
	if got := m.Len(); got > 11 {
		t.Errorf("got %d keys, want at most 10 and the one that ran", got)
	}
}

// A node is replaced after a resend has voided the key there, and the resend is
// sent to it. A later resend may have run elsewhere since: the new process has
// no void of either, and must not run it.
func TestResendNeedsItsVoid(t *testing.T) {
	c := claim(1, 1)
	c.Received = 30
	got, _ := memory(20).Begin(31, c)
	want(t, "begin without a void", got, resend.Forgotten)
}

// A first send is held up at its entry while a resend voids its key and runs.
// Let go at last, it meets a node that was replaced, or a gate that was made,
// after the entry received it: neither holds the void, nor may it run there.
func TestLateFirstSendIsNotRun(t *testing.T) {
	tests := []struct {
		name                 string
		start, gate, receive clock.Millis
		want                 resend.Status
	}{
		{"in time", 20, 25, 30, resend.Free},
		{"node was replaced since", 20, 1, 19, resend.Forgotten},
		{"gate was made since", 1, 25, 24, resend.Forgotten},
	}
	for _, tt := range tests {
		c := claim(0, 1)
		c.Received, c.GateCreated = tt.receive, tt.gate
		got, _ := memory(tt.start).Begin(40, c)
		want(t, tt.name, got, tt.want)
	}
}

// A resend runs at a backend server that sheds it: not run. The first send, late
// on its way, must still find the key voided, for the resend goes elsewhere.
func TestShedResendLeavesItsVoid(t *testing.T) {
	m := memory(1)
	_, _ = m.Revoke(10, claim(1, 2))
	_, _ = m.Begin(11, claim(1, 2))
	m.RecordNotRun(claim(1, 2).Key)
	got, _ := m.Begin(12, claim(0, 1))
	want(t, "the first send", got, resend.Superseded)
	got, _ = m.Begin(13, claim(1, 2))
	want(t, "the resend", got, resend.Free)
}

// Answers fill the memory, so that the oldest gives way. That its key ran must
// stay known: its resend would run again. Nor may a request with another body
// get the answer of the one that ran.
func TestAnswersAreKeptWithinBounds(t *testing.T) {
	m := memory(1)
	run := func(text string, size int) resend.Send {
		c := claim(0, 1)
		c.Key.Text = text
		got, _ := m.Begin(10, c)
		want(t, text, got, resend.Free)
		m.RecordReply(c.Key, "answer to "+text, size)
		return c
	}
	first, second, large := run("first", 6), run("second", 6), run("large", 7)
	got, _ := m.Lookup(11, first)
	want(t, "the oldest answer gave way", got, resend.Lost)
	got, answer := m.Lookup(11, second)
	want(t, "the newest answer", got, resend.Ran)
	if answer != "answer to second" {
		t.Errorf("got %q", answer)
	}
	got, _ = m.Lookup(11, large)
	want(t, "an answer over the bound", got, resend.Lost)
	second.Digest[0] = 1
	got, _ = m.Lookup(11, second)
	want(t, "another body", got, resend.Reused)
	got, _ = m.Revoke(11, second)
	want(t, "a resend with another body", got, resend.Reused)
}

func TestSettle(t *testing.T) {
	free := resend.LookupResult{Answered: true, Status: resend.Free, Covers: 500, Version: 3}
	says := func(s resend.Status) resend.LookupResult { return resend.LookupResult{Answered: true, Status: s} }
	newer := free
	newer.Version = 4
	tests := []struct {
		name    string
		age     clock.Millis
		answers []resend.LookupResult
		want    resend.Decision
	}{
		{"all vouch", 100, []resend.LookupResult{free, free}, resend.Decision{Action: resend.Run}},
		{"one ran", 100, []resend.LookupResult{{}, says(resend.Ran)}, resend.Decision{Action: resend.Replay, From: 1}},
		{"one ran, key too old", 2000, []resend.LookupResult{says(resend.Ran)}, resend.Decision{Action: resend.Replay}},
		{"another body", 100, []resend.LookupResult{free, says(resend.Reused)}, resend.Decision{Action: resend.Refuse, Reason: resend.ReasonReused}},
		{"one runs", 100, []resend.LookupResult{says(resend.Running)}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonRunning, RetryAfter: clock.Second}},
		{"answer not kept", 100, []resend.LookupResult{free, says(resend.Lost)}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonLost}},
		{"one silent", 100, []resend.LookupResult{free, {}}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonUnreachable, RetryAfter: clock.Second}},
		{"later resend", 100, []resend.LookupResult{says(resend.Superseded)}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonSuperseded, RetryAfter: clock.Second}},
		{"node within the margin", 480, []resend.LookupResult{free}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonForgotten}},
		{"newer table", 100, []resend.LookupResult{newer}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonBehind, RetryAfter: clock.Second}},
		{"older than the entry", 780, []resend.LookupResult{free}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonForgotten}},
		{"older than the retention", 1000, []resend.LookupResult{free}, resend.Decision{Action: resend.Unknown, Reason: resend.ReasonOld}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := resend.Lookup{Age: tt.age, KnownFor: 800, Retention: retention, Margin: margin, Version: 3}
			if got := resend.Resolve(q, tt.answers); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// An entry that has not heard of an edit yet sends a key to a node that the
// edit took out; the resend comes through one that has. Were the node asked
// only about keys sent before it left, its run would be missed.
func TestRosterNamesNodesThatLeftWithinTheMargin(t *testing.T) {
	r := resend.NewMembership(retention)
	r.Update(1, []string{"a", "b"})
	r.Update(100, []string{"a"})
	tests := []struct {
		now, age clock.Millis
		want     int
	}{{110, 1, 2}, {121, 1, 2}, {122, 1, 1}, {400, 300, 2}, {2000, 900, 1}}
	for _, tt := range tests {
		if got := len(r.Nodes(tt.now, resend.MaxAge(tt.age, margin))); got != tt.want {
			t.Errorf("at %d, key of age %d: got %d nodes, want %d", tt.now, tt.age, got, tt.want)
		}
	}
	r.Update(1101, []string{"a"})
	if r.Has("b") {
		t.Error("got a node that left before the retention, want it forgotten")
	}
}
