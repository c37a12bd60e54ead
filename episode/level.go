package episode

// Level sorts probabilities for those who are told of changes.
type Level uint8

// The levels.
const (
	// Healthy upstreams get all work.
	Healthy Level = iota
	// Suspected ones get work that may be repeated, and other work where no
	// sound one has room.
	Suspected
	// Failing ones get trials.
	Failing
	// CertainlyFailing ones get trials, fewer.
	CertainlyFailing
)

// Bounds of the levels. One failure of a sound upstream (0.01) makes it 0.3, and
// one of an upstream that wasn't heard of for ten seconds (0.25) makes it failing.
const (
	suspectThreshold = 0.15
	// EjectThreshold is the probability from which on work that runs once only isn't
	// given to an upstream: more than half of it would be lost.
	EjectThreshold   = 0.5
	certainThreshold = 0.9
)

// ShouldAnnounce reports whether entries should hear at once of a change: that an upstream is
// worse, or is back. That it is sound again has time until the next heartbeat, and
// each word to all entries of a fleet takes some 80 bytes an entry.
func ShouldAnnounce(before, now Level) bool {
	if now < before {
		return before >= Failing && now < Failing
	}
	return now > before && before < Failing
}

// LevelOf returns a probability's level.
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
