package node

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// minPortRetry and maxPortRetry bound the pauses between two tries to open a port, or to
	// accept a connection. A try costs some microseconds.
	minPortRetry = 10 * clock.Millis(1)
	maxPortRetry = 500 * clock.Millis(1)
	// portLogInterval is the interval of the log lines of a port that stays closed.
	portLogInterval = clock.Minute
)

// Port is a listener on one address. While another process has the address, or the machine doesn't
// have it yet, Accept tries to open it until Close is called. Accept doesn't return for lack of
// descriptors, and opens a listener that has failed again. It is safe for concurrent use.
type Port struct {
	name string
	log  logrus.FieldLogger
	done chan struct{}

	mu sync.Mutex
	// address is the one to open. With port 0 it becomes the one that was opened first.
	address  string
	listener net.Listener // nil while the port isn't open
	isClosed bool
	// failedSince is when the port stopped to accept connections, zero if it does accept them.
	// loggedAt is when that was logged last; isLogged is set if it was since failedSince.
	failedSince, loggedAt time.Time
	isLogged              bool
}

// openPort returns a port after one try to open it, and the error of the try.
func openPort(ctx context.Context, name, address string, log logrus.FieldLogger) (*Port, error) {
	p := &Port{
		name:    name,
		address: address,
		log:     log.WithFields(logrus.Fields{"port": name, "address": address}),
		done:    make(chan struct{}),
	}
	_, err := p.open(ctx)
	return p, err
}

// open returns the listener and opens it if there is none.
func (p *Port) open(ctx context.Context) (net.Listener, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return nil, net.ErrClosed
	}
	if p.listener != nil {
		return p.listener, nil
	}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Annotatef(err, "listening on the %s address %s", p.name, p.address)
	}
	p.listener = l
	if address, err := netip.ParseAddrPort(p.address); err == nil && address.Port() == 0 {
		p.address = l.Addr().String()
	}
	return l, nil
}

// Accept waits for the next connection. It returns net.ErrClosed once the port is closed, and no
// other error.
func (p *Port) Accept() (net.Conn, error) {
	var failed net.Listener // the one that failed last
	for retry := minPortRetry; ; retry = min(2*retry, maxPortRetry) {
		l, err := p.open(context.Background())
		if err == nil {
			if l != failed {
				p.recordOpen()
			}
			var conn net.Conn
			if conn, err = l.Accept(); err == nil {
				p.recordOpen()
				return conn, nil
			}
			failed = l
			if !mayPass(err) {
				p.discard(l)
			}
		}
		if !p.recordFailure(err) {
			return nil, net.ErrClosed
		}
		timer := time.NewTimer(retry.Duration())
		select {
		case <-p.done:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// mayPass reports whether what a listener, or a try to open one, failed for can pass by itself.
func mayPass(err error) bool {
	for _, passing := range []syscall.Errno{
		syscall.EADDRINUSE, syscall.EADDRNOTAVAIL,
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.ECONNABORTED, syscall.EINTR, syscall.EAGAIN,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// discard closes a listener that has failed for good, so that open opens another one.
func (p *Port) discard(l net.Listener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = l.Close() // it has failed already
	if p.listener == l {
		p.listener = nil
	}
}

// recordFailure logs that the port doesn't accept connections, once for each portLogInterval. It
// returns false if the port is closed.
func (p *Port) recordFailure(err error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return false
	}
	now := time.Now()
	if p.failedSince.IsZero() {
		p.failedSince = now
	}
	if p.loggedAt.IsZero() || now.Sub(p.loggedAt) >= portLogInterval.Duration() {
		p.loggedAt, p.isLogged = now, true
		p.log.WithError(err).WithField("since", now.Sub(p.failedSince).String()).Error("port not open; it is tried again until it is")
	}
	return true
}

// recordOpen logs that the port is open after a failure that was logged.
func (p *Port) recordOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failedSince.IsZero() {
		return
	}
	if p.isLogged {
		p.log.WithField("after", time.Since(p.failedSince).String()).Info("port open")
	}
	p.failedSince, p.isLogged = time.Time{}, false
}

// IsOpen reports whether callers can connect to the port.
func (p *Port) IsOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener != nil && !p.isClosed
}

// Addr returns the address of the port, also while it isn't open.
func (p *Port) Addr() net.Addr {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return p.listener.Addr()
	}
	address, _ := netip.ParseAddrPort(p.address) // the settings were checked
	return net.TCPAddrFromAddrPort(address)
}

// Close closes the port for good. Further calls have no effect.
func (p *Port) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		return nil
	}
	p.isClosed = true
	close(p.done)
	if p.listener == nil {
		return nil
	}
	return errors.Trace(p.listener.Close())
}
