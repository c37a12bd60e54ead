package access

import (
	"cmp"
	"slices"

	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
)

// Format is the version of the JSON format of Snapshot.
const Format = 1

// Snapshot is the content of a node's Log at one time, as plain data. The node sets Name,
// Node, Domain, Table, Upstreams, Retries and Shares; Log.Snapshot sets the rest.
type Snapshot struct {
	Format int `json:"format"`
	// Name is the node's name, Node its link address, as in the table.
	Name   string `json:"name"`
	Node   string `json:"node"`
	Domain string `json:"domain"`
	// Table is the version of the table in force; 0 if none is.
	Table  uint64       `json:"table"`
	Now    clock.Millis `json:"now"`
	Filter Filter       `json:"filter"`
	// Uptime is the time since the node started; no data is older.
	Uptime clock.Millis `json:"life"`
	// Span is how far back Totals reach: Uptime or the filter's Since, or less if records
	// within that time were overwritten.
	Span clock.Millis `json:"span"`
	// Received is Closed plus Open. These counts cover the whole uptime of the node,
	// whatever the filter.
	Received uint64 `json:"received"`
	Closed   uint64 `json:"closed"`
	Open     uint64 `json:"open"`
	// Totals is sorted, the largest first. Without a filter, the sum of the counts is Closed.
	Totals  []Total       `json:"totals"`
	Callers []CallerCount `json:"callers"`
	// MaxMissed is the maximum number of requests that a caller missing from Callers can
	// have made; they are counted under Others.
	MaxMissed uint64          `json:"missable"`
	Records   []Record        `json:"records"`
	Events    []Event         `json:"events"`
	Upstreams []UpstreamState `json:"upstreams"`
	Burn      []ServiceBurn   `json:"burn"`
	// Shares are the shares of accounts at the node's own gates, set by the node.
	Shares  []AccountShare `json:"shares,omitempty"`
	Dropped Dropped        `json:"dropped"`
	// Retries has an entry for each service whose retry budget this node knows to be used.
	Retries []ServiceRetries `json:"retries,omitempty"`
}

// ServiceRetries is the use of a service's retry budget at one node.
type ServiceRetries struct {
	Service string `json:"service"`
	// Used and Bound are the retries of the last window at the node's gates, and how many
	// they may grant in one; 0 if the table has no window for the service.
	Used  float64 `json:"used"`
	Bound float64 `json:"bound"`
	RetryCounts
}

// RetryCounts counts retries that were granted, and denied by the reason: the bound was used
// up, likely failing retries had used their part, the rest was kept for more urgent ones, the
// service was overloaded, or the request had no attempts left. A retry that several gates
// deny counts at each.
type RetryCounts struct {
	Granted     uint64 `json:"granted"`
	Quota       uint64 `json:"quota"`
	LikelyFails uint64 `json:"likelyfails"`
	Priority    uint64 `json:"priority"`
	Overload    uint64 `json:"overload"`
	Attempts    uint64 `json:"attempts"`
}

// Add adds the counts of another node.
func (c *RetryCounts) Add(o RetryCounts) {
	c.Granted += o.Granted
	c.Quota += o.Quota
	c.LikelyFails += o.LikelyFails
	c.Priority += o.Priority
	c.Overload += o.Overload
	c.Attempts += o.Attempts
}

// Objective is the objective of a service, as in the table.
type Objective struct {
	Availability float64      `json:"availability"`
	Latency      clock.Millis `json:"latency"`
	LatencyRatio float64      `json:"within"`
}

// ServiceBurn holds the counts from which the burn rate of a service is computed. They cover
// all callers and upstreams, whatever the filter.
type ServiceBurn struct {
	Service   string        `json:"service"`
	Objective Objective     `json:"objective"`
	Windows   []burn.Window `json:"windows"`
}

// Dropped counts what is missing from a Snapshot because of limits.
type Dropped struct {
	// Served and Unserved are the numbers of records that newer ones overwrote.
	Served   uint64 `json:"served"`
	Unserved uint64 `json:"unserved"`
	// Events is the number of events that newer ones overwrote.
	Events uint64 `json:"events"`
	// Limited is the number of records left out because of the filter's Limit.
	Limited uint64 `json:"limited"`
	// Unattributed is the number of requests whose service and upstream are no longer
	// known, so that the filter may have wrongly left them out.
	Unattributed uint64 `json:"unplaced"`
	// Unmetered is the number of requests missing from Burn, since their service exceeded
	// the limit on services.
	Unmetered uint64 `json:"unmetered"`
	// Unmatched is the number of calls of RequestFinished with no request open. They are a
	// bug of the program and in no other count.
	Unmatched uint64 `json:"unmatched"`
}

// Snapshot returns a copy of what the filter selects, records and events newest first. The
// argument now is the time of the node's clock.
func (l *Log) Snapshot(now clock.Millis, f Filter) Snapshot {
	s := l.copyState(now, f)
	s.Burn = l.serviceBurns(now, f)
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

// copyState copies, in one critical section, all parts of a Snapshot that must be consistent
// with each other.
func (l *Log) copyState(now clock.Millis, f Filter) Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Snapshot{
		Format: Format, Now: now, Filter: f, Uptime: now - l.start, Span: now - l.start,
		Received: l.received, Closed: l.closed, Open: l.received - l.closed,
		Records: []Record{}, Events: []Event{},
		Upstreams: []UpstreamState{},
		Dropped: Dropped{
			Served: l.served.overwritten, Unserved: l.unserved.overwritten, Events: l.events.overwritten,
			Unmetered: l.meter.Unmetered(), Unmatched: l.unmatched,
		},
	}
	recent := newTally(l.tally.maxCallers)
	for _, records := range []*ring[Record]{l.served, l.unserved} {
		s.Dropped.Limited += collect(&s.Records, records, recent, now, f)
		if f.Since > 0 {
			s.Span = min(s.Span, f.Since, coverage(records, now))
		}
	}
	if f.Since <= 0 {
		recent = l.tally
	}
	s.Callers, s.MaxMissed = recent.callerCounts(f), recent.maxMissed()
	s.Totals, s.Dropped.Unattributed = recent.totals(f)
	for e := range l.events.newestFirst {
		if f.matchesEvent(e, now) {
			s.Events = append(s.Events, *e)
		}
	}
	return s
}

// collect appends the records that the filter selects, up to its limit. For a filter with
// Since, it adds all selected records to recent. It returns the number of records that the
// limit left out.
func collect(into *[]Record, from *ring[Record], recent *tally, now clock.Millis, f Filter) (limited uint64) {
	collected := 0
	for r := range from.newestFirst {
		if !f.isRecent(r.end(), now) || !f.matches(r.Caller, r.Service, r.Upstream) {
			continue
		}
		if f.Since > 0 {
			recent.add(r)
		}
		if f.Limit > 0 && collected >= f.Limit {
			limited++
			continue
		}
		collected++
		*into = append(*into, *r)
	}
	return limited
}

// coverage returns how far back a ring holds all records.
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

// serviceBurns returns the counts of all services that the filter selects. It releases the
// lock between services, so that requests don't wait while thousands of services are summed.
func (l *Log) serviceBurns(now clock.Millis, f Filter) []ServiceBurn {
	l.mu.Lock()
	names := l.meter.Services()
	l.mu.Unlock()
	found := []ServiceBurn{}
	for _, name := range names {
		if match(f.Service, name) {
			found = append(found, l.serviceBurn(now, name))
		}
	}
	return found
}

func (l *Log) serviceBurn(now clock.Millis, name string) ServiceBurn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ServiceBurn{
		Service:   name,
		Objective: l.objectives[name],
		Windows:   l.meter.Windows(now, now-l.start, name),
	}
}

func (r *Record) end() clock.Millis {
	return r.Started + r.Took
}
