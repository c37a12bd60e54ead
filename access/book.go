package access

import (
	"net/http"
	"strings"
	"sync"

	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

// Config bounds a Book's memory. A bound of zero or less takes its default.
type Config struct {
	// Records bounds the records kept: half for served requests, half for the
	// others, so that a flood of served ones doesn't push out refusals.
	Records int
	// Events bounds the events kept.
	Events int
	// Callers bounds the callers whose totals are kept apart.
	Callers int
	// Start is the instant the node started.
	Start clock.Millis
}

// Defaults of Config.
const (
	// DefaultRecords is about 4 MB of records.
	DefaultRecords = 16384
	// DefaultEvents is about 0.5 MB of events.
	DefaultEvents = 2048
	// DefaultCallers keeps totals within about 3 MB, and a caller's error
	// within a thousandth of all requests.
	DefaultCallers = 1024
	// maxTextLength bounds each text of a record in bytes, since callers choose
	// some of them. Request ids, routes and names are well under it.
	maxTextLength = 256
)

// Log is a node's access log. It is safe for concurrent use.
type Log struct {
	mu         sync.Mutex
	start      clock.Millis
	received   uint64
	closed     uint64
	unmatched  uint64
	served     *ring[Record]
	unserved   *ring[Record]
	events     *ring[Event]
	tally      *tally
	meter      *burn.Meter
	objectives map[string]Objective
}

// New returns an empty Book.
func New(c Config) *Log {
	c = c.withDefaults()
	return &Log{
		start:      c.Start,
		served:     newRing[Record](max(c.Records/2, 1)),
		unserved:   newRing[Record](max(c.Records/2, 1)),
		events:     newRing[Event](c.Events),
		tally:      newTally(c.Callers),
		meter:      burn.NewMeter(burn.Config{}),
		objectives: make(map[string]Objective),
	}
}

func (c Config) withDefaults() Config {
	if c.Records <= 0 {
		c.Records = DefaultRecords
	}
	if c.Events <= 0 {
		c.Events = DefaultEvents
	}
	if c.Callers <= 0 {
		c.Callers = DefaultCallers
	}
	return c
}

// SetServices takes the objectives of the table in force. Requests are judged
// by the objective in force when they end.
func (b *Log) SetServices(services []table.Service) {
	objectives := make(map[string]Objective, len(services))
	for _, s := range services {
		objectives[s.Name] = Objective(s.Objective)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.objectives = objectives
}

// RequestReceived counts a request that reached the entry. Each call must be followed
// by one Close.
func (b *Log) RequestReceived() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received++
}

// RequestFinished enters the single record of a request that Received counted.
func (b *Log) RequestFinished(now clock.Millis, r Record) {
	r.truncate()
	if r.Outcome == Served && r.Status >= http.StatusInternalServerError {
		r.Reason = ReasonUpstreamError
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed == b.received {
		b.unmatched++
		return
	}
	b.closed++
	if r.Outcome == Served {
		b.served.put(r)
	} else {
		b.unserved.put(r)
	}
	b.tally.add(&r)
	if r.Service == "" {
		return
	}
	if s, counts := r.sample(b.objectives[r.Service].Latency); counts {
		b.meter.Add(now, r.Service, s)
	}
}

// RecordEvent enters an event.
func (b *Log) RecordEvent(e Event) {
	e.Reason = truncate(e.Reason)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events.put(e)
}

func (r *Record) truncate() {
	for _, text := range []*string{&r.ID, &r.Caller, &r.Service, &r.Route, &r.Method, &r.Reason, &r.Upstream} {
		*text = truncate(*text)
	}
}

// truncate copies what it shortens, so that the long text isn't kept.
func truncate(text string) string {
	if len(text) <= maxTextLength {
		return text
	}
	return strings.ToValidUTF8(strings.Clone(text[:maxTextLength]), "")
}
