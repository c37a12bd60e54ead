package episodes

import (
	"fuchsiapick.example/fuchsiapick/clock"
)

// Policy is the way in which requests are routed to upstreams.
type Policy uint8

// The policies.
const (
	// RoundRobin is the baseline: round robin at each entry, one retry after a
	// failure, and a first-in, first-out queue at each upstream.
	RoundRobin Policy = iota
	// ShortEpisodes is what entries and gates do with the caution "brief".
	ShortEpisodes
	// Oracle is one central priority queue that knows which upstreams are failing. No
	// fleet reaches its results without communication between its nodes.
	Oracle
)

// Kind is one kind of request.
type Kind struct {
	Name string
	// PerSecond is the number of requests per second at all entries together.
	PerSecond float64
	// Work is the mean time of a run, Spread the sigma of its log-normal
	// distribution.
	Work   clock.Millis
	Spread float64
	// Target is the time within which an answer counts as in target. After Timeout,
	// the request counts as failed.
	Target, Timeout clock.Millis
	Priority        int
	Repeatable      bool
	// EntryStride restricts the kind to one in EntryStride entries; 0 means all
	// entries.
	EntryStride int
}

// Config describes one run.
type Config struct {
	Policy    Policy
	Kinds     []Kind
	Entries   int
	Upstreams int
	Slots     int
	// Domains is the number of failure domains over which entries and upstreams are
	// spread; 0 means one. CallingDomains is the number of these that have callers;
	// 0 means all.
	Domains, CallingDomains int
	// Hangs makes requests that fail in an episode hang until their timeout.
	Hangs bool
	// Load multiplies the request rates of all kinds.
	Load float64
	// Span is how long new requests arrive.
	Span clock.Millis
	Seed uint64
}

// Squadre returns the crew roster service on an ordinary day, with enough confirmations
// to measure the results of requests that can't be repeated.
func Squadre() Config {
	return Config{
		Kinds: []Kind{
			{"roster", 13.2, 600, 0.8, 1500, 3000, 2, true, 0},
			{"check", 12.5, 97, 0.5, 300, 1200, 1, true, 0},
			{"call", 50, 61, 0.5, 200, 600, 1, true, 0},
			{"confirm", 5, 240, 0.5, 800, 1500, 1, false, 0},
		},
		Entries: 24, Upstreams: 9, Slots: 3, Load: 1, Span: 2 * clock.Minute,
	}
}

// Rosters returns the crew roster service of a larger deployment, whose upstreams hang in
// their episodes.
func Rosters() Config {
	return Config{
		Kinds: []Kind{
			{"roster", 39.8, 1500, 0.5, 4000, 8000, 2, true, 0},
			{"check", 115, 250, 0.5, 800, 4000, 1, true, 0},
			{"call", 155, 150, 0.5, 600, 2000, 1, true, 0},
			{"confirm", 20, 610, 0.3, 2500, 4000, 1, false, 0},
		},
		Entries: 106, Upstreams: 35, Slots: 8, Load: 1, Span: clock.Minute, Hangs: true,
	}
}

// Listings returns the price list service of the larger deployment. Most of its requests
// may be repeated, and each of its many entries sends one in about two seconds.
func Listings() Config {
	return Config{
		Kinds: []Kind{
			{"lookup", 48.7, 1500, 0.5, 4000, 6000, 2, true, 0},
			{"revision", 14, 1100, 0.5, 4000, 6000, 1, false, 0},
		},
		Entries: 95, Upstreams: 23, Slots: 13, Load: 1, Span: 2 * clock.Minute,
	}
}

// Revisions returns the price revision service of the larger deployment. Revisions can't
// be repeated. The checks that price lists run before a revision can be repeated, and only a
// few entries send checks.
func Revisions() Config {
	return Config{
		Kinds: []Kind{
			{"revision", 92, 1100, 0.5, 4000, 6000, 1, false, 0},
			{"check", 48, 290, 0.5, 1000, 3000, 1, true, 5},
		},
		Entries: 104, Upstreams: 33, Slots: 13, Load: 1, Span: 2 * clock.Minute,
	}
}

// Conferme returns the confirmation service of the larger deployment. Most of its
// requests can't be repeated.
func Conferme() Config {
	return Config{
		Kinds: []Kind{
			{"confirm", 128, 420, 0.5, 1500, 3000, 1, false, 0},
			{"lookup", 33, 100, 0.5, 400, 1200, 1, true, 0},
		},
		Entries: 81, Upstreams: 32, Slots: 5, Load: 1, Span: 2 * clock.Minute,
	}
}
