package standin

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
)

// pageSize is how many items one page of a list holds.
const pageSize = 50

// view is what a reader is shown at one moment.
type view struct {
	mode     PlatformMode
	delay    clock.Millis
	contents *snapshot
	changed  <-chan struct{}
}

// currentView returns what a reader is shown, for use under the lock.
func (p *Platform) currentView() view {
	held := &p.current
	if p.mode == Stale {
		held = &p.frozen
	}
	return view{mode: p.mode, delay: p.delay, contents: held, changed: p.changed.wait()}
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, adminPrefix) {
		p.admin(ctx, path)
		return
	}
	if !ctx.IsGet() {
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	p.countCall()
	conn, ok := connOf(ctx)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	gone, stop := conn.watch()
	isAnswered := p.answer(ctx, path, gone)
	stop()
	if !isAnswered {
		conn.abort()
	}
}

// answer answers a call, and returns false for one that gets no answer.
func (p *Platform) answer(ctx *fasthttp.RequestCtx, path string, gone <-chan struct{}) bool {
	args := ctx.QueryArgs()
	prefix, after := string(args.Peek("prefix")), string(args.Peek("after"))
	switch path {
	case "/kv-range":
		return p.respond(ctx, gone, func(v view) any { return v.contents.page(prefix, after) })
	case "/kv-watch":
		return p.watch(ctx, gone, prefix, after)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return true
	}
}

// respond answers at once with what is held.
func (p *Platform) respond(ctx *fasthttp.RequestCtx, gone <-chan struct{}, body func(v view) any) bool {
	p.mu.Lock()
	seen := p.currentView()
	text := body(seen)
	p.mu.Unlock()
	if !p.applyMode(ctx, seen, gone) {
		return false
	}
	if ctx.Response.StatusCode() == fasthttp.StatusOK {
		writeJSON(ctx, text)
	}
	return true
}

// applyMode does what the mode does to an answer, and returns false where there is none.
func (p *Platform) applyMode(ctx *fasthttp.RequestCtx, seen view, gone <-chan struct{}) bool {
	span := clock.Millis(0)
	switch seen.mode {
	case Down:
		return false
	case Busy:
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return true
	case Silent:
		span = clock.Hour
	case Slow:
		span = seen.delay
	case Up, Stale:
	}
	if span == 0 {
		return true
	}
	timer := time.NewTimer(span.Duration())
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

// page is one page of a list.
type page struct {
	Items         []PlatformItem `json:"items"`
	HasMore       bool           `json:"hasMore"`
	StoreRevision uint64         `json:"storeRevision"`
}

func (c *snapshot) page(prefix, after string) page {
	out := page{Items: []PlatformItem{}, StoreRevision: c.revision}
	var found []string
	for key := range c.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, key)
		}
	}
	slices.Sort(found)
	for i, key := range found {
		if i == pageSize {
			out.HasMore = true
			break
		}
		out.Items = append(out.Items, c.items[key])
	}
	return out
}

// changes are what a watch tells.
type changes struct {
	Events        []PlatformItem `json:"events"`
	StoreRevision uint64         `json:"storeRevision"`
}

// since returns the changes after a revision, and false if they are dropped.
func (c *snapshot) since(prefix string, after uint64) (changes, bool) {
	out := changes{Events: []PlatformItem{}, StoreRevision: c.revision}
	for _, item := range c.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			out.Events = append(out.Events, item)
		}
	}
	return out, after >= c.compacted
}

// watch answers when there are changes, or when the wait is over.
func (p *Platform) watch(ctx *fasthttp.RequestCtx, gone <-chan struct{}, prefix, from string) bool {
	after, err := strconv.ParseUint(from, 10, 64)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return true
	}
	wait, err := strconv.Atoi(string(ctx.QueryArgs().Peek("waitMs")))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return true
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		p.mu.Lock()
		seen := p.currentView()
		found, isKept := seen.contents.since(prefix, after)
		p.mu.Unlock()
		isWaiting := isKept && len(found.Events) == 0 && seen.holdsWatch()
		if isWaiting {
			select {
			case <-seen.changed:
				continue
			case <-timer.C:
			case <-gone:
				return false
			case <-p.stop:
				return false
			}
		}
		return p.applyMode(ctx, seen, gone) && writeChanges(ctx, found, isKept)
	}
}

// holdsWatch reports whether a watch without changes waits for some in the mode.
func (v *view) holdsWatch() bool {
	return v.mode == Up || v.mode == Stale || v.mode == Slow
}

// writeChanges answers a watch. It returns true.
func writeChanges(ctx *fasthttp.RequestCtx, found changes, isKept bool) bool {
	switch {
	case ctx.Response.StatusCode() != fasthttp.StatusOK:
	case !isKept:
		ctx.SetStatusCode(fasthttp.StatusGone)
	default:
		writeJSON(ctx, found)
	}
	return true
}
