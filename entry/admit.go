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
	name, _ := field(&ctx.Request.Header, HeaderCaller)
	if len(name) == 0 {
		return ctx.RemoteIP().String()
	}
	if len(name) > longestCaller {
		name = name[:longestCaller]
	}
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r > '~' {
			return '_'
		}
		return r
	}, string(name))
}

// admit finds the service and checks the limits.
func (r *request) admit() (final, bool) {
	t := r.entry.table.Load()
	if t == nil {
		return refused(fasthttp.StatusServiceUnavailable, access.ReasonNoTable, clock.Second), false
	}
	route, ok := t.Route(hostOf(r.ctx), string(r.ctx.Path()))
	if !ok {
		return refused(fasthttp.StatusNotFound, access.ReasonNoRoute, 0), false
	}
	r.table, r.route = t, route
	if !r.identify() {
		return refused(fasthttp.StatusUnauthorized, access.ReasonNoAccount, 0), false
	}
	r.target = r.entry.spread.Service(route)
	r.service = (*r.entry.services.Load())[r.target]
	if r.service == nil {
		return refused(fasthttp.StatusServiceUnavailable, access.ReasonNoTable, clock.Second), false
	}
	r.config, r.baseline = r.service.admit(r.started)
	r.deadline = r.started + r.budget()
	r.repeatable = route.MayRepeat(r.method)
	if grant := r.entry.allow(r.started, &r.config, r.caller); !grant.OK {
		return refused(fasthttp.StatusTooManyRequests, limitReason(grant.By), grant.RetryAfter), false
	}
	return final{}, true
}

func limitReason(by string) string {
	if by == "caller" {
		return access.ReasonCallerLimit
	}
	return access.ReasonServiceLimit
}

// budget is the shortest of the route's timeout, or the service's deadline
// without one, and what the caller will wait.
func (r *request) budget() clock.Millis {
	budget := r.config.Deadline
	if r.route.Timeout > 0 {
		budget = r.route.Timeout
	}
	text, _ := field(&r.ctx.Request.Header, r.entry.config.Headers.Deadline)
	if own, ok := milliseconds(text); ok {
		return min(own, budget)
	}
	return budget
}
