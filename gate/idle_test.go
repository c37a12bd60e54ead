package gate_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/gate"
)

// startIdleServer starts a server that ends idle connections after a timeout, 0 for never. It
// passes on each connection that is opened.
func startIdleServer(t *testing.T, timeout time.Duration) (address string, opened chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened = make(chan struct{}, 64)
	server := &http.Server{
		IdleTimeout: timeout,
		Handler:     http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ConnState: func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				opened <- struct{}{}
			}
		},
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), opened
}

// Requests that may run only once opened a connection each time that the others had been idle
// for 250 ms, which was most of the connections of a backend server with little load. Once a
// longer idle time has been survived, they must use the connections that are open. They must
// use none that the backend server may just be ending.
func TestIdleConnectionsAreKeptWhereSafe(t *testing.T) {
	const short, long = 320 * time.Millisecond, 1600 * time.Millisecond
	tests := []struct {
		name    string
		keep    bool
		timeout time.Duration
		gaps    []time.Duration
		want    int
	}{
		{"kept", true, 0, []time.Duration{long, short, short}, 2},
		{"not kept", false, 0, []time.Duration{long, short, short}, 4},
		{"no longer idle time survived yet", true, 0, []time.Duration{short, short}, 3},
		{"the backend server ends idle connections", true, 500 * time.Millisecond, []time.Duration{long, short, short}, 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			address, opened := startIdleServer(t, tt.timeout)
			backend := gate.NewHTTP(gate.HTTPConfig{Address: address, MaxConnections: 8, MaxBody: 1000})
			defer backend.Close()
			backend.KeepConnections(tt.keep)
			for i := range len(tt.gaps) + 1 {
				if i > 0 {
					<-time.After(tt.gaps[i-1])
				}
				if _, err := backend.Do(t.Context(), &gate.Call{Method: http.MethodPost, URI: "/", Deadline: 5000}); err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
			}
			if got := len(opened); got != tt.want {
				t.Errorf("got %d connections, want %d", got, tt.want)
			}
		})
	}
}

// A new process need not keep idle connections as long as the one before it.
func TestRestartForgetsIdleTimes(t *testing.T) {
	address, opened := startIdleServer(t, 0)
	backend := gate.NewHTTP(gate.HTTPConfig{Address: address, MaxConnections: 8, MaxBody: 1000})
	defer backend.Close()
	backend.KeepConnections(true)
	call := &gate.Call{Method: http.MethodPost, URI: "/", Deadline: 5000}
	for i, gap := range []time.Duration{0, 1600 * time.Millisecond, 0, 320 * time.Millisecond} {
		<-time.After(gap)
		if i == 2 {
			backend.ResetConnections()
		}
		if _, err := backend.Do(t.Context(), call); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(opened); got != 4 {
		t.Errorf("got %d connections, want 4: the last request must not rely on the process before", got)
	}
}
