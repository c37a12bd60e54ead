package access

import (
	"cmp"
	"slices"

	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
)

// Format is the version of Snapshot's JSON.
const Format = 1

// Snapshot is a node's book at one instant, as plain data. The node fills
// Name, Node, Domain, Table and Upstreams.
type Snapshot struct {
	Format int `json:"format"`
	// Name is the node's own, Node its link address, as the table has it.
	Name   string `json:"name"`
	Node   string `json:"node"`
	Domain string `json:"domain"`
	// Table is the version in force; 0 if none is.
	Table  uint64       `json:"table"`
	Now    clock.Millis `json:"now"`
	Filter Filter       `json:"filter"`
	// Uptime is the span since the node started; nothing is older.
	Uptime clock.Millis `json:"life"`
	// Span is how far back Totals reach. It is Life, or the filter's Since, or
	// less than that if records within it were overwritten.
	Span clock.Millis `json:"span"`
	// Received is Closed plus Open, over the node's whole life and unfiltered.
	Received uint64 `json:"received"`
	Closed   uint64 `json:"closed"`
	Open     uint64 `json:"open"`
	// Totals is sorted, the largest first. Without a filter and over the whole
	// life their sum is Closed.
	Totals  []Total       `json:"totals"`
	Callers []CallerCount `json:"callers"`
	// MaxMissed is how many requests at most of a caller that isn't among
	// Callers stand under Others.
	MaxMissed uint64          `json:"missable"`
	Records   []Record        `json:"records"`
	Events    []Event         `json:"events"`
	Upstreams []UpstreamState `json:"upstreams"`
	Burn      []ServiceBurn   `json:"burn"`
	Dropped   Dropped         `json:"dropped"`
}

// Objective is a service's objective, as the table has it.
type Objective struct {
	Availability float64      `json:"availability"`
	Latency      clock.Millis `json:"latency"`
	LatencyRatio float64      `json:"within"`
}

// ServiceBurn holds the counts that a service's burn is worked out from. They
// are of all callers and upstreams, whatever the filter says of these.
type ServiceBurn struct {
	Service   string        `json:"service"`
	Objective Objective     `json:"objective"`
	Windows   []burn.Window `json:"windows"`
}

// Dropped says what the bounds of memory took from a Snapshot.
type Dropped struct {
	// Served and Unserved count the records that newer ones overwrote.
	Served   uint64 `json:"served"`
	Unserved uint64 `json:"unserved"`
	// Events counts the events that newer ones overwrote.
	Events uint64 `json:"events"`
	// Limited counts the records that the filter's Limit left out.
	Limited uint64 `json:"limited"`
	// Unattributed counts requests whose service and upstream are not known any
	// more, so that the filter may have passed them over.
	Unattributed uint64 `json:"unplaced"`
	// Unmetered counts requests that burn left out: they were of a service
	// beyond the bound on services.
	Unmetered uint64 `json:"unmetered"`
	// Unmatched counts calls of Close with no request open. They are a fault
	// of the program and in no other count.
	Unmatched uint64 `json:"unmatched"`
}

// Snapshot copies what the filter lets pass, newest first. The now is the
// node's clock.
func (b *Log) Snapshot(now clock.Millis, f Filter) Snapshot {
	s := b.snapshotLocked(now, f)
	s.Burn = b.serviceBurns(now, f)
	SortTotals(s.Totals)
	SortCallers(s.Callers)
	slices.SortStableFunc(s.Records, func(a, b Record) int {
		return cmp.Or(cmp.Compare(b.end(), a.end()), cmp.Compare(a.ID, b.ID))
	})
	if over := len(s.Records) - f.Limit; f.Limit > 0 && over > 0 {
		s.Records = s.Records[:f.Limit]
		s.Dropped.Limited += uint64(over)
	}
	return s
}

// snapshotLocked takes what must agree with each other under one lock.
func (b *Log) snapshotLocked(now clock.Millis, f Filter) Snapshot {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Snapshot{
		Format: Format, Now: now, Filter: f, Uptime: now - b.start, Span: now - b.start,
		Received: b.received, Closed: b.closed, Open: b.received - b.closed,
		Records: []Record{}, Events: []Event{},
		Upstreams: []UpstreamState{},
		Dropped: Dropped{
			Served: b.served.overwritten, Unserved: b.unserved.overwritten, Events: b.events.overwritten,
			Unmetered: b.meter.Unmetered(), Unmatched: b.unmatched,
		},
	}
	recent := newTally(b.tally.bound)
	for _, records := range []*ring[Record]{b.served, b.unserved} {
		s.Dropped.Limited += collect(&s.Records, records, recent, now, f)
		if f.Since > 0 {
			s.Span = min(s.Span, f.Since, coverage(records, now))
		}
	}
	if f.Since <= 0 {
		recent = b.tally
	}
	s.Callers, s.MaxMissed = recent.callerCounts(f), recent.maxMissed()
	s.Totals, s.Dropped.Unattributed = recent.totals(f)
	for e := range b.events.newestFirst {
		if f.matchesEvent(e, now) {
			s.Events = append(s.Events, *e)
		}
	}
	return s
}

// collect appends the records that pass, up to the filter's limit, and adds
// them to recent, which only a filter with Since needs. It returns how many
// the limit left out.
func collect(into *[]Record, from *ring[Record], recent *tally, now clock.Millis, f Filter) (limited uint64) {
	taken := 0
	for r := range from.newestFirst {
		if !f.isRecent(r.end(), now) || !f.matches(r.Caller, r.Service, r.Upstream) {
			continue
		}
		if f.Since > 0 {
			recent.add(r)
		}
		if f.Limit > 0 && taken >= f.Limit {
			limited++
			continue
		}
		taken++
		*into = append(*into, *r)
	}
	return limited
}

// coverage returns how far back a ring of records has lost none.
func coverage(records *ring[Record], now clock.Millis) clock.Millis {
	if records.overwritten == 0 {
		return now
	}
	oldest := now
	for r := range records.newestFirst {
		oldest = min(oldest, r.end())
	}
	return now - oldest
}

// serviceBurns lets the lock go between services, so that requests don't wait while
// thousands of them are summed.
func (b *Log) serviceBurns(now clock.Millis, f Filter) []ServiceBurn {
	b.mu.Lock()
	names := b.meter.Services()
	b.mu.Unlock()
	found := []ServiceBurn{}
	for _, name := range names {
		if match(f.Service, name) {
			found = append(found, b.serviceBurn(now, name))
		}
	}
	return found
}

func (b *Log) serviceBurn(now clock.Millis, name string) ServiceBurn {
	b.mu.Lock()
	defer b.mu.Unlock()
	return ServiceBurn{
		Service:   name,
		Objective: b.objectives[name],
		Windows:   b.meter.Windows(now, now-b.start, name),
	}
}

func (r *Record) end() clock.Millis {
	return r.Started + r.Took
}
