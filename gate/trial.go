package gate

import (
	"hash/maphash"
	"slices"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// maxSucceeded is the number of retained requests that succeeded in this process: a
	// request that has succeeded doesn't crash the process a moment later.
	maxSucceeded = 256
	// maxHashedBody limits, in bytes, the bodies of the requests that are retained.
	maxHashedBody = 64 << 10
)

var succeededSeed = maphash.MakeSeed()

// requestHash returns the hash that finds a request among those that succeeded, or 0 for a
// request whose body is too large to be hashed.
func requestHash(d *wire.Dispatch) uint64 {
	if len(d.Body) > maxHashedBody {
		return 0
	}
	hash := maphash.String(succeededSeed, d.Caller)
	for _, part := range [...]uint64{maphash.String(succeededSeed, d.Method), maphash.String(succeededSeed, d.URI), maphash.Bytes(succeededSeed, d.Body)} {
		hash = hash*31 + part
	}
	return max(hash, 1)
}

// recordFinished records for the crash tracker how a run ended. A run with a failure response
// doesn't clear its request: the run may have failed before the point where the request crashes
// the process, as in an episode in which a backend server fails all requests immediately. It is
// called with the gate's lock held.
func (g *Gate) recordFinished(now clock.Millis, j *job, response Response, err error) {
	isSuccess := err == nil && !response.Shed && response.Status < fasthttp.StatusInternalServerError
	if hash := requestHash(j.dispatch); isSuccess && hash != 0 && j.generation == g.generation {
		if g.succeeded == nil {
			g.succeeded = make([]uint64, maxSucceeded)
		}
		g.succeeded[hash%maxSucceeded] = hash
	}
	switch {
	case g.config.Crashes == nil:
	case isSuccess:
		g.config.Crashes.RecordSuccess(j.dispatch)
	case j.isTrial && !errors.Is(err, ErrRefused) && !errors.Is(err, ErrCrashed):
		trial := g.newCrash(now)
		trial.Suspects = append(trial.Suspects, newSuspect(now, j))
		g.config.Crashes.RecordInconclusive(trial)
	}
}

// hasSucceeded reports whether the same request succeeded in this process before. It is called
// with the gate's lock held.
func (g *Gate) hasSucceeded(d *wire.Dispatch) bool {
	hash := requestHash(d)
	return hash != 0 && g.succeeded != nil && g.succeeded[hash%maxSucceeded] == hash
}

// quarantineAdmission returns how a dispatch may run, given the quarantine status of its
// request. It is called with the gate's lock held.
func (g *Gate) quarantineAdmission(d *wire.Dispatch) quarantine.Admission {
	if g.config.Crashes == nil {
		return quarantine.Run
	}
	s := g.config.Crashes.Status(d)
	return s.Admit(quarantine.Verdict(d.Verdict), g.upstream.Version)
}

// admitSuspect decides whether a job may begin. It returns a reason if the request is
// quarantined, and isParked if the request is suspected and must wait until another suspect
// ends. It is called with the gate's lock held.
func (g *Gate) admitSuspect(j *job) (reason wire.Reason, isParked bool) {
	switch g.quarantineAdmission(j.dispatch) {
	case quarantine.Refuse:
		return wire.ReasonQuarantined, false
	case quarantine.Run:
		return "", false
	default: // run alone, as a trial
	}
	if g.trialTicket != 0 && g.trialTicket != j.ticket {
		g.parked = append(g.parked, j)
		j.timer = g.after(j.deadline-g.config.Now()+1, func() { g.expireParked(j) })
		return "", true
	}
	g.trialTicket, j.isTrial = j.ticket, true
	return "", false
}

// expireParked refuses a job whose deadline passed before its trial began.
func (g *Gate) expireParked(j *job) {
	g.mu.Lock()
	before := len(g.parked)
	g.parked = slices.DeleteFunc(g.parked, func(other *job) bool { return other == j })
	isParked := len(g.parked) < before
	g.mu.Unlock()
	if isParked {
		g.finishNotRun(j, wire.ReasonDeadlineTooShort)
	}
}

// endTrial ends a job's trial, if it had one, and returns the calls that start the parked jobs
// again; each is checked anew when it begins. It is called with the gate's lock held.
func (g *Gate) endTrial(j *job) []func() {
	if g.trialTicket != j.ticket {
		return nil
	}
	g.trialTicket = 0
	var calls []func()
	for _, waiting := range g.parked {
		waiting.timer.Stop()
		calls = append(calls, func() { g.start(waiting) })
	}
	g.parked = nil
	return calls
}
