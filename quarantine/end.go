package quarantine

import "fuchsiapick.example/fuchsiapick/clock"

// MaxSuspects bounds the runs of one End, by the bits of its mask.
const MaxSuspects = 64

// Crash is the end of a backend server's process under its runs, as the gate beside it saw
// it. A planned stop is none, nor is a broken connection to a process that lives.
type Crash struct {
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
	// IsInconclusive says that the process didn't end: a trial of the one suspect neither ended it
	// nor succeeded, and showed nothing.
	IsInconclusive bool
	// At is when that was, by the clock of the node that holds the End.
	At clock.Millis
}

// Suspect is a request that ran as a process ended.
type Suspect struct {
	Fingerprint Fingerprint
	Hint        uint64
	// Request is the id of the send that ran.
	Request string
	// Elapsed is for how long it had run.
	Elapsed clock.Millis
	// IsTrial says that it was sent as a suspect already, beside no other one.
	IsTrial bool
}

// isCleared reports whether a suspect came to its end elsewhere.
func (e *Crash) isCleared(i int) bool {
	return e.Cleared&(1<<i) != 0
}

// suspectMask is the mask of an End whose suspects are all cleared.
func (e *Crash) suspectMask() uint64 {
	if len(e.Suspects) >= MaxSuspects {
		return ^uint64(0)
	}
	return 1<<len(e.Suspects) - 1
}

// isResolved reports whether nothing is suspected of it any more.
func (e *Crash) isResolved() bool {
	return e.Cleared&e.suspectMask() == e.suspectMask()
}
