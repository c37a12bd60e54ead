package gate_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// tokenPunctuation is what a field name may hold beside letters and digits (RFC 9110, 5.6.2).
const tokenPunctuation = "!#$%&'*+-.^_`|~"

func isTokenByte(c byte) bool {
	return '0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || strings.IndexByte(tokenPunctuation, c) >= 0
}

// brokenNames returns a field name with a byte that no field name may hold at its start, inside it and at
// its end. A colon is broken only at the start: elsewhere it ends the name.
func brokenNames(name string, c byte) []string {
	b := string([]byte{c})
	if c == ':' {
		return []string{b + name}
	}
	return []string{b + name, name[:2] + b + name[2:], name + b}
}

// answerPart is the part of an answer that has the line with the broken name.
type answerPart string

const (
	finalHead   answerPart = "head"
	interimHead answerPart = "interim head"
	trailer     answerPart = "trailer"
)

// linesWith returns the lines of the fields with another one before, among or after them.
func linesWith(lines []string, line string, position int) string {
	at := position * len(lines) / 2
	return strings.Join(lines[:at], "") + line + strings.Join(lines[at:], "")
}

// answerWith returns an answer to the request "b" that has a line in one of its parts. Without the field of
// a name, the line is the only one with that name.
func answerWith(part answerPart, line string, position int, without string) string {
	framing, body := "Content-Length: 5\r\n", "abcde"
	if part == trailer {
		framing = "Transfer-Encoding: chunked\r\n"
		body = "5\r\nabcde\r\n0\r\n" + linesWith([]string{"T: v\r\n", "U: w\r\n"}, line, position) + "\r\n"
	}
	fields := []string{"Id: b\r\n", "Seal: s\r\n", "X: y\r\n", framing}
	interim := ""
	switch part {
	case finalHead:
		kept := fields[:0:0]
		for _, field := range fields {
			if !strings.HasPrefix(field, without+":") {
				kept = append(kept, field)
			}
		}
		return "HTTP/1.1 200 OK\r\n" + linesWith(kept, line, position) + "\r\n" + body
	case interimHead:
		interim = "HTTP/1.1 103 Early Hints\r\n" + linesWith([]string{"Link: </a>\r\n", "Link: </b>\r\n"}, line, position) + "\r\n"
	case trailer:
	}
	return interim + "HTTP/1.1 200 OK\r\n" + strings.Join(fields, "") + "\r\n" + body
}

// Guards against an answer with a line whose name holds a byte that no field name may hold: passed on with
// that line, or with a body or a seal by a reading on which recipients differ.
func TestAnswerWithABrokenFieldNameIsRefused(t *testing.T) {
	for _, field := range []string{
		"X-Color: red", "Content-Length: 3", "Transfer-Encoding: chunked", "Content-Encoding: gzip", "Connection: close", "Keep-Alive: timeout=1",
		"Seal: other", "Id: other", "Not-Run: 1", "Retry-After: 1", "Rate-Limit: 1", "Leaving: 1",
	} {
		name, value, _ := strings.Cut(field, ": ")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			passed := 0
			for c := range 256 {
				if isTokenByte(byte(c)) {
					continue
				}
				u := startRawUpstream(t)
				s := headerSets()[1]
				h := u.backend(t, s)
				for _, broken := range brokenNames(name, byte(c)) {
					for _, part := range []answerPart{finalHead, interimHead, trailer} {
						for position := range 3 {
							for _, without := range []string{"", name} {
								text := answerWith(part, broken+": "+value+"\r\n", position, without)
								got, err := u.do(t, h, http.MethodPost, text, fin)
								if !errors.Is(err, gate.ErrTruncated) {
									passed++
									if passed <= 3 {
										t.Errorf("%s, %q: got %d, fields %q, %q and error %v, want %v", part, text, got.Status, got.Headers, got.Body, err, gate.ErrTruncated)
									}
								}
							}
						}
					}
				}
				u.checkNext(t, h, s, fmt.Sprintf("names with %q", byte(c)))
			}
			if passed > 0 {
				t.Errorf("%d answers were taken, want none", passed)
			}
		})
	}
}

// Guards against a health check that counts as passed although its answer has a broken field name or a status
// that is none.
func TestBrokenProbeFails(t *testing.T) {
	u := startRawUpstream(t)
	h := u.backend(t, headerSets()[0])
	probe := func(text string) bool {
		u.next.Store(&answerText{text: text, ending: fin})
		return h.Probe("/health")
	}
	if !probe("HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 2\r\n\r\nok") {
		t.Error("got a failed check for a whole answer, want a passed one")
	}
	for _, head := range []string{"HTTP/1.1 000 None\r\n", "HTTP/1.1 099 Low\r\n", "HTTP/1.1 200\nX: y\r\n"} {
		if probe(head + "Content-Length: 2\r\n\r\nok") {
			t.Errorf("%q: got a passed check, want a failed one", head)
		}
	}
	for c := range 256 {
		if isTokenByte(byte(c)) {
			continue
		}
		for _, broken := range brokenNames("Color", byte(c)) {
			for _, part := range []answerPart{finalHead, interimHead, trailer} {
				if text := answerWith(part, broken+": red\r\n", 1, ""); probe(text) {
					t.Errorf("%s, %q: got a passed check, want a failed one", part, text)
				}
			}
		}
	}
}

// Guards against a field that is refused for a byte that its name may hold.
func TestAnswerWithAnyTokenAsFieldNameIsPassedOn(t *testing.T) {
	u := startRawUpstream(t)
	s := headerSets()[1]
	h := u.backend(t, s)
	for c := range 256 {
		if !isTokenByte(byte(c)) {
			continue
		}
		for _, name := range []string{"X" + string(rune(c)), string(rune(c)) + "X", "X" + string(rune(c)) + "X", string(rune(c))} {
			for _, part := range []answerPart{finalHead, interimHead, trailer} {
				for position := range 3 {
					got, err := u.do(t, h, http.MethodPost, answerWith(part, name+": v\r\n", position, ""), kept)
					if err != nil || got.Status != 200 || string(got.Body) != "abcde" {
						t.Errorf("%s, %q: got %d %q and error %v, want the whole answer", part, name, got.Status, got.Body, err)
					}
					if value, ok := got.Headers.Get(name); part == finalHead && (!ok || name != "x" && name != "X" && string(value) != "v") {
						t.Errorf("%q: got %q, want the field passed on", name, got.Headers)
					}
				}
			}
		}
	}
}

// runBroken runs requests at a gate whose backend server gives all of them a broken answer, until the gate
// refuses one or has run twenty. It returns the number of runs, and the gate's state after them.
func runBroken(t *testing.T, caution table.Caution, repeatable bool, text string, reason wire.Reason) (runs int, state uint8) {
	t.Helper()
	u := startRawUpstream(t)
	u.next.Store(&answerText{text: text, ending: fin})
	lines := make(logHook, 8)
	logger := logging.Silent()
	logger.AddHook(lines)
	now := clock.NewSystem().Now
	g := gate.New(gate.Config{
		Service: table.Service{Name: "conferme", Caution: caution, Queue: 4}, Upstream: table.Upstream{Name: "c1", Weight: 100, Slots: 1},
		Incarnation: incarnation, Now: now, Backend: u.backend(t, headerSets()[1]), Pool: newPool(t), Recorder: discardRecorder{}, Log: logger,
		Keys: gate.NewKeyStore(now),
	})
	t.Cleanup(g.Close)
	for ; runs < 20; runs++ {
		d := dispatch(uint64(runs), "b")
		d.Repeatable = repeatable
		replies := make(chan *wire.Reply, 1)
		g.Handle(d, func(r *wire.Reply) { replies <- r })
		reply := <-replies
		if reply.Outcome == wire.NotRun {
			break
		}
		if reply.Outcome != wire.Broken || reply.Reason != reason || len(reply.Headers) > 0 || len(reply.Body) > 0 {
			t.Fatalf("%q: got outcome %v, reason %q, fields %q, %q; want a broken answer without a part of it", text, reply.Outcome, reply.Reason, reply.Headers, reply.Body)
		}
		entry := <-lines
		for entry.Message != "request not answered by the backend server" {
			entry = <-lines
		}
		if line := fmt.Sprint(entry.Data); !strings.Contains(line, string(reason)) || strings.Contains(line, "s3cr3t") {
			t.Errorf("%q: got log line %s, want the reason and no part of the answer", text, line)
		}
	}
	return runs, g.Status().State
}

// Guards against an upstream whose broken field names count for less than cut answers do, and against a
// log that quotes the answer.
func TestBrokenFieldNameCountsLikeACutAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\nContent-Length: 6\r\n"
	for _, caution := range []table.Caution{table.Fast, table.ShortEpisodes} {
		for _, repeatable := range []bool{false, true} {
			wantRuns, wantState := runBroken(t, caution, repeatable, head+"\r\ns3cr", wire.ReasonTruncated)
			if caution == table.ShortEpisodes && wantState == uint8(health.InUse) {
				t.Errorf("%s: got an upstream in use after %d cut answers, want it ejected", caution, wantRuns)
			}
			for _, line := range []string{"Set Cookie: s3cr3t\r\n", "Set-Cookie : s3cr3t\r\n", " s3cr3t\r\n", "s3cr3t\r\n", "X: y\ns3cr3t: z\r\n"} {
				runs, state := runBroken(t, caution, repeatable, head+line+"\r\nabcdef", wire.ReasonTruncated)
				if runs != wantRuns || state != wantState {
					t.Errorf("%s, %q: got state %d after %d runs, want %d after %d", caution, line, state, runs, wantState, wantRuns)
				}
			}
		}
	}
}

// Guards against an upstream that keeps its requests although it answers them with heads or trailers that are too
// large. A body that is too large may be what the request asks for, and doesn't count against the upstream.
func TestTooLargeHeadCountsLikeACutAnswer(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\n"
	long := "X: " + strings.Repeat("s3cr3t", 10_000) + "\r\n"
	for _, caution := range []table.Caution{table.Fast, table.ShortEpisodes} {
		wantRuns, wantState := runBroken(t, caution, true, own+"Content-Length: 6\r\n\r\ns3cr", wire.ReasonTruncated)
		for _, text := range []string{
			own + long + "\r\n", "HTTP/1.1 103 Early Hints\r\n" + long + "\r\n" + own + "\r\n", own + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + long + "\r\n",
		} {
			if runs, state := runBroken(t, caution, true, text, wire.ReasonReplyTooLarge); runs != wantRuns || state != wantState {
				t.Errorf("%s, %.40q: got state %d after %d runs, want %d after %d", caution, text, state, runs, wantState, wantRuns)
			}
		}
		if runs, state := runBroken(t, caution, true, own+"Content-Length: 200000\r\n\r\n", wire.ReasonReplyTooLarge); runs != 20 || state != uint8(health.InUse) {
			t.Errorf("%s, body: got state %d after %d runs, want an upstream in use after 20", caution, state, runs)
		}
	}
}
