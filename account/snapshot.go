package account

import "fuchsiapick.example/fuchsiapick/clock"

// Format is the version of Snapshot's JSON.
const Format = 1

// Filter narrows a Snapshot. An empty field lets everything pass.
type Filter struct {
	Service  string `json:"service,omitempty"`
	Caller   string `json:"caller,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	// Since is a span back from now; 0 means all that is kept.
	Since clock.Millis `json:"since,omitempty"`
}

// Snapshot is a node's book at one instant, as plain data.
type Snapshot struct {
	Format int `json:"format"`
	// Node is the node's link address, Domain its failure domain and Table
	// the version in force; the node fills them, and Upstreams too.
	Node   string       `json:"node"`
	Domain string       `json:"domain"`
	Table  uint64       `json:"table"`
	Now    clock.Millis `json:"now"`
	Filter Filter       `json:"filter"`
	// Received is Closed plus Open, over the node's whole life.
	Received  uint64          `json:"received"`
	Closed    uint64          `json:"closed"`
	Open      uint64          `json:"open"`
	Records   []Record        `json:"records"`
	Events    []Event         `json:"events"`
	Upstreams []UpstreamState `json:"upstreams"`
}

// Snapshot copies what the filter lets pass, newest first. The now is the
// node's clock.
func (b *Book) Snapshot(now clock.Millis, f Filter) Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Snapshot{Format: Format, Now: now, Filter: f, Received: b.received, Closed: b.closed, Open: b.received - b.closed}
	b.served.newest(func(r Record) bool { s.Records = append(s.Records, r); return true })
	b.others.newest(func(r Record) bool { s.Records = append(s.Records, r); return true })
	b.events.newest(func(e Event) bool { s.Events = append(s.Events, e); return true })
	return s
}
