package standin

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
)

// EraHeader carries, in all answers of a platform, how often it was rewound.
const EraHeader = "Store-Era"

// pageSize is the maximum number of items on one page of a list, maxPageValues the size in bytes of
// their values, unless one item alone is larger.
const (
	pageSize      = 50
	maxPageValues = 1 << 20
)

// view is the state from which one call is answered.
type view struct {
	mode     PlatformMode
	delay    clock.Millis
	contents *snapshot
	changed  <-chan struct{}
}

// currentView returns the mode, delay and values that apply to a call now. The caller must
// hold p.mu.
func (p *Platform) currentView() view {
	contents := &p.current
	if p.mode == Stale {
		contents = &p.frozen
	}
	return view{mode: p.mode, delay: p.delay, contents: contents, changed: p.changed.wait()}
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := pathOf(ctx)
	if strings.HasPrefix(path, adminPrefix) {
		p.serveAdmin(ctx, path)
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
	isAnswered := p.serveRead(ctx, path, gone)
	stop()
	if !isAnswered {
		conn.abort()
	}
}

// serveRead serves a list or a watch. It returns false if the connection is to be closed
// without an answer.
func (p *Platform) serveRead(ctx *fasthttp.RequestCtx, path string, gone <-chan struct{}) bool {
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

// respond answers with the values of the current view, after the delay of the mode. It
// returns false if the connection is to be closed without an answer.
func (p *Platform) respond(ctx *fasthttp.RequestCtx, gone <-chan struct{}, body func(v view) any) bool {
	p.mu.Lock()
	now := p.currentView()
	response := body(now)
	setEra(ctx, now.contents)
	p.mu.Unlock()
	if !p.applyMode(ctx, now, gone) {
		return false
	}
	if ctx.Response.StatusCode() == fasthttp.StatusOK {
		writeJSON(ctx, response)
	}
	return true
}

// applyMode delays the answer or sets its status as the mode demands. It returns false if
// the mode gives no answer, the reader is gone or the platform closes.
func (p *Platform) applyMode(ctx *fasthttp.RequestCtx, now view, gone <-chan struct{}) bool {
	delay := clock.Millis(0)
	switch now.mode {
	case Down:
		return false
	case Busy:
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
		return true
	case Silent:
		delay = clock.Hour
	case Slow:
		delay = now.delay
	case Up, Stale:
	}
	if delay == 0 {
		return true
	}
	timer := time.NewTimer(delay.Duration())
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

// setEra sets the header that carries the era of an answer.
func setEra(ctx *fasthttp.RequestCtx, s *snapshot) {
	ctx.Response.Header.Set(EraHeader, strconv.FormatUint(s.era, 10))
}

// page is the body of an answer to /kv-range.
type page struct {
	Items         []PlatformItem `json:"items"`
	HasMore       bool           `json:"hasMore"`
	StoreRevision uint64         `json:"storeRevision"`
}

// page returns the items whose keys have the prefix and sort after the given key, in the
// order of their keys.
func (s *snapshot) page(prefix, after string) page {
	out := page{Items: []PlatformItem{}, StoreRevision: s.revision}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	size := 0
	for i, key := range keys {
		size += len(s.items[key].Value)
		if i == pageSize || (i > 0 && size > maxPageValues) {
			out.HasMore = true
			break
		}
		out.Items = append(out.Items, s.items[key])
	}
	return out
}

// changes is the body of an answer to /kv-watch.
type changes struct {
	Events        []PlatformItem `json:"events"`
	StoreRevision uint64         `json:"storeRevision"`
}

// since returns the changes to keys with the prefix after a revision, and false if some of
// these changes were compacted away or the revision was lost in a Rewind.
func (s *snapshot) since(prefix string, after uint64) (changes, bool) {
	out := changes{Events: []PlatformItem{}, StoreRevision: s.revision}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			out.Events = append(out.Events, item)
		}
	}
	return out, after >= s.compacted && after <= s.revision
}

// watch answers once there are changes after a revision, or after waitMs. It returns false
// if the connection is to be closed without an answer.
func (p *Platform) watch(ctx *fasthttp.RequestCtx, gone <-chan struct{}, prefix, revision string) bool {
	after, err := strconv.ParseUint(revision, 10, 64)
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
		now := p.currentView()
		found, isKept := now.contents.since(prefix, after)
		setEra(ctx, now.contents)
		p.mu.Unlock()
		isWaiting := isKept && len(found.Events) == 0 && now.holdsWatch()
		if isWaiting {
			select {
			case <-now.changed:
				continue
			case <-timer.C:
			case <-gone:
				return false
			case <-p.stop:
				return false
			}
		}
		return p.applyMode(ctx, now, gone) && writeChanges(ctx, found, isKept)
	}
}

// holdsWatch reports whether the platform keeps a watch open in the current mode. In the
// other modes applyMode ends the watch.
func (v *view) holdsWatch() bool {
	return v.mode == Up || v.mode == Stale || v.mode == Slow
}

// writeChanges writes the answer to a watch: the changes, or 410 if they are no longer
// kept. A status that applyMode has set stays. It always returns true.
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
