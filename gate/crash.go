package gate

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/account"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// goneTimeout bounds the connection that tells whether a backend server is still there.
// The kernel beside it refuses one within microseconds.
const goneTimeout = 100 * clock.Millis(1)

// IsGone reports whether nothing listens at the backend server's address.
func (h *HTTP) IsGone() bool {
	dialer := net.Dialer{Timeout: goneTimeout.Duration()}
	conn, err := dialer.DialContext(context.Background(), "tcp", h.config.Address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// noteCrash takes in that the backend server's process ended under a run. All runs of
// one process end with it: the first one is noted. The gate's lock is held.
func (g *Gate) noteCrash(now clock.Millis, j *job) {
	if g.hasCrashed || j.life != g.life {
		return
	}
	g.hasCrashed = true
	runs := 1 // its own is out of the jobs already
	for _, other := range g.jobs {
		if other.running && other.life == j.life {
			runs++
		}
	}
	g.note(account.Event{At: now, Kind: account.Crashed, Reason: string(wire.ReasonCrashed)})
	g.log.WithField("runs", runs).Warn("backend server crashed under its runs")
}
