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

// sealed are the names of a platform whose upstreams echo ids and seal answers.
var sealed = gate.Headers{
	Request: "Id", Deadline: "Deadline", Caller: "Caller", Instance: "Expected", NotRun: "Not-Run", Seal: "Seal",
}

// upstream serves scripted bytes: the n-th request on any connection gets the
// n-th text, and its connection is closed after it if the text ends so.
type upstream struct {
	address string
	conns   chan int // how many connections were opened when each request came
	heads   chan http.Header
}

func scripted(t *testing.T, texts ...string) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &upstream{address: listener.Addr().String(), conns: make(chan int, 16), heads: make(chan http.Header, 16)}
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

func (u *upstream) serve(conn net.Conn, opened int, next <-chan string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		u.conns <- opened
		u.heads <- request.Header
		text := <-next
		if _, err := conn.Write([]byte(text)); err != nil || request.Close {
			return
		}
	}
}

func (u *upstream) backend(t *testing.T) *gate.HTTP {
	t.Helper()
	h := gate.NewHTTP(gate.HTTPConfig{Address: u.address, MaxConnections: 2, MaxBody: 1000, Headers: sealed, Instance: "i-1"})
	t.Cleanup(h.Close)
	return h
}

const whole = "HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\nContent-Length: 3\r\n\r\nabc"

// A confirmation's answer must be its own. Whatever else comes over the
// connection, from an earlier request or from a broken upstream, must not be
// given to a caller as a success.
func TestOnlyTheOwnAnswerIsTaken(t *testing.T) {
	tests := []struct {
		name string
		text string
		want error
	}{
		{"own", whole, nil},
		{"late answer of another first", "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\nContent-Length: 1\r\n\r\nx" + whole, nil},
		{"no id", "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 1\r\n\r\nx", gate.ErrMismatchedReply},
		{"no seal", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nx", gate.ErrMismatchedReply},
		{"recoded", "HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\nContent-Encoding: br\r\nContent-Length: 1\r\n\r\nx", gate.ErrMismatchedReply},
		{"no answer at all", "\x00\x01\x02garbage\r\n\r\n", gate.ErrTruncated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			u := scripted(t, tt.text)
			got, err := u.backend(t).Do(t.Context(), &gate.Call{ID: "b", Method: "GET", URI: "/x", Deadline: clock.Second})
			if !errors.Is(err, tt.want) {
				t.Fatalf("got error %v, want %v", err, tt.want)
			}
			if err == nil && string(got.Body) != "abc" {
				t.Errorf("got %q, want the own body", got.Body)
			}
		})
	}
}

// Not run is said only where the upstream says so itself: a 503 alone may come
// from a request that ran.
func TestNotRunIsTheUpstreamsWord(t *testing.T) {
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
			u := scripted(t, tt.text)
			got, err := u.backend(t).Do(t.Context(), &gate.Call{ID: "b", Method: "POST", URI: "/x", Deadline: clock.Second})
			if err != nil || got.Shed != tt.want {
				t.Errorf("got shed %v and %v, want %v", got.Shed, err, tt.want)
			}
		})
	}
}

// Bytes after a complete answer belong to no request. Left on the connection,
// they would be read as the next request's answer.
func TestConnectionWithExtraBytesIsNotUsedAgain(t *testing.T) {
	u := scripted(t, whole+"HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\nContent-Length: 5\r\n\r\nextra", whole)
	backend := u.backend(t)
	for i, want := range []int{1, 2} {
		got, err := backend.Do(t.Context(), &gate.Call{ID: "b", Method: "GET", URI: "/x", Deadline: clock.Second, Repeatable: true})
		if err != nil || string(got.Body) != "abc" {
			t.Fatalf("request %d: got %q and %v, want abc", i, got.Body, err)
		}
		if opened := <-u.conns; opened != want {
			t.Errorf("request %d: got connection %d, want %d", i, opened, want)
		}
	}
}

// Connections are kept where the answers leave them fit, and dropped where the
// upstream says so.
func TestConnectionsAreKept(t *testing.T) {
	closing := "HTTP/1.1 200 OK\r\nId: b\r\nSeal: s\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc"
	u := scripted(t, whole, closing, whole)
	backend := u.backend(t)
	for i, want := range []int{1, 1, 2} {
		if _, err := backend.Do(t.Context(), &gate.Call{ID: "b", Method: "GET", URI: "/x", Deadline: clock.Second, Repeatable: true}); err != nil {
			t.Fatalf("request %d: got %v, want none", i, err)
		}
		if opened := <-u.conns; opened != want {
			t.Errorf("request %d: got connection %d, want %d", i, opened, want)
		}
	}
}

// The upstream learns which instance is meant, who asks and what time is left.
func TestUpstreamIsToldWhatItNeeds(t *testing.T) {
	u := scripted(t, whole)
	if _, err := u.backend(t).Do(t.Context(), &gate.Call{ID: "b", Caller: "conferme", Method: "GET", URI: "/x", Deadline: 700}); err != nil {
		t.Fatal(err)
	}
	head := <-u.heads
	for name, want := range map[string]string{"Id": "b", "Caller": "conferme", "Expected": "i-1", "Deadline": "700"} {
		if got := head.Get(name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
}

// A caller leaves while its roster is being made. Closing the connection is how
// the upstream learns of it; without that the slot stays taken.
func TestCancelledCallEndsAtOnce(t *testing.T) {
	address := answering(t, "", true)
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
		t.Errorf("got %v, want it cancelled", err)
	}
}
