package node_test

import (
	"net"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/settings"
)

// portTimeout is how long a test waits for a port.
const portTimeout = 30 * time.Second

// Guards against a node that lives and serves nothing: its listeners failed for good, and the services
// were started again on the same ones.
func TestPortsOpenAgainAfterTheirListenersFailed(t *testing.T) {
	l := listen(t)
	startNode(t, "n1", l, fakeStore{isUnavailable: true}, fixedTable{})
	for name, c := range map[string]struct{ address, path string }{
		"caller": {l.Caller.Addr().String(), "/"},
		"link":   {l.Link.Addr().String(), "/"},
		"admin":  {l.Admin.Addr().String(), "/healthz"},
	} {
		t.Run(name, func(t *testing.T) {
			awaitAnswer(t, c.address, c.path)
			breakListener(t, c.address)
			awaitAnswer(t, c.address, c.path)
		})
	}
}

// awaitAnswer waits for an answer of any status.
func awaitAnswer(t *testing.T, address, path string) {
	t.Helper()
	var err error
	for deadline := time.Now().Add(portTimeout); time.Now().Before(deadline); {
		<-time.After(10 * time.Millisecond)
		// A connection that is kept would answer without the port.
		client := fasthttp.Client{MaxIdleConnDuration: time.Millisecond, MaxIdemponentCallAttempts: 1}
		if _, _, err = client.GetTimeout(nil, "http://"+address+path, time.Second); err == nil {
			client.CloseIdleConnections()
			return
		}
	}
	t.Fatalf("got %v from %s, want an answer", err, address)
}

// breakListener makes the socket that listens on an address fail all later calls of accept.
func breakListener(t *testing.T, address string) {
	t.Helper()
	want, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		fd, err := strconv.Atoi(entry.Name())
		if err != nil {
			t.Fatal(err)
		}
		own, err := syscall.Getsockname(fd)
		if err != nil {
			continue // not a socket
		}
		listens, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
		inet, ok := own.(*syscall.SockaddrInet4)
		if err != nil || listens == 0 || !ok || inet.Port != want.Port {
			continue
		}
		if err := syscall.Shutdown(fd, syscall.SHUT_RDWR); err != nil {
			t.Fatal(err)
		}
		return
	}
	t.Fatalf("got no socket that listens on %s, want one", address)
}

// listenOnTaken returns ports of which that for callers is taken, and what has taken it.
func listenOnTaken(t *testing.T) (*node.Listeners, net.Listener) {
	t.Helper()
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = taken.Close() })
	const anyPort = "127.0.0.1:0"
	l, err := node.Listen(t.Context(), settings.Listen{Caller: taken.Addr().String(), Link: anyPort, Admin: anyPort}, logging.Silent())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l, taken
}

// Guards against a port that ends, and callers that are refused, because it couldn't be opened for a while.
func TestAcceptWaitsForThePort(t *testing.T) {
	l, taken := listenOnTaken(t)
	accepted := make(chan error, 1)
	go func() {
		conn, err := l.Caller.Accept()
		if err == nil {
			_ = conn.Close()
		}
		accepted <- err
	}()
	if l.Caller.IsOpen() {
		t.Error("got an open port, want it taken")
	}
	if err := taken.Close(); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(portTimeout); time.Now().Before(deadline); <-time.After(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp", taken.Addr().String()); err == nil {
			_ = conn.Close()
			break
		}
	}
	if err := <-accepted; err != nil {
		t.Errorf("got %v, want the connection", err)
	}
}

// Guards against a node that doesn't stop while a port can't be opened.
func TestCloseEndsTheWaitForAPort(t *testing.T) {
	l, _ := listenOnTaken(t)
	done := make(chan error, 1)
	go func() {
		_, err := l.Caller.Accept()
		done <- err
	}()
	if err := l.Caller.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-done; !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %v, want %v", err, net.ErrClosed)
	}
}
