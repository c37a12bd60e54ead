package grade

import "fuchsiapick.example/fuchsiapick/clock"

// Level sorts probabilities for those who are told of changes.
type Level uint8

// The levels.
const (
	// Sound upstreams get all work.
	Sound Level = iota
	// Doubtful ones get work that may be repeated, and other work where no
	// sound one has room.
	Doubtful
	// Failing ones get trials.
	Failing
	// Certain ones get trials, fewer.
	Certain
)

// Bounds of the levels. One failure of a sound upstream (0.01) makes it 0.3, and
// one of an upstream that wasn't heard of for ten seconds (0.25) makes it failing.
const (
	doubtful = 0.15
	// Aside is the probability from which on work that runs once only isn't
	// given to an upstream: more than half of it would be lost.
	Aside   = 0.5
	certain = 0.9
)

// LevelOf returns a probability's level.
func LevelOf(probability float64) Level {
	switch {
	case probability < doubtful:
		return Sound
	case probability < Aside:
		return Doubtful
	case probability < certain:
		return Failing
	default:
		return Certain
	}
}

// Spans between the trials of an upstream, over all who send to it. A trial that
// fails costs a retry of the service's budget; an upstream that has recovered
// is in use again after two or three good ones. One a second also keeps every
// upstream in use in the sense of the floor, which counts those that get
// requests within two seconds.
const (
	certainGap = clock.Second
	failingGap = 350 * clock.Millis(1)
)

// Gap is the span between the trials of an upstream at a level.
func Gap(l Level) clock.Millis {
	if l == Certain {
		return certainGap
	}
	return failingGap
}

// gapSlack is the part of Gap after which a gate admits the next trial: those who
// send draw their own spans and would otherwise be refused half of the time.
const gapSlack = 0.5

// Trials admits trials at a gate. The zero value is ready.
type Trials struct {
	// Count is how many were admitted.
	Count uint32

	last  clock.Millis
	begun bool
}

// Admit reports whether an upstream with that probability may be given a request.
func (t *Trials) Admit(now clock.Millis, probability float64, repeatable bool) bool {
	if probability < Aside {
		return true
	}
	if !repeatable {
		return false
	}
	gap := clock.Millis(gapSlack * float64(Gap(LevelOf(probability))))
	if t.begun && now-t.last < gap {
		return false
	}
	t.begun, t.last = true, now
	t.Count++
	return true
}
