package gate_test

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
)

// startRawServer starts a server that reads a request on each connection, writes the text and
// closes the connection. A silent server writes only when the test ends. It returns the address.
func startRawServer(t *testing.T, text string, silent bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() {
		close(done)
		_ = listener.Close()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = conn.Read(make([]byte, 4096))
				if silent {
					<-done
				}
				_, _ = conn.Write([]byte(text))
			}()
		}
	}()
	return listener.Addr().String()
}

// closedPort returns an address where nothing listens.
func closedPort(t *testing.T) string {
	t.Helper()
	// A socket that is bound and doesn't listen keeps others from taking the port.
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// Only a connection that could not be opened proves that the backend server received
// nothing. If a truncated response counted as proof, too, a request that must run only
// once would be sent a second time, to another upstream.
func TestBackendErrors(t *testing.T) {
	tests := []struct {
		name    string
		address string
		want    error
	}{
		{"nothing listens", closedPort(t), gate.ErrRefused},
		{"closes without a response", startRawServer(t, "", false), gate.ErrTruncated},
		{"half a header", startRawServer(t, "HTTP/1.1 200 OK\r\nConte", false), gate.ErrTruncated},
		{"half a body", startRawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", false), gate.ErrTruncated},
		{"no HTTP", startRawServer(t, "220 ready\r\n\r\n", false), gate.ErrTruncated},
		{"silent", startRawServer(t, "", true), gate.ErrTimeout},
		{"body over the limit", startRawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n", false), gate.ErrTooLarge},
		{"whole", startRawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", false), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			backend := gate.NewHTTP(gate.HTTPConfig{Address: tt.address, MaxConnections: 1, MaxBody: 1000})
			defer backend.Close()
			_, err := backend.Do(t.Context(), &gate.Call{Method: "POST", URI: "/x", Deadline: 300})
			if !errors.Is(err, tt.want) {
				t.Errorf("got error %v, want %v", err, tt.want)
			}
		})
	}
}

// A backend server closes the connection on a request that must run only once. The
// request must not be sent again on a new connection.
func TestBackendReceivesARequestOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	got := make(chan int, 16)
	go func() {
		for n := 1; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_ = conn.Close()
			got <- n
		}
	}()
	backend := gate.NewHTTP(gate.HTTPConfig{Address: listener.Addr().String(), MaxConnections: 4, MaxBody: 1000})
	defer backend.Close()
	for _, method := range []string{"GET", "POST"} {
		if _, err := backend.Do(t.Context(), &gate.Call{Method: method, URI: "/x", Deadline: clock.Second}); !errors.Is(err, gate.ErrTruncated) {
			t.Errorf("%s: got error %v, want %v", method, err, gate.ErrTruncated)
		}
	}
	<-got
	<-got
	select {
	case n := <-got:
		t.Errorf("got connection %d for two requests, want 2", n)
	case <-time.After(50 * time.Millisecond):
	}
}

// Only the marked response proves that a request didn't run; an overloaded backend server
// may also respond 429, or 503 with Retry-After, after it began the request.
func TestBackendReportsShedLoad(t *testing.T) {
	tests := []struct {
		name, text       string
		shed, overloaded bool
		after            clock.Millis
	}{
		{"marked", "HTTP/1.1 503 X\r\nFuchsiapick-Backend: shed\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", true, true, 2000},
		{"503 with Retry-After", "HTTP/1.1 503 X\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", false, true, 3000},
		{"503 alone", "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", false, false, 0},
		{"429", "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n", false, true, 0},
		{"marked, but another status", "HTTP/1.1 500 X\r\nFuchsiapick-Backend: shed\r\nContent-Length: 0\r\n\r\n", false, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			backend := gate.NewHTTP(gate.HTTPConfig{Address: startRawServer(t, tt.text, false), MaxConnections: 1, MaxBody: 1000})
			defer backend.Close()
			got, err := backend.Do(t.Context(), &gate.Call{Method: "GET", URI: "/x", Deadline: clock.Second})
			if err != nil {
				t.Fatal(err)
			}
			if got.Shed != tt.shed || got.Overloaded != tt.overloaded || got.RetryAfter != tt.after {
				t.Errorf("got shed %v, overloaded %v, after %v; want %v, %v, %v",
					got.Shed, got.Overloaded, got.RetryAfter, tt.shed, tt.overloaded, tt.after)
			}
		})
	}
}
