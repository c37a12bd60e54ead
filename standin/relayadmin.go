package standin

import (
	"context"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// RelayAdmin serves a relay's admin paths at a separate address, since connections to the
// relay's own address are forwarded to its target.
type RelayAdmin struct {
	ln    *listener
	relay *Relay
}

// StartRelayAdmin starts an HTTP server for the admin paths that serves until Close. It
// returns an error if it can't listen on the address.
func StartRelayAdmin(ctx context.Context, address string, relay *Relay) (*RelayAdmin, error) {
	ln, err := listen(ctx, address)
	if err != nil {
		return nil, errors.Annotate(err, "starting the relay's admin paths")
	}
	a := &RelayAdmin{ln: ln, relay: relay}
	go serve(ln, a.handle)
	return a, nil
}

// Address returns the IP number and port of the admin paths.
func (a *RelayAdmin) Address() string {
	return a.ln.Addr().String()
}

// Close stops serving the admin paths. The relay keeps running.
func (a *RelayAdmin) Close() {
	a.ln.closeAll()
}

func (a *RelayAdmin) handle(ctx *fasthttp.RequestCtx) {
	switch path := pathOf(ctx); {
	case path == statsPath && ctx.IsGet():
		writeJSON(ctx, a.relay.Stats())
	case path == modePath:
		runPost(ctx, a.setMode)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (a *RelayAdmin) setMode(ctx *fasthttp.RequestCtx) error {
	mode := RelayMode(ctx.QueryArgs().Peek("mode"))
	switch mode {
	case Pass, DropToTarget, DropFromTarget, Freeze, BlackholeOpen, Refuse, Late:
		a.relay.SetMode(mode)
		return nil
	default:
		return errors.Annotatef(ErrMode, "reading mode %q", string(mode))
	}
}
