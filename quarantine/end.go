package quarantine

import "fuchsiapick.example/fuchsiapick/clock"

// MostSuspects bounds the runs of one End, by the bits of its mask.
const MostSuspects = 64

// End is the end of a backend server's process under its runs, as the gate beside it saw
// it. A planned stop is none, nor is a broken connection to a process that lives.
type End struct {
	// ID is drawn by the gate.
	ID uint64
	// Service and Upstream name what ended, Version its software; empty where it isn't
	// known.
	Service, Upstream, Version string
	// Upstreams is how many the service had.
	Upstreams int
	// Suspects are the requests that ran there, MostSuspects at most.
	Suspects []Suspect
	// Cleared has the bits of the suspects that came to their end elsewhere since.
	Cleared uint64
	// IsMiss says that the process didn't end: a trial of the one suspect neither ended it
	// nor succeeded, and showed nothing.
	IsMiss bool
	// At is when that was, by the clock of the node that holds the End.
	At clock.Millis
}

// Suspect is a request that ran as a process ended.
type Suspect struct {
	Fingerprint Fingerprint
	Hint        uint64
	// Request is the id of the send that ran.
	Request string
	// Ran is for how long it had run.
	Ran clock.Millis
	// IsTrial says that it was sent as a suspect already, beside no other one.
	IsTrial bool
}

// isCleared reports whether a suspect came to its end elsewhere.
func (e *End) isCleared(i int) bool {
	return e.Cleared&(1<<i) != 0
}

// all is the mask of an End whose suspects are all cleared.
func (e *End) all() uint64 {
	if len(e.Suspects) >= MostSuspects {
		return ^uint64(0)
	}
	return 1<<len(e.Suspects) - 1
}

// isOver reports whether nothing is suspected of it any more.
func (e *End) isOver() bool {
	return e.Cleared&e.all() == e.all()
}
