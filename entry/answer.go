package entry

import (
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// write gives the caller the final answer: the upstream's whole, or our own.
func (r *request) write(f *finalAnswer) {
	ctx := r.ctx
	ctx.Response.Reset()
	ctx.Response.Header.DisableNormalizing()
	ctx.SetStatusCode(f.status)
	if f.reply != nil {
		for name, value := range f.reply.Headers.All() {
			ctx.Response.Header.AddBytesKV(name, value)
		}
		ctx.Response.SetBodyRaw(f.reply.Body)
	} else {
		r.writeRefusal(f)
		if name := r.entry.config.Headers.Request; name != "" && r.label != "" {
			ctx.Response.Header.Set(name, r.label)
		}
	}
	ctx.Response.Header.Set(HeaderOutcome, string(f.outcome))
	ctx.Response.Header.Set(HeaderRequest, r.id.String())
	if f.reason != "" {
		ctx.Response.Header.Set(HeaderReason, f.reason)
	}
	ctx.Response.Header.Del(HeaderReplay) // no upstream's to say
	if f.replay {
		ctx.Response.Header.Set(HeaderReplay, "true")
	}
}

func (r *request) writeRefusal(f *finalAnswer) {
	ctx := r.ctx
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(refusalText(f) + "\n")
	if f.status == fasthttp.StatusUnauthorized {
		ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, r.entry.config.Headers.KeyScheme)
	}
	if f.retryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, r.formatRetryAfter(f.retryAfter))
		ctx.Response.Header.Set(HeaderRetryAfter, strconv.FormatInt(int64(f.retryAfter), 10))
	}
}

// formatRetryAfter writes when to come back as callers read it.
func (r *request) formatRetryAfter(span clock.Millis) string {
	if r.entry.config.Headers.FractionalSeconds {
		return strconv.FormatFloat(span.Seconds(), 'f', -1, 64)
	}
	return strconv.FormatInt(wholeSeconds(span), 10)
}

// wholeSeconds rounds up: coming back early would be refused again.
func wholeSeconds(span clock.Millis) int64 {
	return int64((span + clock.Second - 1) / clock.Second)
}

func refusalText(f *finalAnswer) string {
	if f.outcome == access.Unknown {
		return "The request may have run; its outcome is unknown (" + f.reason + "). It will not be run again."
	}
	return "The request was not run (" + f.reason + ")."
}

// forwardedHeaders copies the headers that go on to the upstream, with the address
// that the request came from. Those of the one connection, our own and the key of a
// client account stay behind.
func (r *request) forwardedHeaders() wire.Headers {
	headers := make(wire.Headers, 0, headersCapacity)
	for name, value := range r.ctx.Request.Header.All() {
		if isForwarded(name) && !r.isKeyHeader(name, value) {
			headers = headers.Add(name, value)
		}
	}
	return headers.Add(forwardedFor, []byte(r.ctx.RemoteIP().String()))
}

// headersCapacity is the room for the headers of a browser's request.
const headersCapacity = 512

// ownPrefix begins the names of our own headers.
var ownPrefix = []byte("fuchsiapick-")

func isForwarded(name []byte) bool {
	if len(name) >= len(ownPrefix) && bytes.EqualFold(name[:len(ownPrefix)], ownPrefix) {
		return false
	}
	return !wire.IsHopByHop(name) && !bytes.EqualFold(name, expectHeader)
}

var (
	expectHeader = []byte("Expect")
	forwardedFor = []byte(fasthttp.HeaderXForwardedFor)
)
