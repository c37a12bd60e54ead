package access

import (
	"net/http"
	"strings"
	"sync"

	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

// Config limits the memory of a Log. A limit of zero or less means the default.
type Config struct {
	// Records is the maximum number of records kept: half for served requests, half for
	// the others, so that a flood of served requests doesn't overwrite refusals.
	Records int
	// Events is the maximum number of events kept.
	Events int
	// Callers is the maximum number of callers with totals of their own.
	Callers int
	// Start is the time the node started.
	Start clock.Millis
}

// Defaults of Config, and the fixed limit on the length of texts.
const (
	// DefaultRecords takes about 4 MB.
	DefaultRecords = 16384
	// DefaultEvents takes about 0.5 MB.
	DefaultEvents = 2048
	// DefaultCallers limits totals to about 3 MB, and the count missing from the totals of
	// any caller to a thousandth of all requests.
	DefaultCallers = 1024
	// maxTextLength is the maximum length of each text of a record in bytes, since callers
	// choose some of them. Request ids, routes and names are much shorter.
	maxTextLength = 256
)

// Log is the access log of a node. It is safe for concurrent use.
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

// New returns an empty Log.
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

// SetServices sets the objectives of the table in force. A request counts by the objective
// in force when it ends.
func (l *Log) SetServices(services []table.Service) {
	objectives := make(map[string]Objective, len(services))
	for _, s := range services {
		objectives[s.Name] = Objective(s.Objective)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.objectives = objectives
}

// RequestReceived counts a request that reached the entry. Each call must be followed by one
// call of RequestFinished.
func (l *Log) RequestReceived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received++
}

// RequestFinished adds the single record of a request that RequestReceived counted. If no
// request is open, it drops the record and counts it as unmatched.
func (l *Log) RequestFinished(now clock.Millis, r Record) {
	r.truncate()
	if r.Outcome == Served && r.Status >= http.StatusInternalServerError {
		r.Reason = ReasonUpstreamError
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed == l.received {
		l.unmatched++
		return
	}
	l.closed++
	if r.Outcome == Served {
		l.served.put(r)
	} else {
		l.unserved.put(r)
	}
	l.tally.add(&r)
	if r.Service == "" {
		return
	}
	if s, counts := r.burnSample(l.objectives[r.Service].Latency); counts {
		l.meter.Add(now, r.Service, s)
	}
}

// RecordEvent adds an event.
func (l *Log) RecordEvent(e Event) {
	e.Reason = truncate(e.Reason)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events.put(e)
}

func (r *Record) truncate() {
	for _, text := range []*string{&r.ID, &r.Caller, &r.Service, &r.Route, &r.Method, &r.Reason, &r.Upstream} {
		*text = truncate(*text)
	}
}

// truncate shortens a text to maxTextLength bytes. It copies a shortened text, so that the
// memory of the long one can be freed.
func truncate(text string) string {
	if len(text) <= maxTextLength {
		return text
	}
	return strings.ToValidUTF8(strings.Clone(text[:maxTextLength]), "")
}
