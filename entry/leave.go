package entry

import (
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/wire"
)

// CloseNotifier is a caller's connection that tells when the caller closes it while
// its request is under way.
type CloseNotifier interface {
	// Watch calls gone at most once, until stop is called.
	Watch(gone func()) (stop func())
}

// watchCaller makes the request know when its caller leaves: what nobody waits for
// any more must not take an upstream's time. It returns what ends the watch.
func (r *request) watchCaller() (stop func()) {
	conn, ok := r.ctx.Conn().(CloseNotifier)
	if !ok {
		return func() {}
	}
	left := make(chan struct{})
	r.callerGone = left
	return conn.Watch(func() { close(left) })
}

func (r *request) isCallerGone() bool {
	select {
	case <-r.callerGone:
		return true
	default:
		return false
	}
}

// hostOf is the host that a request names, without a port.
func hostOf(ctx *fasthttp.RequestCtx) string {
	return string(wire.WithoutPort(ctx.Request.Header.Host()))
}
