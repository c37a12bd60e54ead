package episodes

import (
	"fuchsiapick.example/fuchsiapick/clock"
)

// Policy says how requests find an upstream.
type Policy uint8

// The policies.
const (
	// RoundRobin is round robin at each entry, a second try elsewhere after a
	// failure, and a queue in order of arrival.
	RoundRobin Policy = iota
	// ShortEpisodes is what entries and gates do at caution brief.
	ShortEpisodes
	// Oracle is one central queue by rank that knows which upstreams fail: what
	// no fleet without a word between its nodes can reach.
	Oracle
)

// Kind is one kind of request.
type Kind struct {
	Name string
	// PerSecond counts over all entries.
	PerSecond float64
	// Work is the mean time of a run, Spread the sigma of its log-normal.
	Work   clock.Millis
	Spread float64
	// Target is when an answer is late, Timeout when it is none.
	Target, Timeout clock.Millis
	Priority        int
	Repeatable      bool
	// EntryStride says that one entry in so many sends it, 0 that all do.
	EntryStride int
}

// Config is one run.
type Config struct {
	Policy    Policy
	Kinds     []Kind
	Entries   int
	Upstreams int
	Slots     int
	// Domains is over how many failure domains entries and upstreams are spread, 0
	// for one; Calling is how many of these have callers, 0 for all.
	Domains, CallingDomains int
	// Hangs says that what fails in an episode hangs until its time is over.
	Hangs bool
	// Load multiplies the rates.
	Load float64
	// Span is the length of the run.
	Span clock.Millis
	Seed uint64
}

// Squadre is the crew rosters on an ordinary day, with as many confirmations as
// make requests that run once only measurable.
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

// Rosters is the crew rosters of a larger deployment whose upstreams hang in their episodes.
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

// Listings is the price lists of the larger deployment: most of its requests may be
// repeated, and each of many entries sends one in two seconds.
func Listings() Config {
	return Config{
		Kinds: []Kind{
			{"lookup", 48.7, 1500, 0.5, 4000, 6000, 2, true, 0},
			{"revision", 14, 1100, 0.5, 4000, 6000, 1, false, 0},
		},
		Entries: 95, Upstreams: 23, Slots: 13, Load: 1, Span: 2 * clock.Minute,
	}
}

// Revisions is the price revisions of the larger deployment, which run once only, and the
// checks that price lists make before: few entries send these.
func Revisions() Config {
	return Config{
		Kinds: []Kind{
			{"revision", 92, 1100, 0.5, 4000, 6000, 1, false, 0},
			{"check", 48, 290, 0.5, 1000, 3000, 1, true, 5},
		},
		Entries: 104, Upstreams: 33, Slots: 13, Load: 1, Span: 2 * clock.Minute,
	}
}

// Conferme is the confirmations of the larger deployment: most of its requests run
// once only.
func Conferme() Config {
	return Config{
		Kinds: []Kind{
			{"confirm", 128, 420, 0.5, 1500, 3000, 1, false, 0},
			{"lookup", 33, 100, 0.5, 400, 1200, 1, true, 0},
		},
		Entries: 81, Upstreams: 32, Slots: 5, Load: 1, Span: 2 * clock.Minute,
	}
}
