package entry

import (
	"bytes"
	"strconv"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// write sends the final answer to the caller: the upstream's complete reply, or a refusal
// that the entry writes itself.
func (r *request) write(f *finalAnswer) {
	ctx := r.ctx
	ctx.Response.Reset()
	ctx.Response.Header.DisableNormalizing()
	ctx.SetStatusCode(f.status)
	if f.reply != nil {
		ctx.Response.Header.SetNoDefaultContentType(true)
		for name, value := range f.reply.Headers.All() {
			ctx.Response.Header.AddBytesKV(name, value)
		}
		ctx.Response.SetBodyRaw(f.reply.Body)
	} else {
		r.writeRefusal(f)
		if name := r.entry.config.Headers.Request; name != "" && r.callerRequestID != "" {
			ctx.Response.Header.Set(name, r.callerRequestID)
		}
	}
	ctx.Response.Header.Set(HeaderOutcome, string(f.outcome))
	ctx.Response.Header.Set(HeaderRequest, r.id.String())
	if f.reason != "" {
		ctx.Response.Header.Set(HeaderReason, f.reason)
	}
	ctx.Response.Header.Del(HeaderReplay) // only the entry may set this header
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

// formatRetryAfter returns the value of the Retry-After header, in seconds.
func (r *request) formatRetryAfter(span clock.Millis) string {
	if r.entry.config.Headers.FractionalSeconds {
		return strconv.FormatFloat(span.Seconds(), 'f', -1, 64)
	}
	return strconv.FormatInt(wholeSeconds(span), 10)
}

// wholeSeconds rounds up, because a caller that retries too early is refused again.
func wholeSeconds(span clock.Millis) int64 {
	return int64((span + clock.Second - 1) / clock.Second)
}

func refusalText(f *finalAnswer) string {
	if f.outcome == access.Unknown {
		return "The request may have run; its outcome is unknown (" + f.reason + "). It will not be run again."
	}
	return "The request was not run (" + f.reason + ")."
}

// forwardedHeaders returns the headers to send to the upstream, with the caller's IP
// address added. It leaves out hop-by-hop headers, the proxy's own headers and a client
// account's key.
func (r *request) forwardedHeaders() wire.Headers {
	headers := make(wire.Headers, 0, headersCapacity)
	for name, value := range r.ctx.Request.Header.All() {
		if isForwarded(name) && !r.isKeyHeader(name, value) && !wire.IsCookie(name) {
			headers = headers.Add(name, value)
		}
	}
	headers = addCookies(headers, r.ctx.Request.Header.RawHeaders())
	return headers.Add(forwardedFor, []byte(r.ctx.RemoteIP().String()))
}

// addCookies adds the Cookie fields among the raw header fields of a request. The HTTP library
// doesn't return them as they were sent, but parsed and written again.
func addCookies(headers wire.Headers, raw []byte) wire.Headers {
	for line := range bytes.Lines(raw) {
		if name, value, ok := bytes.Cut(line, colon); ok && wire.IsCookie(name) {
			headers = headers.Add(name, bytes.TrimSpace(value))
		}
	}
	return headers
}

// headersCapacity is the initial buffer size, in bytes, enough for the headers of a
// typical browser request.
const headersCapacity = 512

// ownPrefix is the prefix, in lower case, of the proxy's own headers.
var ownPrefix = []byte("fuchsiapick-")

func isForwarded(name []byte) bool {
	if len(name) >= len(ownPrefix) && bytes.EqualFold(name[:len(ownPrefix)], ownPrefix) {
		return false
	}
	return !wire.IsHopByHop(name) && !bytes.EqualFold(name, expectHeader)
}

var (
	colon        = []byte(":")
	expectHeader = []byte("Expect")
	forwardedFor = []byte(fasthttp.HeaderXForwardedFor)
)
