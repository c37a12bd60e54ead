package port_test

import (
	"net"
	"syscall"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/port"
)

// scarceListener has no descriptor for the first connections.
type scarceListener struct {
	net.Listener

	failures []error
	failed   chan struct{}
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		return l.Listener.Accept()
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	if l.failed != nil {
		close(l.failed)
		l.failed = nil
	}
	return nil, &net.OpError{Op: "accept", Err: err}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = inner.Close() })
	return inner
}

// Guards against a port that ends, and callers that are refused for seconds, because the process had no
// descriptor for one connection.
func TestAcceptWaitsForADescriptor(t *testing.T) {
	inner := listen(t)
	l := port.NewListener(&scarceListener{Listener: inner, failures: []error{syscall.EMFILE, syscall.ENFILE, syscall.EMFILE}}, logging.Silent())
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	conn, err := l.Accept()
	if err != nil {
		t.Fatalf("got %v, want the connection", err)
	}
	_ = conn.Close()
}

// Guards against a node that doesn't stop while it has no descriptor.
func TestCloseEndsTheWaitForADescriptor(t *testing.T) {
	failures := make([]error, 1000)
	for i := range failures {
		failures[i] = syscall.EMFILE
	}
	failed := make(chan struct{})
	l := port.NewListener(&scarceListener{Listener: listen(t), failures: failures, failed: failed}, logging.Silent())
	done := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		done <- err
	}()
	<-failed
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-done; !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %v, want %v", err, net.ErrClosed)
	}
}

// Guards against connections from outside that take all descriptors, so that the node reaches neither its
// backend servers nor other nodes.
func TestSharesLeaveDescriptorsForTheNode(t *testing.T) {
	if got := port.NewShares(0, 2048); got.Callers != 2048 || got.Handshakes < 1 || got.Admin < 1 {
		t.Errorf("descriptors not known: got %+v, want 2048 callers", got)
	}
	for _, descriptors := range []int{64, 256, 1024, 4100, 1 << 20} {
		s := port.NewShares(descriptors, 2048)
		if got, want := s.Callers+s.Handshakes+2*s.Admin, descriptors*3/4; got > want || s.Callers > 2048 || s.Admin < 1 {
			t.Errorf("%d descriptors: got %+v, want %d in all at most", descriptors, s, want)
		}
	}
}
