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
	// mostFinished is how many requests that succeeded here are remembered: one that did
	// doesn't crash the process a moment later.
	mostFinished = 256
	// mostHashed bounds, in bytes, the bodies that are looked at for that.
	mostHashed = 64 << 10
)

var finishedSeed = maphash.MakeSeed()

// hashOf is the place and mark of a request among those that succeeded; 0 for one that is
// too large to be remembered.
func hashOf(d *wire.Dispatch) uint64 {
	if len(d.Body) > mostHashed {
		return 0
	}
	hash := maphash.String(finishedSeed, d.Caller)
	for _, part := range [...]uint64{maphash.String(finishedSeed, d.Method), maphash.String(finishedSeed, d.URI), maphash.Bytes(finishedSeed, d.Body)} {
		hash = hash*31 + part
	}
	return max(hash, 1)
}

// noteFinished takes in how a run ended that didn't end the process. One that was answered
// with a failure may not have come to what crashes it, as in an episode in which a backend
// server fails all it gets at once. The gate's lock is held.
func (g *Gate) noteFinished(now clock.Millis, j *job, a Answer, err error) {
	isSuccess := err == nil && !a.Shed && a.Status < fasthttp.StatusInternalServerError
	if hash := hashOf(j.dispatch); isSuccess && hash != 0 && j.life == g.life {
		if g.finished == nil {
			g.finished = make([]uint64, mostFinished)
		}
		g.finished[hash%mostFinished] = hash
	}
	switch {
	case g.config.Crashes == nil:
	case isSuccess:
		g.config.Crashes.Succeeded(j.dispatch)
	case j.isTrial && !errors.Is(err, ErrRefused) && !errors.Is(err, ErrCrashed):
		miss := g.endOf(now)
		miss.Suspects = append(miss.Suspects, suspectOf(now, j))
		g.config.Crashes.Missed(miss)
	}
}

// hasFinished reports whether a request succeeded in this process before.
func (g *Gate) hasFinished(d *wire.Dispatch) bool {
	hash := hashOf(d)
	return hash != 0 && g.finished != nil && g.finished[hash%mostFinished] == hash
}

// standing says how a dispatch may run, by what is known of its request.
func (g *Gate) standing(d *wire.Dispatch) quarantine.Admission {
	if g.config.Crashes == nil {
		return quarantine.Run
	}
	s := g.config.Crashes.Standing(d)
	return s.Admit(quarantine.Verdict(d.Verdict), g.upstream.Version)
}

// trial decides how a job that is to begin may run: not at all, or later, beside no other
// suspect. The gate's lock is held.
func (g *Gate) trial(j *job) (reason wire.Reason, isParked bool) {
	switch g.standing(j.dispatch) {
	case quarantine.Refuse:
		return wire.ReasonQuarantined, false
	case quarantine.Run:
		return "", false
	default: // on trial
	}
	if g.suspect != 0 && g.suspect != j.ticket {
		g.parked = append(g.parked, j)
		j.timer = time.AfterFunc((j.until - g.config.Now() + 1).Duration(), func() { g.unpark(j) })
		return "", true
	}
	g.suspect, j.isTrial = j.ticket, true
	return "", false
}

// unpark refuses a job whose time is over before its trial.
func (g *Gate) unpark(j *job) {
	g.mu.Lock()
	before := len(g.parked)
	g.parked = slices.DeleteFunc(g.parked, func(other *job) bool { return other == j })
	isParked := len(g.parked) < before
	g.mu.Unlock()
	if isParked {
		g.finishNotRun(j, wire.ReasonLate)
	}
}

// endTrial returns the jobs that waited for the end of a trial, which are looked at anew.
// The gate's lock is held.
func (g *Gate) endTrial(j *job) []func() {
	if g.suspect != j.ticket {
		return nil
	}
	g.suspect = 0
	var calls []func()
	for _, waiting := range g.parked {
		waiting.timer.Stop()
		calls = append(calls, func() { g.start(waiting) })
	}
	g.parked = nil
	return calls
}
