package entry

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// callerOf returns the caller's name: the configured service, else the caller header,
// else the IP address. The name ends up in logs and reports, so it is limited to
// printable characters and maxCallerLength bytes.
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

// admit finds the route and the service of the request, authenticates it and applies the
// rate limits. If the request is not admitted, admit returns the refusal and false.
func (r *request) admit() (finalAnswer, bool) {
	t := r.entry.table.Load()
	if t == nil {
		return refused(fasthttp.StatusServiceUnavailable, access.ReasonNoTable, clock.Second), false
	}
	target := table.ParseTarget(r.target)
	host, ok := hostOf(r.ctx, target.Authority)
	if !ok {
		return refused(fasthttp.StatusBadRequest, access.ReasonCallerFault, 0), false
	}
	route, ok := t.Route(host, target.Path)
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
	r.config, r.baseline = r.service.startRequest(r.handledAt)
	r.budget = r.timeout()
	r.deadline = r.entry.latestDeadline(r.started + r.budget)
	r.repeatable = route.MayRepeat(r.method)
	if grant := r.entry.allow(r.handledAt, &r.config, r.caller); !grant.OK {
		return refused(fasthttp.StatusTooManyRequests, limitReason(grant.By), grant.RetryAfter), false
	}
	return finalAnswer{}, true
}

// hostOf returns the host that a request names, without a port: that of its Host field, or without one that of a
// target in absolute form. It returns false if both name a host and the hosts differ, since some servers go by
// the one and some by the other.
func hostOf(ctx *fasthttp.RequestCtx, authority string) (string, bool) {
	named, field := wire.WithoutPort([]byte(authority)), wire.WithoutPort(ctx.Request.Header.Host())
	if len(field) == 0 {
		return string(named), true
	}
	return string(field), len(named) == 0 || bytes.EqualFold(named, field)
}

func limitReason(by string) string {
	if by == "caller" {
		return access.ReasonCallerLimit
	}
	return access.ReasonServiceLimit
}

// timeout returns how long the request may take: the route's timeout, or the service's
// deadline if the route has none, shortened to the deadline that the caller sent.
func (r *request) timeout() clock.Millis {
	routeTimeout := r.config.Deadline
	if r.route.Timeout > 0 {
		routeTimeout = r.route.Timeout
	}
	text, _ := headerValue(&r.ctx.Request.Header, r.entry.config.Headers.Deadline)
	if callerTimeout, ok := parseMillis(text); ok {
		return min(callerTimeout, routeTimeout)
	}
	return routeTimeout
}
