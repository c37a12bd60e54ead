package standin

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// Modes of a store, beside Up and Down.
const (
	// Busy answers 429.
	Busy PlatformMode = "busy"
	// Silent takes requests and never answers.
	Silent PlatformMode = "silent"
)

// storePage is how many items one page of a list holds.
const storePage = 50

// StoreItem is one value of a store, or its removal among changes.
type StoreItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	IsGone   bool   `json:"isGone,omitempty"`
}

// Store stands in for the users' metadata store: items under keys, one counter
// of revisions, lists in pages and watches. It is safe for concurrent use.
type Store struct {
	ln   *listener
	once sync.Once
	stop chan struct{}

	mu       sync.Mutex
	mode     PlatformMode
	revision uint64
	oldest   uint64 // changes up to it are dropped
	items    map[string]StoreItem
	history  []StoreItem
	changed  broadcast
	calls    uint64
}

// StartStore listens and serves until Close.
func StartStore(ctx context.Context, address string) (*Store, error) {
	ln, err := listen(ctx, address)
	if err != nil {
		return nil, errors.Annotate(err, "starting the store")
	}
	s := &Store{ln: ln, stop: make(chan struct{}), mode: Up, revision: 1, items: map[string]StoreItem{}}
	go serve(ln, s.handle)
	return s, nil
}

// Address returns the IP number and port that the store listens on.
func (s *Store) Address() string {
	return s.ln.Addr().String()
}

// Close ends the store and all its connections.
func (s *Store) Close() {
	s.once.Do(func() {
		close(s.stop)
		s.ln.shut()
	})
}

// Put writes a value.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item := StoreItem{Key: key, Value: slices.Clone(value), Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.history = append(s.history, item)
	s.changed.notify()
}

// Delete removes a value.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, StoreItem{Key: key, Revision: s.revision, IsGone: true})
	s.changed.notify()
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.history = s.revision, nil
	s.changed.notify()
}

// SetMode changes how calls are answered, those that wait included.
func (s *Store) SetMode(mode PlatformMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.changed.notify()
}

// Calls returns how many calls were made.
func (s *Store) Calls() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	s.calls++
	mode := s.mode
	s.mu.Unlock()
	conn, ok := connOf(ctx)
	if !ok {
		return
	}
	gone, stop := conn.watch()
	defer stop()
	switch mode {
	case Down:
		conn.abort()
	case Busy:
		ctx.SetStatusCode(fasthttp.StatusTooManyRequests)
	case Silent:
		select {
		case <-gone:
		case <-s.stop:
		}
	default:
		s.answer(ctx, gone)
	}
}

func (s *Store) answer(ctx *fasthttp.RequestCtx, gone <-chan struct{}) {
	prefix := string(ctx.QueryArgs().Peek("prefix"))
	after := string(ctx.QueryArgs().Peek("after"))
	switch string(ctx.Path()) {
	case "/kv-range":
		s.list(ctx, prefix, after)
	case "/kv-watch":
		revision, _ := strconv.ParseUint(after, 10, 64)
		wait, _ := strconv.Atoi(string(ctx.QueryArgs().Peek("waitMs")))
		s.watch(ctx, gone, prefix, revision, time.Duration(wait)*time.Millisecond)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Store) list(ctx *fasthttp.RequestCtx, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := struct {
		Items         []StoreItem `json:"items"`
		HasMore       bool        `json:"hasMore"`
		StoreRevision uint64      `json:"storeRevision"`
	}{Items: []StoreItem{}, StoreRevision: s.revision}
	var found []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, key)
		}
	}
	slices.Sort(found)
	for i, key := range found {
		if i == storePage {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, s.items[key])
	}
	write(ctx, page)
}

func (s *Store) watch(ctx *fasthttp.RequestCtx, gone <-chan struct{}, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, revision, isKept, changed := s.since(prefix, after)
		switch {
		case !isKept:
			ctx.SetStatusCode(fasthttp.StatusGone)
			return
		case len(events) > 0:
			writeEvents(ctx, events, revision)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeEvents(ctx, events, revision)
			return
		case <-gone:
			return
		case <-s.stop:
			return
		}
	}
}

// since returns the changes after a revision, and false if they are dropped.
func (s *Store) since(prefix string, after uint64) ([]StoreItem, uint64, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []StoreItem{}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, after >= s.oldest, s.changed.wait()
}

func writeEvents(ctx *fasthttp.RequestCtx, events []StoreItem, revision uint64) {
	write(ctx, struct {
		Events        []StoreItem `json:"events"`
		StoreRevision uint64      `json:"storeRevision"`
	}{events, revision})
}

func write(ctx *fasthttp.RequestCtx, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}
