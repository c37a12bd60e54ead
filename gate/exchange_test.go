package gate_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
)

// sealHeaders are the header names of a platform whose upstreams echo request ids and seal
// responses.
var sealHeaders = gate.Headers{
	Request: "Id", Deadline: "Deadline", Caller: "Caller", Instance: "Expected", NotRun: "Not-Run", Seal: "Seal",
}

// scriptedUpstream serves scripted bytes: the n-th request on any connection gets the
// n-th text. Its connection is closed after the text if the request asks for that.
type scriptedUpstream struct {
	address string
	conns   chan int // for each request, the number of its connection
	headers chan http.Header
}

func newScriptedUpstream(t *testing.T, texts ...string) *scriptedUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &scriptedUpstream{address: listener.Addr().String(), conns: make(chan int, 16), headers: make(chan http.Header, 16)}
	next := make(chan string, len(texts))
	for _, text := range texts {
		next <- text
	}
	go func() {
		for opened := 1; ; opened++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn, opened, next)
		}
	}()
	return u
}

func (u *scriptedUpstream) serve(conn net.Conn, opened int, next <-chan string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		u.conns <- opened
		u.headers <- request.Header
		text := <-next
		if _, err := conn.Write([]byte(text)); err != nil || request.Close {
			return
		}
	}
}

func (u *scriptedUpstream) backend(t *testing.T) *gate.HTTP {
	t.Helper()
	h := gate.NewHTTP(gate.HTTPConfig{Address: u.address, MaxConnections: 2, MaxBody: 1000, Headers: sealHeaders, Instance: "i-1"})
	t.Cleanup(h.Close)
	return h
}

const wholeResponse = "HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\nContent-Length: 3\r\n\r\nabc"

// A caller must get the response to its own request. Anything else on the connection,
// from an earlier request or a broken upstream, must not reach the caller as a success.
func TestOnlyAMatchingResponseIsAccepted(t *testing.T) {
	tests := []struct {
		name string
		text string
		want error
	}{
		{"own", wholeResponse, nil},
		{"late response to another request first", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 1\r\n\r\nx" + wholeResponse, nil},
		{"no id", "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 1\r\n\r\nx", gate.ErrMismatchedReply},
		{"no seal", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nx", gate.ErrMismatchedReply},
		{"recoded", "HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\nContent-Encoding: br\r\nContent-Length: 1\r\n\r\nx", gate.ErrMismatchedReply},
		{"no HTTP response", "\x00\x01\x02garbage\r\n\r\n", gate.ErrTruncated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := newScriptedUpstream(t, tt.text)
			got, err := u.backend(t).Do(t.Context(), &gate.Call{ID: "b", Method: "GET", URI: "/x", Deadline: clock.Second})
			if !errors.Is(err, tt.want) {
				t.Fatalf("got error %v, want %v", err, tt.want)
			}
			if err == nil && string(got.Body) != "abc" {
				t.Errorf("got body %q, want that of the request's own response", got.Body)
			}
		})
	}
}

// A request counts as not run only if the upstream states so: a 503 alone may be the
// response to a request that ran.
func TestNotRunRequiresTheUpstreamsStatement(t *testing.T) {
	tests := []struct {
		name string
		text string
		want bool
	}{
		{"marked", "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", true},
		{"another upstream has the address", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", true},
		{"503 alone", "HTTP/1.1 503 X\r\nId: b\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", false},
		{"500", "HTTP/1.1 500 X\r\nId: b\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := newScriptedUpstream(t, tt.text)
			got, err := u.backend(t).Do(t.Context(), &gate.Call{ID: "b", Method: "POST", URI: "/x", Deadline: clock.Second})
			if err != nil || got.Shed != tt.want {
				t.Errorf("got shed %v and error %v, want shed %v", got.Shed, err, tt.want)
			}
		})
	}
}

// Bytes after a complete response belong to no request. If the connection were reused,
// they would be read as the response to the next request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	u := newScriptedUpstream(t, wholeResponse+"HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\nContent-Length: 5\r\n\r\nextra", wholeResponse)
	backend := u.backend(t)
	for i, want := range []int{1, 2} {
		got, err := backend.Do(t.Context(), &gate.Call{ID: "b", Method: "GET", URI: "/x", Deadline: clock.Second, Repeatable: true})
		if err != nil || string(got.Body) != "abc" {
			t.Fatalf("request %d: got body %q and error %v, want abc", i, got.Body, err)
		}
		if opened := <-u.conns; opened != want {
			t.Errorf("request %d: got connection %d, want %d", i, opened, want)
		}
	}
}

// Guards against a new connection for each request, and against reusing a connection that
// the upstream closes.
func TestConnectionsAreReused(t *testing.T) {
	closing := "HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc"
	u := newScriptedUpstream(t, wholeResponse, closing, wholeResponse)
	backend := u.backend(t)
	for i, want := range []int{1, 1, 2} {
		if _, err := backend.Do(t.Context(), &gate.Call{ID: "b", Method: "GET", URI: "/x", Deadline: clock.Second, Repeatable: true}); err != nil {
			t.Fatalf("request %d: got error %v, want none", i, err)
		}
		if opened := <-u.conns; opened != want {
			t.Errorf("request %d: got connection %d, want %d", i, opened, want)
		}
	}
}

// The upstream needs the request id, the caller, the expected instance and the time until
// the deadline.
func TestUpstreamReceivesTheRequestHeaders(t *testing.T) {
	u := newScriptedUpstream(t, wholeResponse)
	if _, err := u.backend(t).Do(t.Context(), &gate.Call{ID: "b", Caller: "conferme", Method: "GET", URI: "/x", Deadline: 700}); err != nil {
		t.Fatal(err)
	}
	header := <-u.headers
	for name, want := range map[string]string{"Id": "b", "Caller": "conferme", "Expected": "i-1", "Deadline": "700"} {
		if got := header.Get(name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
}

// A caller disconnects while its request runs. The upstream is notified by the closed
// connection; if the call went on, the slot would stay in use until the deadline.
func TestCancelledCallEndsImmediately(t *testing.T) {
	address := startRawServer(t, "", true)
	backend := gate.NewHTTP(gate.HTTPConfig{Address: address, MaxConnections: 1, MaxBody: 1000})
	defer backend.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := backend.Do(ctx, &gate.Call{Method: "GET", URI: "/x", Deadline: clock.Hour, Repeatable: true})
		done <- err
	}()
	cancel()
	if err := <-done; !errors.Is(err, gate.ErrCancelled) && !errors.Is(err, gate.ErrRefused) {
		t.Errorf("got error %v, want the call cancelled", err)
	}
}
