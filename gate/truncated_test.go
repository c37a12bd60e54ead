package gate_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
)

// ending is how a backend server ends its connection after an answer.
type ending string

const (
	kept  ending = "kept"
	fin   ending = "closed"
	reset ending = "reset"
)

// answerText is what a rawUpstream writes for one request.
type answerText struct {
	text   string
	ending ending
	piece  int // bytes in one write, 0 for all
}

// rawUpstream answers each request with the text that is set at the time, byte for byte.
type rawUpstream struct {
	address string
	next    atomic.Pointer[answerText]
	late    atomic.Pointer[lateBody] // nil for none
}

// lateBody is written on a connection, counted from 1, before the answer to its next request.
type lateBody struct {
	connection int
	text       string
}

func startRawUpstream(t testing.TB) *rawUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &rawUpstream{address: listener.Addr().String()}
	go func() {
		for opened := 1; ; opened++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn, opened)
		}
	}()
	return u
}

func (u *rawUpstream) serve(conn net.Conn, opened int) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		answer, text := u.next.Load(), ""
		if late := u.late.Load(); late != nil && late.connection == opened {
			text = late.text
		}
		if err := writePieces(conn, []byte(text+answer.text), answer.piece); err != nil {
			return
		}
		switch answer.ending {
		case fin:
			return
		case reset:
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		case kept:
		}
	}
}

func writePieces(conn net.Conn, b []byte, piece int) error {
	if piece == 0 {
		piece = max(len(b), 1)
	}
	for part := range slices.Chunk(b, piece) {
		if _, err := conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// headerSet is one of the sets of header names between a gate and its backend server.
type headerSet struct {
	name    string
	headers gate.Headers
	own     string // the fields that an answer to the request "b" has
}

func headerSets() []headerSet {
	return []headerSet{
		{"default", gate.DefaultHeaders(), ""},
		{"sealed", sealHeaders, "Id: b\r\nSeal: s\r\n"},
	}
}

func (u *rawUpstream) backend(t testing.TB, s headerSet) *gate.HTTP {
	t.Helper()
	h := gate.NewHTTP(gate.HTTPConfig{Address: u.address, MaxConnections: 4, MaxBody: 100_000, Headers: s.headers, Instance: "i-1"})
	t.Cleanup(h.Close)
	return h
}

// do sends a request that the backend server answers with the text.
func (u *rawUpstream) do(t *testing.T, h *gate.HTTP, method, text string, e ending) (gate.Response, error) {
	t.Helper()
	return u.doPieces(t, h, method, &answerText{text: text, ending: e})
}

func (u *rawUpstream) doPieces(t *testing.T, h *gate.HTTP, method string, a *answerText) (gate.Response, error) {
	t.Helper()
	u.next.Store(a)
	return h.Do(t.Context(), &gate.Call{ID: "b", Method: method, URI: "/x", Deadline: 30 * clock.Second, Repeatable: method != http.MethodPost})
}

// checkNext fails the test unless the next request gets its own answer.
func (u *rawUpstream) checkNext(t *testing.T, h *gate.HTTP, s headerSet, after string) {
	t.Helper()
	got, err := u.do(t, h, http.MethodGet, "HTTP/1.1 201 Created\r\n"+s.own+"Content-Length: 4\r\n\r\nnext", kept)
	if err != nil || got.Status != 201 || string(got.Body) != "next" {
		t.Errorf("request after %s: got %d %q and error %v, want its own answer", after, got.Status, got.Body, err)
	}
}

// wholeAnswer is an answer that is cut at each of its bytes.
type wholeAnswer struct {
	name   string
	method string
	text   string // %s stands for the fields of the header set
	status int
	body   string
	// endsWithConnection means that the answer has neither a length nor chunks: nothing tells
	// an orderly close in its body from its end.
	endsWithConnection bool
}

func wholeAnswers() []wholeAnswer {
	return []wholeAnswer{
		{name: "length", method: "GET", text: "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\nX: y\r\n\r\nabcde", status: 200, body: "abcde"},
		{name: "length, once", method: "POST", text: "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nabcde", status: 200, body: "abcde"},
		{name: "empty", method: "GET", text: "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", status: 200},
		{name: "chunks", method: "GET", text: "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n", status: 200, body: "abcde"},
		{name: "trailer", method: "GET", text: "HTTP/1.1 200 OK\r\n%sTrailer: T\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: v\r\nU: w\r\n\r\n", status: 200, body: "abc"},
		{name: "to the end", method: "GET", text: "HTTP/1.1 200 OK\r\n%sX: y\r\n\r\nabcde", status: 200, body: "abcde", endsWithConnection: true},
		{name: "HTTP/1.0", method: "GET", text: "HTTP/1.0 200 OK\r\n%sX: y\r\n\r\nabcde", status: 200, body: "abcde", endsWithConnection: true},
		{name: "HTTP/1.0 with a length", method: "GET", text: "HTTP/1.0 200 OK\r\n%sContent-Length: 5\r\n\r\nabcde", status: 200, body: "abcde"},
		{name: "closing", method: "GET", text: "HTTP/1.1 200 OK\r\n%sConnection: close\r\nContent-Length: 5\r\n\r\nabcde", status: 200, body: "abcde"},
		{name: "HEAD", method: "HEAD", text: "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\n", status: 200},
		{name: "HEAD in chunks", method: "HEAD", text: "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", status: 200},
		{name: "204", method: "GET", text: "HTTP/1.1 204 No Content\r\n%sX: y\r\n\r\n", status: 204},
		{name: "304", method: "GET", text: "HTTP/1.1 304 Not Modified\r\n%sContent-Length: 5\r\nETag: \"a\"\r\n\r\n", status: 304},
		{name: "error", method: "POST", text: "HTTP/1.1 503 Busy\r\n%sRetry-After: 1\r\nContent-Length: 4\r\n\r\nbusy", status: 503, body: "busy"},
		{name: "interim", method: "GET", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX: y\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nabcde", status: 200, body: "abcde"},
		{name: "line end first", method: "GET", text: "\r\nHTTP/1.1 200 OK\r\n%sContent-Length: 5\r\n\r\nabcde", status: 200, body: "abcde"},
	}
}

// Guards against an answer that was cut in its head, its body or its framing, and is taken for a
// whole one: whether it was closed or reset, on a new connection or on one with an earlier answer.
func TestAnswerCutAtAnyByteIsNotWhole(t *testing.T) {
	for _, s := range headerSets() {
		for _, a := range wholeAnswers() {
			for _, e := range []ending{fin, reset} {
				t.Run(fmt.Sprintf("%s/%s/%s", s.name, a.name, e), func(t *testing.T) {
					t.Parallel()
					u := startRawUpstream(t)
					text := fmt.Sprintf(a.text, s.own)
					headLength := strings.LastIndex(text, "\r\n\r\n") + 4
					for cut := range text {
						onNew, onKept := u.backend(t, s), u.backend(t, s)
						u.checkNext(t, onKept, s, "none")
						for connection, h := range map[string]*gate.HTTP{"new": onNew, "kept": onKept} {
							got, err := u.do(t, h, a.method, text[:cut], e)
							if a.endsWithConnection && e == fin && cut >= headLength {
								if err != nil || string(got.Body) != text[headLength:cut] {
									t.Errorf("closed in the body: got %q and error %v, want its part", got.Body, err)
								}
							} else if !errors.Is(err, gate.ErrTruncated) {
								t.Errorf("%d bytes, %s connection: got %d %q and error %v, want %v", cut, connection, got.Status, got.Body, err, gate.ErrTruncated)
							}
							u.checkNext(t, h, s, "a cut")
							h.Close()
						}
					}
				})
			}
		}
	}
}

// Guards against a whole answer that is changed on its way or refused for its framing.
func TestWholeAnswerIsUnchanged(t *testing.T) {
	for _, s := range headerSets() {
		for _, a := range wholeAnswers() {
			t.Run(s.name+"/"+a.name, func(t *testing.T) {
				u := startRawUpstream(t)
				h := u.backend(t, s)
				e := kept
				if a.endsWithConnection {
					e = fin
				}
				for range 3 {
					got, err := u.do(t, h, a.method, fmt.Sprintf(a.text, s.own), e)
					if err != nil || got.Status != a.status || string(got.Body) != a.body {
						t.Errorf("got %d %q and error %v, want %d %q", got.Status, got.Body, err, a.status, a.body)
					}
				}
				u.checkNext(t, h, s, "whole ones")
			})
		}
	}
}

// Guards against an answer that is taken for a cut one, or put together wrongly, because it arrives in
// pieces: the end of a head in two of them, a long head in many.
func TestAnswerInPiecesIsWhole(t *testing.T) {
	long := "A: " + strings.Repeat("v", 5000) + "\r\n"
	for _, a := range wholeAnswers() {
		for _, tt := range []struct {
			fields string
			piece  int
		}{{"", 1}, {"", 2}, {"", 3}, {long, 7}, {long + long + long, 4095}, {long, 4096}, {long + long, 4097}} {
			u := startRawUpstream(t)
			s := headerSets()[1]
			h := u.backend(t, s)
			e := kept
			if a.endsWithConnection {
				e = fin
			}
			for range 2 {
				got, err := u.doPieces(t, h, a.method, &answerText{text: fmt.Sprintf(a.text, s.own+tt.fields), ending: e, piece: tt.piece})
				if err != nil || got.Status != a.status || string(got.Body) != a.body {
					t.Errorf("%s, pieces of %d: got %d %q and error %v, want %d %q", a.name, tt.piece, got.Status, got.Body, err, a.status, a.body)
				}
			}
			u.checkNext(t, h, s, "pieces")
		}
	}
}

// Guards against a cut answer in chunks that counts as a whole one because its version has no chunks.
func TestChunksOfHTTP10AreNeverWhole(t *testing.T) {
	for _, s := range headerSets() {
		u := startRawUpstream(t)
		h := u.backend(t, s)
		text := "HTTP/1.0 200 OK\r\n" + s.own + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
		for cut := range len(text) + 1 {
			if got, err := u.do(t, h, http.MethodPost, text[:cut], fin); !errors.Is(err, gate.ErrTruncated) {
				t.Errorf("%s, %d of %d bytes: got %d %q and error %v, want %v", s.name, cut, len(text), got.Status, got.Body, err, gate.ErrTruncated)
			}
			u.checkNext(t, h, s, "it")
		}
	}
}

// Guards against an answer whose head has no clear end or framing and that is passed on as a whole one.
func TestAnswerWithUnclearFramingIsRefused(t *testing.T) {
	tests := []struct{ name, text string }{
		{"two lengths", "HTTP/1.1 200 OK\r\n%sContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde"},
		{"the same length twice", "HTTP/1.1 200 OK\r\n%sContent-Length: 5\r\nContent-Length: 5\r\n\r\nabcde"},
		{"list of lengths", "HTTP/1.1 200 OK\r\n%sContent-Length: 5, 5\r\n\r\nabcde"},
		{"negative length", "HTTP/1.1 200 OK\r\n%sContent-Length: -5\r\n\r\nabcde"},
		{"signed length", "HTTP/1.1 200 OK\r\n%sContent-Length: +5\r\n\r\nabcde"},
		{"empty length", "HTTP/1.1 200 OK\r\n%sContent-Length:\r\n\r\nabcde"},
		{"no number as length", "HTTP/1.1 200 OK\r\n%sContent-Length: 0x5\r\n\r\nabcde"},
		{"length that overflows", "HTTP/1.1 200 OK\r\n%sContent-Length: 18446744073709551621\r\n\r\nabcde"},
		{"length on a folded line", "HTTP/1.1 200 OK\r\n%sContent-Length:\r\n 5\r\n\r\nabcde"},
		{"folded line of no meaning", "HTTP/1.1 200 OK\r\n%sX: y\r\n z\r\nContent-Length: 5\r\n\r\nabcde"},
		{"space before the colon of the length", "HTTP/1.1 200 OK\r\n%sContent-Length : 5\r\n\r\nabcde"},
		{"value that ends with a line feed", "HTTP/1.1 200 OK\r\n%sX: y\nContent-Length: 5\r\n\r\nabcde"},
		{"status line that ends with a line feed", "HTTP/1.1 200 OK\n%sContent-Length: 5\r\n\r\nabcde"},
		{"carriage return in the status line", "HTTP/1.1 200 OK\rX: y\r\n%sContent-Length: 5\r\n\r\nabcde"},
		{"folded length", "HTTP/1.1 200 OK\r\n%sContent-Length: 1\r\n 0\r\n\r\nabcde"},
		{"other encoding", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: gzip, chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
		{"two encodings", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
		{"chunk size that overflows", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n10000000000000003\r\nabc\r\n0\r\n\r\n"},
		{"negative chunk size", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n"},
		{"chunk size with a line feed alone", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n3\nabc\n0\n\n"},
		{"chunk without its end", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n3\r\nabcde\r\n0\r\n\r\n"},
		{"length as trailer", "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nContent-Length: 3\r\n\r\n"},
		{"NUL in a value", "HTTP/1.1 200 OK\r\n%sX: \x00\r\nContent-Length: 3\r\n\r\nabc"},
		{"NUL in a name", "HTTP/1.1 200 OK\r\n%sX\x00: y\r\nContent-Length: 3\r\n\r\nabc"},
		{"carriage return in a value", "HTTP/1.1 200 OK\r\n%sX: y\rz\r\nContent-Length: 3\r\n\r\nabc"},
		{"no colon", "HTTP/1.1 200 OK\r\n%sX\r\nContent-Length: 3\r\n\r\nabc"},
		{"body alone", "<html>abc</html>\r\n\r\n%s"},
		{"no version", "200 OK\r\n%sContent-Length: 3\r\n\r\nabc"},
		{"no status", "HTTP/1.1\r\n%sContent-Length: 3\r\n\r\nabc"},
		{"long status", "HTTP/1.1 2000 OK\r\n%sContent-Length: 3\r\n\r\nabc"},
		{"status 0", "HTTP/1.1 000 None\r\n%sContent-Length: 3\r\n\r\nabc"},
		{"status 99", "HTTP/1.1 099 Low\r\n%sContent-Length: 3\r\n\r\nabc"},
		{"protocol that nobody asked for", "HTTP/1.1 101 Switching Protocols\r\n%sConnection: Upgrade\r\nUpgrade: x\r\n\r\nabc"},
		{"the same with a length", "HTTP/1.1 101 Switching Protocols\r\n%sContent-Length: 0\r\n\r\n"},
		{"chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
		{"chunks of a later version", "HTTP/1.2 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
		{"chunks of HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n%sConnection: keep-alive\r\nContent-Length: 3\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
		{"folded chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\n%sTransfer-Encoding:\r\n chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
		{"chunks of HTTP/1.0 without a body", "HTTP/1.0 204 No Content\r\n%stransfer-encoding: chunked\r\n\r\n"},
		{"line feeds alone", "HTTP/1.1 200 OK\n%sContent-Length: 3\n\nabc"},
		{"nothing but line ends", "\r\n\r\n\r\n%.0s"},
		{"many line ends first", strings.Repeat("\r\n", 100) + "HTTP/1.1 200 OK\r\n%sContent-Length: 3\r\n\r\nabc"},
		{"nothing but interim answers", strings.Repeat("HTTP/1.1 102 Processing\r\n%[1]s\r\n", 200)},
	}
	for _, s := range headerSets() {
		for _, tt := range tests {
			t.Run(s.name+"/"+tt.name, func(t *testing.T) {
				u := startRawUpstream(t)
				h := u.backend(t, s)
				got, err := u.do(t, h, http.MethodPost, fmt.Sprintf(tt.text, s.own), fin)
				if err == nil || errors.Is(err, gate.ErrRefused) {
					t.Errorf("got %d %q and error %v, want an error after the request was sent", got.Status, got.Body, err)
				}
				u.checkNext(t, h, s, "it")
			})
		}
	}
}

// Guards against an answer that is refused, or taken for a truncated one, because its head is longer
// than the buffer of the connection.
func TestLongHeadIsPassedOn(t *testing.T) {
	for _, s := range headerSets() {
		for _, length := range []int{3000, 4096, 5000, 16_384, 30_000} {
			for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("l", length) + "\r\n\r\n"} {
				u := startRawUpstream(t)
				h := u.backend(t, s)
				value := strings.Repeat("v", length/2)
				text := interim + "HTTP/1.1 200 OK\r\n" + s.own + "A: " + value + "\r\nB: " + value + "\r\nContent-Length: 5\r\n\r\nabcde"
				for range 2 {
					got, err := u.do(t, h, http.MethodPost, text, kept)
					a, _ := got.Headers.Get("A")
					b, _ := got.Headers.Get("B")
					if err != nil || string(got.Body) != "abcde" || string(a) != value || string(b) != value {
						t.Errorf("%s, %d bytes: got %q, fields of %d and %d bytes and error %v, want it whole", s.name, length, got.Body, len(a), len(b), err)
					}
				}
				for _, cut := range []int{len(interim) + 100, len(text) - 20, len(text) - 9, len(text) - 6, len(text) - 1} {
					if got, err := u.do(t, h, http.MethodGet, text[:cut], fin); !errors.Is(err, gate.ErrTruncated) {
						t.Errorf("%s, %d bytes, cut at %d: got %d %q and error %v, want %v", s.name, length, cut, got.Status, got.Body, err, gate.ErrTruncated)
					}
					u.checkNext(t, h, s, "a cut")
				}
			}
		}
	}
}

// Guards against a backend server whose endless head takes up memory without bound.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("v", 100_000) + "\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: v\r\n", 20_000) + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 " + strings.Repeat("v", 100_000),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: " + strings.Repeat("v", 100_000) + "\r\n\r\n",
	} {
		u := startRawUpstream(t)
		h := u.backend(t, headerSets()[0])
		if got, err := u.do(t, h, http.MethodPost, text, kept); !errors.Is(err, gate.ErrTooLarge) {
			t.Errorf("got %d and error %v, want %v", got.Status, err, gate.ErrTooLarge)
		}
		u.checkNext(t, h, headerSets()[0], "it")
	}
}

// Guards against a body that a backend server sends where none may follow, late, and that is taken
// for the answer to the next request.
func TestBodyThatMustNotFollowIsNoAnswer(t *testing.T) {
	const surplus = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(surplus))
	const chunked = "Transfer-Encoding: chunked\r\n"
	for _, tt := range []struct{ method, head string }{
		{"HEAD", "HTTP/1.1 200 OK\r\n" + length + "\r\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\n" + chunked + "\r\n"},
		{"HEAD", "HTTP/1.1 404 Not Found\r\n" + length + "\r\n"},
		{"GET", "HTTP/1.1 204 No Content\r\n" + length + "\r\n"},
		{"GET", "HTTP/1.1 204 No Content\r\n" + chunked + "\r\n"},
		{"GET", "HTTP/1.1 304 Not Modified\r\n" + length + "\r\n"},
		{"GET", "HTTP/1.1 304 Not Modified\r\n" + chunked + "\r\n"},
	} {
		u := startRawUpstream(t)
		s := headerSets()[0]
		h := u.backend(t, s)
		if _, err := u.do(t, h, tt.method, tt.head, kept); err != nil {
			t.Errorf("%s %q: got error %v, want none", tt.method, tt.head, err)
		}
		// The body arrives when the next request on the connection has been sent.
		u.late.Store(&lateBody{connection: 1, text: surplus})
		u.checkNext(t, h, s, fmt.Sprintf("%s %q", tt.method, tt.head))
	}
}

// Guards against the body of a late answer to another request, which is taken for the answer to a HEAD
// request, whose own answer has no body.
func TestLateAnswerIsNotSkippedForAHeadRequest(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\nX: wrong\r\nContent-Length: 5\r\n\r\n"
	late := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", len(inner), inner)
	u := startRawUpstream(t)
	s := headerSets()[1]
	h := u.backend(t, s)
	got, err := u.do(t, h, http.MethodHead, late+"HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\nContent-Length: 7\r\n\r\n", kept)
	if !errors.Is(err, gate.ErrMismatchedReply) {
		t.Errorf("got %q and error %v, want %v", got.Headers, err, gate.ErrMismatchedReply)
	}
	u.checkNext(t, h, s, "it")
}

// Guards against an error, which the log shows, that quotes a part of an answer, such as its cookies.
func TestErrorsDoNotQuoteTheAnswer(t *testing.T) {
	const secret = "s3cr3t"
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nSet-Cookie: " + secret + "\r\nContent-Le",
		"HTTP/1.1 200 OK\r\nSet-Cookie: \x00" + secret + "\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n" + secret + "\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: " + secret + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + secret + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nSet-Cookie: " + secret + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: \x00" + secret + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + secret + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n" + secret + "\r\n\r\n",
		"HTTP/1.1 2000 OK\r\nSet-Cookie: " + secret + "\r\n\r\n",
		"HTTP/1.1\r\nSet-Cookie: " + secret + "\r\n\r\n",
		secret + "\r\n\r\n",
	} {
		u := startRawUpstream(t)
		_, err := u.do(t, u.backend(t, headerSets()[0]), http.MethodPost, text, fin)
		if err == nil || strings.Contains(err.Error(), secret) {
			t.Errorf("%q: got error %v, want one without a part of the answer", text, err)
		}
	}
}

// Guards against a health check that counts as passed although its answer was cut.
func TestCutProbeFails(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde"
	for _, e := range []ending{fin, reset} {
		u := startRawUpstream(t)
		for cut := range text {
			h := u.backend(t, headerSets()[0])
			u.checkNext(t, h, headerSets()[0], "none")
			u.next.Store(&answerText{text: text[:cut], ending: e})
			if h.Probe("/health") {
				t.Errorf("%d bytes, %s: got a passed check, want a failed one", cut, e)
			}
			u.checkNext(t, h, headerSets()[0], "a cut")
		}
	}
	u := startRawUpstream(t)
	u.next.Store(&answerText{text: text, ending: kept})
	if !u.backend(t, headerSets()[0]).Probe("/health") {
		t.Error("got a failed check for a whole answer, want a passed one")
	}
}

// Guards against a request that is called not run for a field of an interim answer or of a trailer, or
// for an answer that says so and was cut.
func TestNotRunCountsOnlyInAWholeHead(t *testing.T) {
	u := startRawUpstream(t)
	for _, text := range []string{
		"HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\n\r\nHTTP/1.1 503 Busy\r\nId: b\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nId: b\r\nTrailer: Not-Run\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nNot-Run: 1\r\n\r\n",
	} {
		got, err := u.do(t, u.backend(t, headerSets()[1]), http.MethodPost, text, kept)
		if err != nil || got.Shed || got.Status != 503 {
			t.Errorf("%q: got %d, shed %v and error %v; want 503, not shed", text, got.Status, got.Shed, err)
		}
	}
	const refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nFuchsiapick-Backend: shed\r\nContent-Length: 4\r\n\r\nbusy"
	for _, s := range headerSets() {
		for cut := range refusal {
			if got, err := u.do(t, u.backend(t, s), http.MethodPost, refusal[:cut], fin); !errors.Is(err, gate.ErrTruncated) {
				t.Errorf("%s, %d bytes: got %d, shed %v and error %v; want %v", s.name, cut, got.Status, got.Shed, err, gate.ErrTruncated)
			}
		}
		if got, err := u.do(t, u.backend(t, s), http.MethodPost, refusal, fin); err != nil || !got.Shed {
			t.Errorf("%s: got shed %v and error %v for a whole refusal, want it shed", s.name, got.Shed, err)
		}
	}
}
