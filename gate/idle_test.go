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
func startIdleServer(t *testing.T, timeout time.Duration) (address string, opened chan net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened = make(chan net.Conn, 64)
	server := &http.Server{
		IdleTimeout: timeout,
		Handler:     http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateNew {
				opened <- c
			}
		},
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), opened
}

// A load that varies within 13 s leaves connections idle for some seconds. Repeatable requests
// opened new ones at each peak, as idle connections expired after 4 s. A request that may run only
// once must use none that has been idle for long: the backend server may have forgotten it.
func TestIdleConnectionsAreKeptWhereSafe(t *testing.T) {
	const short, long = 320 * time.Millisecond, 4500 * time.Millisecond
	tests := []struct {
		name       string
		keep       bool
		timeout    time.Duration
		gaps       []time.Duration
		repeatable bool
		want       int
	}{
		{"kept", true, 0, []time.Duration{long, short, short}, true, 1},
		{"not kept", false, 0, []time.Duration{long, short, short}, true, 2},
		{"requests that may run only once", true, 0, []time.Duration{long, short, short}, false, 4},
		{"the backend server ends idle connections", true, 200 * time.Millisecond, []time.Duration{short, short}, true, 3},
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
				if _, err := backend.Do(t.Context(), &gate.Call{Method: http.MethodGet, URI: "/", Deadline: 5000, Repeatable: tt.repeatable}); err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
			}
			if got := len(opened); got != tt.want {
				t.Errorf("got %d connections, want %d", got, tt.want)
			}
		})
	}
}

// A new process may keep idle connections longer than the one before it. If a limit that the old
// one showed were kept, each peak of the load would open new connections for good.
func TestRestartForgetsIdleTimes(t *testing.T) {
	t.Parallel()
	const ending, beyond = 4600 * time.Millisecond, 4400 * time.Millisecond // the old process shows 4.1 s
	address, opened := startIdleServer(t, 0)
	backend := gate.NewHTTP(gate.HTTPConfig{Address: address, MaxConnections: 8, MaxBody: 1000})
	defer backend.Close()
	backend.KeepConnections(true)
	call := &gate.Call{Method: http.MethodGet, URI: "/", Deadline: 5000, Repeatable: true}
	for i, gap := range []time.Duration{0, ending, 0, beyond} {
		<-time.After(gap)
		switch i {
		case 1:
			_ = (<-opened).Close() // an error means that it is closed already
			<-time.After(100 * time.Millisecond)
		case 2:
			backend.ResetConnections(time.Now())
		}
		if _, err := backend.Do(t.Context(), call); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(opened); got != 2 {
		t.Errorf("got %d connections after the first, want 2: the last request must not rely on the process before", got)
	}
}
