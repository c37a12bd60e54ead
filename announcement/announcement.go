// Package announcement reads what a backend server states about itself in its responses: a rate
// limit and that it shuts down. Gates and entries follow these statements.
//
// The package has no I/O, clocks or goroutines.
package announcement

import (
	"math"
	"strconv"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Headers are the names of the response headers that carry announcements. A header with an
// empty name isn't used.
type Headers struct {
	// RateLimit carries how many requests per second the backend server accepts from all
	// nodes together, as a decimal number. The limit applies until a response omits the
	// header.
	RateLimit string
	// Leaving, with the value "1", states that the backend server shuts down.
	Leaving string
}

// LeavingRetention is how long an announcement that a backend server leaves holds without another
// one, where its process isn't known by name: longer than processes are given to shut down.
// Another process may then have taken its place unnoticed.
const LeavingRetention = 2 * clock.Minute

// leavingValue is the value of Headers.Leaving in the responses of a leaving backend server.
const leavingValue = "1"

// Announcement is what a backend server states about itself in a response. The zero value
// states nothing.
type Announcement struct {
	// IsLimited means that the backend server names a rate limit, RateLimit is that limit in
	// requests per second from all nodes together.
	IsLimited bool
	RateLimit float64
	// IsLeaving means that the backend server shuts down.
	IsLeaving bool
	// Malformed is a rate limit that isn't a number of requests per second.
	Malformed string
}

// Read returns the announcement in a response. The get function returns the value of the header
// with a name, and whether the response has it.
func (h Headers) Read(get func(name string) ([]byte, bool)) Announcement {
	leaving, _ := get(h.Leaving)
	a := Announcement{IsLeaving: string(leaving) == leavingValue}
	limit, ok := get(h.RateLimit)
	if !ok {
		return a
	}
	rate, err := strconv.ParseFloat(string(limit), 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		a.Malformed = string(limit)
		return a
	}
	a.IsLimited, a.RateLimit = true, rate
	return a
}

// Follow returns what holds after a later response of the same process: its rate limit, unless
// that is malformed. A process that has announced that it leaves doesn't come back.
func (a Announcement) Follow(next Announcement) Announcement {
	next.IsLeaving = next.IsLeaving || a.IsLeaving
	if next.Malformed != "" {
		next.IsLimited, next.RateLimit, next.Malformed = a.IsLimited, a.RateLimit, ""
	}
	return next
}
