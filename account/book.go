package account

import (
	"sync"

	"fuchsiapick.example/fuchsiapick/clock"
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
}

// Defaults of Config.
const (
	// DefaultRecords is about 4 MB of records.
	DefaultRecords = 16384
	// DefaultEvents is about 0.5 MB of events.
	DefaultEvents = 2048
	// DefaultCallers keeps totals within about 3 MB.
	DefaultCallers = 1024
)

// Book is a node's account of its requests. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	received uint64
	closed   uint64
	served   *ring[Record]
	others   *ring[Record]
	events   *ring[Event]
}

// New returns an empty Book.
func New(c Config) *Book {
	c = c.withDefaults()
	return &Book{
		served: newRing[Record](max(c.Records/2, 1)),
		others: newRing[Record](max(c.Records/2, 1)),
		events: newRing[Event](c.Events),
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

// Received counts a request that reached the entry. Each call must be followed
// by one Close.
func (b *Book) Received() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.received++
}

// Close enters the single account of a request that Received counted.
func (b *Book) Close(_ clock.Millis, r Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed++
	if r.Outcome == Served {
		b.served.put(r)
		return
	}
	b.others.put(r)
}

// Note enters an event.
func (b *Book) Note(e Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events.put(e)
}
