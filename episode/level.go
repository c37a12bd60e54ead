package episode

// Level classifies the probability of an episode. Entries are notified of changes of the
// level.
type Level uint8

// The levels.
const (
	// Healthy upstreams get all requests.
	Healthy Level = iota
	// Suspected upstreams get repeatable requests, and others if no healthy upstream has
	// a free slot.
	Suspected
	// Failing upstreams get trial requests only.
	Failing
	// CertainlyFailing upstreams get trial requests only, at longer intervals.
	CertainlyFailing
)

// Thresholds of the levels: a single failure makes a healthy upstream suspect, and one without
// recent outcomes failing.
const (
	suspectThreshold = 0.15
	// EjectThreshold is the probability from which on an upstream gets no requests that
	// can't be repeated: more than half of them would be lost.
	EjectThreshold   = 0.5
	certainThreshold = 0.9
)

// ShouldAnnounce reports whether entries should be notified of a change of the level
// immediately: if the upstream has become worse, or is no longer failing. A change from
// Suspected to Healthy waits for the next heartbeat, as each announcement to all entries
// of a fleet takes some 80 bytes per entry.
func ShouldAnnounce(before, now Level) bool {
	if now < before {
		return before >= Failing && now < Failing
	}
	return now > before && before < Failing
}

// LevelOf returns the level of a probability.
func LevelOf(probability float64) Level {
	switch {
	case probability < suspectThreshold:
		return Healthy
	case probability < EjectThreshold:
		return Suspected
	case probability < certainThreshold:
		return Failing
	default:
		return CertainlyFailing
	}
}
