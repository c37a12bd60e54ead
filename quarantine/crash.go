package quarantine

import "fuchsiapick.example/fuchsiapick/clock"

// MaxSuspects bounds the suspects of one Crash: its Cleared mask has 64 bits.
const MaxSuspects = 64

// Crash is the unplanned exit of a backend server's process while it ran requests, as seen
// by the gate on the same node. A planned stop is not a crash, nor is a broken connection to
// a process that still runs.
type Crash struct {
	// ID is a random number that the gate assigns.
	ID uint64
	// Service and Upstream name the backend server that crashed, Version its software
	// version; each is empty if unknown.
	Service, Upstream, Version string
	// Upstreams is the number of upstreams that the service had at the time.
	Upstreams int
	// Suspects are the requests that were running, MaxSuspects at most.
	Suspects []Suspect
	// Cleared has bit i set if Suspects[i] has since completed elsewhere.
	Cleared uint64
	// IsInconclusive marks a trial of the only suspect that neither crashed the process nor
	// succeeded, and so proves nothing. The process didn't exit.
	IsInconclusive bool
	// At is the time of the crash, by the clock of the node that stores it.
	At clock.Millis
}

// Suspect is a request that was running when a process crashed.
type Suspect struct {
	Fingerprint Fingerprint
	Hint        uint64
	// Request is the id of the send that was running.
	Request string
	// Elapsed is how long the send had been running.
	Elapsed clock.Millis
	// IsTrial reports whether the request was already a suspect when it was sent, and ran
	// while no other suspect ran on the same server.
	IsTrial bool
}

// isCleared reports whether suspect i has completed elsewhere.
func (c *Crash) isCleared(i int) bool {
	return c.Cleared&(1<<i) != 0
}

// suspectMask returns the value of Cleared when all suspects are cleared.
func (c *Crash) suspectMask() uint64 {
	if len(c.Suspects) >= MaxSuspects {
		return ^uint64(0)
	}
	return 1<<len(c.Suspects) - 1
}

// isResolved reports whether all suspects are cleared.
func (c *Crash) isResolved() bool {
	return c.Cleared&c.suspectMask() == c.suspectMask()
}
