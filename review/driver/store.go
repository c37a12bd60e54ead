package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a value or a change of the store, as PROTOCOL.md gives it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	IsGone   bool   `json:"isGone,omitempty"`
}

// store is the stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{} // closed and replaced at each change
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
}

func (s *store) put(key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	next := item{Key: key, Value: body, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		next.Created = old.Created
	}
	s.items[key] = next
	s.record(next)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, IsGone: true})
}

// record is called with the store's lock held.
func (s *store) record(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/kv-key":
		s.serveKey(w, query.Get("key"))
	case "/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case "/kv-watch":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		s.serveWatch(w, query.Get("prefix"), after, time.Duration(min(wait, 30_000))*time.Millisecond)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	found, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{
		"key": found.Key, "value": found.Value, "revision": found.Revision, "created": found.Created, "lease": 0, "storeRevision": revision,
	})
}

// pageSize is the most items of a page.
const pageSize = 500

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, found)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(items) > pageSize
	writeJSON(w, map[string]any{"items": items[:min(len(items), pageSize)], "hasMore": hasMore, "storeRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for i := range s.history {
			if s.history[i].Revision > after && strings.HasPrefix(s.history[i].Key, prefix) {
				events = append(events, s.history[i])
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": events, "storeRevision": revision})
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body) // the reader has left
}
