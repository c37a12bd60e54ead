package entry

import (
	"strings"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// callerOf names the caller. The name ends up in logs and reports, so it is
// held to printable characters and a bounded length.
func (e *Entry) callerOf(ctx *fasthttp.RequestCtx) string {
	if e.config.Service != "" {
		return e.config.Service
	}
	name, _ := headerValue(&ctx.Request.Header, HeaderCaller)
	if len(name) == 0 {
		return ctx.RemoteIP().String()
	}
	if len(name) > maxCallerLength {
		name = name[:maxCallerLength]
	}
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r > '~' {
			return '_'
		}
		return r
	}, string(name))
}

// admit finds the service and checks the limits.
func (r *request) admit() (finalAnswer, bool) {
	t := r.entry.table.Load()
	if t == nil {
		return refused(fasthttp.StatusServiceUnavailable, access.ReasonNoTable, clock.Second), false
	}
	route, ok := t.Route(hostOf(r.ctx), string(r.ctx.Path()))
	if !ok {
		return refused(fasthttp.StatusNotFound, access.ReasonNoRoute, 0), false
	}
	r.table, r.route = t, route
	if !r.authenticate() {
		return refused(fasthttp.StatusUnauthorized, access.ReasonNoAccount, 0), false
	}
	r.serviceName = r.entry.splitter.PickService(route)
	r.service = (*r.entry.services.Load())[r.serviceName]
	if r.service == nil {
		return refused(fasthttp.StatusServiceUnavailable, access.ReasonNoTable, clock.Second), false
	}
	r.config, r.baseline = r.service.startRequest(r.started)
	r.deadline = r.started + r.timeout()
	r.repeatable = route.MayRepeat(r.method)
	if grant := r.entry.allow(r.started, &r.config, r.caller); !grant.OK {
		return refused(fasthttp.StatusTooManyRequests, limitReason(grant.By), grant.RetryAfter), false
	}
	return finalAnswer{}, true
}

func limitReason(by string) string {
	if by == "caller" {
		return access.ReasonCallerLimit
	}
	return access.ReasonServiceLimit
}

// timeout is the shortest of the route's timeout, or the service's deadline
// without one, and what the caller will wait.
func (r *request) timeout() clock.Millis {
	budget := r.config.Deadline
	if r.route.Timeout > 0 {
		budget = r.route.Timeout
	}
	text, _ := headerValue(&r.ctx.Request.Header, r.entry.config.Headers.Deadline)
	if own, ok := parseMillis(text); ok {
		return min(own, budget)
	}
	return budget
}
