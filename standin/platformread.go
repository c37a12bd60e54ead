package standin

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
)

// view is what a reader is shown at one moment.
type view struct {
	mode    PlatformMode
	delay   clock.Millis
	value   published
	found   bool
	changed <-chan struct{}
}

func (p *Platform) look(key string) view {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.mode == Stale {
		values = p.frozen
	}
	value, found := values[key]
	return view{mode: p.mode, delay: p.delay, value: value, found: found, changed: p.changed.wait()}
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case strings.HasPrefix(path, adminPrefix):
		p.admin(ctx, path)
	case strings.HasPrefix(path, valuePrefix):
		p.read(ctx, strings.TrimPrefix(path, valuePrefix))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Platform) read(ctx *fasthttp.RequestCtx, key string) {
	if !ctx.IsGet() {
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	wait, after, err := watchArguments(ctx.QueryArgs())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.count()
	conn, ok := connOf(ctx)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	gone, release := conn.watch()
	seen, answered := p.await(key, after, wait, gone)
	release()
	if !answered {
		conn.abort()
		return
	}
	writeValue(ctx, seen, wait > 0 && seen.value.version <= after)
}

// watchArguments reads ?after=N&wait=30s. A read without wait is answered at
// once.
func watchArguments(args *fasthttp.Args) (wait clock.Millis, after uint64, err error) {
	if text := args.Peek("wait"); len(text) > 0 {
		if err := wait.UnmarshalText(text); err != nil {
			return 0, 0, errors.Annotate(err, "reading wait")
		}
	}
	if text := args.Peek("after"); len(text) > 0 {
		after, err = strconv.ParseUint(string(text), 10, 64)
		if err != nil {
			return 0, 0, errors.Annotate(err, "reading after")
		}
	}
	return wait, after, nil
}

// await returns what a read or watch is to be answered with, or false if it
// isn't to be answered at all.
func (p *Platform) await(key string, after uint64, wait clock.Millis, gone <-chan struct{}) (view, bool) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		seen := p.look(key)
		if seen.mode == Down {
			return seen, false
		}
		if wait <= 0 || seen.found && seen.value.version > after {
			return seen, p.dawdle(seen, gone)
		}
		select {
		case <-seen.changed:
		case <-timer.C:
			return seen, p.dawdle(seen, gone)
		case <-gone:
			return seen, false
		case <-p.stop:
			return seen, false
		}
	}
}

// dawdle holds an answer back in the mode Slow.
func (p *Platform) dawdle(seen view, gone <-chan struct{}) bool {
	if seen.mode != Slow {
		return true
	}
	timer := time.NewTimer(seen.delay.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-gone:
		return false
	case <-p.stop:
		return false
	}
}

func writeValue(ctx *fasthttp.RequestCtx, seen view, unchanged bool) {
	if seen.found {
		ctx.Response.Header.Set("Version", strconv.FormatUint(seen.value.version, 10))
	}
	switch {
	case unchanged:
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	case !seen.found:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	default:
		ctx.SetBody(seen.value.body)
	}
}
