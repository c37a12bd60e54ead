// Package port keeps a node's ports open while descriptors are short, and bounds the connections that
// others may open to each port.
package port

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/logging"
)

const (
	// minBackoff and maxBackoff bound the time until the next attempt to accept a connection after
	// one that failed. It doubles with each failure.
	minBackoff = 5 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// exhausted are the errors of a system without a free descriptor or memory. They pass.
var exhausted = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// Listener is a listener whose Accept waits while the process has no descriptor for a connection. An
// HTTP server ends at such an error.
type Listener struct {
	net.Listener

	log       logrus.FieldLogger
	closed    chan struct{}
	closeOnce sync.Once
}

// NewListener returns a listener that logs when it waits.
func NewListener(inner net.Listener, log logrus.FieldLogger) *Listener {
	return &Listener{Listener: inner, log: log, closed: make(chan struct{})}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		conn, err := l.Listener.Accept()
		if err == nil || !isExhausted(err) {
			return conn, err //nolint:wrapcheck // callers compare it
		}
		logging.Repeatable(l.log.WithError(err)).Warn("connection not accepted; no descriptor is left")
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(backoff):
		}
	}
}

// Close closes the port.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return errors.Trace(l.Listener.Close())
}

func isExhausted(err error) bool {
	for _, e := range exhausted {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Shares are how many connections others may have open to each port of a node.
type Shares struct {
	// Callers is for requests, Handshakes for links that aren't open yet, Admin for each of the
	// admin and metrics ports.
	Callers, Handshakes, Admin int
}

const (
	// callerShare, handshakeShare and adminShare are the inverse parts of the descriptors that each
	// port may take. A quarter remains for files, backend servers, links and the platform.
	callerShare    = 2
	handshakeShare = 8
	adminShare     = 16
	// maxAdmin is far more than scrapers and health checks need.
	maxAdmin = 64
)

// NewShares divides the descriptors of a process, 0 if they aren't known. No port gets more than
// maxCallers.
func NewShares(descriptors, maxCallers int) Shares {
	if descriptors <= 0 {
		return Shares{Callers: maxCallers, Handshakes: maxCallers, Admin: maxAdmin}
	}
	return Shares{
		Callers:    max(min(descriptors/callerShare, maxCallers), 1),
		Handshakes: max(min(descriptors/handshakeShare, maxCallers), 1),
		Admin:      max(min(descriptors/adminShare, maxAdmin), 1),
	}
}

// Descriptors returns how many descriptors this process may have open, 0 if that isn't known.
func Descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	const most = 1 << 30
	return int(min(limit.Cur, most))
}
