package gate

import (
	"hash/maphash"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// maxSucceeded is how many requests that succeeded here are remembered: one that did
	// doesn't crash the process a moment later.
	maxSucceeded = 256
	// maxHashedBody bounds, in bytes, the bodies that are looked at for that.
	maxHashedBody = 64 << 10
)

var succeededSeed = maphash.MakeSeed()

// requestHash is the place and mark of a request among those that succeeded; 0 for one that is
// too large to be remembered.
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

// recordFinished takes in how a run ended that didn't end the process. One that was answered
// with a failure may not have come to what crashes it, as in an episode in which a backend
// server fails all it gets at once. The gate's lock is held.
func (g *Gate) recordFinished(now clock.Millis, j *job, a Response, err error) {
	isSuccess := err == nil && !a.Shed && a.Status < fasthttp.StatusInternalServerError
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
		miss := g.newCrash(now)
		miss.Suspects = append(miss.Suspects, newSuspect(now, j))
		g.config.Crashes.RecordInconclusive(miss)
	}
}

// hasSucceeded reports whether a request succeeded in this process before.
func (g *Gate) hasSucceeded(d *wire.Dispatch) bool {
	hash := requestHash(d)
	return hash != 0 && g.succeeded != nil && g.succeeded[hash%maxSucceeded] == hash
}

// quarantineAdmission says how a dispatch may run, by what is known of its request.
func (g *Gate) quarantineAdmission(d *wire.Dispatch) quarantine.Admission {
	if g.config.Crashes == nil {
		return quarantine.Run
	}
	s := g.config.Crashes.Status(d)
	return s.Admit(quarantine.Verdict(d.Verdict), g.upstream.Version)
}

// admitSuspect decides how a job that is to begin may run: not at all, or later, beside no other
// suspect. The gate's lock is held.
func (g *Gate) admitSuspect(j *job) (reason wire.Reason, isParked bool) {
	switch g.quarantineAdmission(j.dispatch) {
	case quarantine.Refuse:
		return wire.ReasonQuarantined, false
	case quarantine.Run:
		return "", false
	default: // on trial
	}
	if g.trialTicket != 0 && g.trialTicket != j.ticket {
		g.parked = append(g.parked, j)
		j.timer = time.AfterFunc((j.deadline - g.config.Now() + 1).Duration(), func() { g.expireParked(j) })
		return "", true
	}
	g.trialTicket, j.isTrial = j.ticket, true
	return "", false
}

// expireParked refuses a job whose time is over before its trial.
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

// endTrial returns the jobs that waited for the end of a trial, which are looked at anew.
// The gate's lock is held.
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
