package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a value of the platform's store, as PROTOCOL.md describes it.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	IsGone   bool   `json:"isGone,omitempty"`
}

// store is a stand-in for the platform's store. It is never disturbed.
type store struct {
	address string
	record  *record

	mu       sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	revision uint64
}

// startStore starts a store on a free port of an address.
func startStore(ip string, r *record) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), record: r, items: map[string]storeItem{}, revision: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	item := storeItem{Key: key, Value: encoded, Revision: s.revision, Created: created}
	s.items[key] = item
	s.history = append(s.history, item)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.FormValue("key")]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "{}", http.StatusNotFound)
		return
	}
	writeJSON(w, item)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	page := struct {
		Items         []storeItem `json:"items"`
		HasMore       bool        `json:"hasMore"`
		StoreRevision uint64      `json:"storeRevision"`
	}{Items: []storeItem{}, StoreRevision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			page.Items = append(page.Items, item)
		}
	}
	s.mu.Unlock()
	sort.Slice(page.Items, func(i, j int) bool { return page.Items[i].Key < page.Items[j].Key })
	writeJSON(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		answer := struct {
			Events        []storeItem `json:"events"`
			StoreRevision uint64      `json:"storeRevision"`
		}{Events: []storeItem{}}
		s.mu.Lock()
		answer.StoreRevision = s.revision
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, r.FormValue("prefix")) {
				answer.Events = append(answer.Events, event)
			}
		}
		s.mu.Unlock()
		if len(answer.Events) > 0 || !time.Now().Before(deadline) {
			writeJSON(w, answer)
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// configuration is what the sysadmin writes to op/config.
type configuration struct {
	Version  string                   `json:"version"`
	Routes   map[string]route         `json:"routes"`
	Services map[string]configService `json:"services"`
	Limits   map[string]any           `json:"limits"`
	Tenants  map[string]tenant        `json:"tenants,omitempty"`
}

type route struct {
	Host          string `json:"host"`
	Prefix        string `json:"prefix"`
	Kind          string `json:"kind"`
	Timeout       string `json:"timeout"`
	TargetLatency string `json:"targetLatency"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"maxAttempts"`
	Public        bool   `json:"public"`
}

type configService struct {
	HealthPath     string `json:"healthPath"`
	MaxConnections int    `json:"maxConnections"`
}

type tenant struct {
	APIKeys  []string `json:"apiKeys"`
	RatePerS float64  `json:"ratePerS"`
	Burst    float64  `json:"burst"`
}

// usualLimits are the limits of the examples on the pages.
func usualLimits() map[string]any {
	return map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}
}

// registration is what an upstream writes about itself.
type registration struct {
	Service       string `json:"service"`
	Address       string `json:"address"`
	Zone          string `json:"zone"`
	Version       string `json:"version"`
	Slots         int    `json:"slots"`
	State         string `json:"state"`
	ColdRemaining string `json:"coldRemaining"`
	Seq           int    `json:"seq"`
}
