package standin

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
)

// defaultDowntime is how long a process is gone after a crash unless told otherwise.
const defaultDowntime = 50 * clock.Millis(1)

// Crash ends the backend server as the end of its process would: nothing listens at its
// address, and all connections break off. It returns when that is so.
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

// Restart listens again on the address, unless the backend server is up or closed.
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

// Crashes returns how often the backend server has crashed.
func (b *Backend) Crashes() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashes
}

// IsDown reports whether nothing listens at the address.
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

// crashes reports whether the fault ends the process at the request.
func (f Fault) crashes(ctx *fasthttp.RequestCtx) bool {
	return f.Kind == Crashes && strings.HasPrefix(string(ctx.Path()), f.Path)
}

// CrashFor crashes the process and starts another one after a time, 50 ms for 0.
func (b *Backend) CrashFor(down clock.Millis) {
	b.Crash()
	if down == 0 {
		down = defaultDowntime
	}
	time.AfterFunc(down.Duration(), func() {
		// An address that another process has taken meanwhile leaves the stand-in down.
		_ = b.Restart(context.Background())
	})
}
