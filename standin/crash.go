package standin

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
)

// defaultDowntime is the default time from a crash to the restart.
const defaultDowntime = 50 * clock.Millis(1)

// Crash simulates a crash of the backend server's process: it closes the listener and all
// connections, and then returns.
func (b *Backend) Crash() {
	b.mu.Lock()
	ln := b.ln
	isDown := b.isDown
	b.isDown = true
	b.crashes++
	b.mu.Unlock()
	if !isDown {
		ln.closeAll()
	}
}

// Restart listens on the same address again after a crash. It does nothing if the backend
// server is up or closed, and returns an error if it can't listen.
func (b *Backend) Restart(ctx context.Context) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isDown || b.isClosed() {
		return nil
	}
	ln, err := listen(ctx, b.address)
	if err != nil {
		return errors.Annotatef(err, "restarting backend server %s", b.config.Name)
	}
	b.ln, b.isDown = ln, false
	go serve(ln, b.handle)
	return nil
}

// Crashes returns the number of crashes so far.
func (b *Backend) Crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes
}

// IsDown reports whether the backend server has crashed and not been restarted.
func (b *Backend) IsDown() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isDown
}

func (b *Backend) isClosed() bool {
	select {
	case <-b.stop:
		return true
	default:
		return false
	}
}

// crashes reports whether the fault crashes the backend server at the request.
func (f Fault) crashes(ctx *fasthttp.RequestCtx) bool {
	return f.Kind == Crashes && strings.HasPrefix(pathOf(ctx), f.Path)
}

// CrashFor crashes the backend server and restarts it after the given time; 0 means 50 ms.
func (b *Backend) CrashFor(downtime clock.Millis) {
	b.Crash()
	if downtime == 0 {
		downtime = defaultDowntime
	}
	time.AfterFunc(downtime.Duration(), func() {
		// If another process has taken the address meanwhile, the backend server stays down.
		_ = b.Restart(context.Background())
	})
}
