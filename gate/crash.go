package gate

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/speed"
	"fuchsiapick.example/fuchsiapick/wire"
)

// CrashTracker holds what the node knows about requests that crash backend servers. Its
// methods must not block.
type CrashTracker interface {
	// Status returns the quarantine status of a dispatch's request.
	Status(d *wire.Dispatch) quarantine.Status
	// RecordCrash records that a backend server's process ended while it ran requests.
	RecordCrash(c quarantine.Crash)
	// RecordSuccess records that a dispatch's run finished and didn't fail.
	RecordSuccess(d *wire.Dispatch)
	// RecordInconclusive records that a trial neither crashed the process nor succeeded.
	RecordInconclusive(c quarantine.Crash)
}

const (
	// goneTimeout limits the connection attempt that checks whether a backend server is
	// still listening. The backend server runs beside this node, where the kernel refuses
	// a connection within microseconds.
	goneTimeout = 100 * clock.Millis(1)
	// recoveryInterval is how often a gate checks whether a crashed backend server is back.
	recoveryInterval = 100 * clock.Millis(1)
	// truncatedWindow is how long after a truncated response the end of the process counts
	// as its cause.
	truncatedWindow = 500 * clock.Millis(1)
	// recheckDelay is how long after the first truncated response the address is checked
	// once more.
	recheckDelay = 50 * clock.Millis(1)
	// maxNameLength limits, in bytes, the part of a caller's request id that a crash report
	// carries.
	maxNameLength = 64
	// maxTruncated limits the truncated runs that are retained for the recheck.
	maxTruncated = quarantine.MaxSuspects
)

// IsGone reports whether nothing listens at the backend server's address.
func (h *HTTP) IsGone() bool {
	dialer := net.Dialer{Timeout: goneTimeout.Duration()}
	conn, err := dialer.DialContext(context.Background(), "tcp", h.config.Address)
	if err == nil {
		_ = conn.Close() // nothing was sent on the connection
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// crashState is what a gate knows about crashes of its backend server's process.
type crashState struct {
	// isDown means that nothing listens at the backend server's address.
	isDown bool
	// id is the last crash's, 0 without a crash; isExplained means that the crash is
	// attributed to a request that crashes the backend servers running it.
	id          uint64
	isExplained bool
	// truncated are runs whose responses were truncated while the address still accepted a
	// connection: a process that ends may close its listener last.
	truncated []truncatedRun
}

// truncatedRun is a run whose response was truncated.
type truncatedRun struct {
	at      clock.Millis
	suspect quarantine.Suspect
}

// detectCrash checks whether a run got no response because the process has ended. It returns
// ErrCrashed for a truncated response whose process is gone, else err. All runs of a process
// end with it, so the first of them to return reports the crash for all.
func (g *Gate) detectCrash(j *job, err error) error {
	isTruncated := errors.Is(err, ErrTruncated)
	if !isTruncated && !errors.Is(err, ErrRefused) {
		return err
	}
	g.mu.Lock()
	isPlanned, isKnown := g.isLeaving() || j.generation != g.generation, g.crash.isDown
	g.mu.Unlock()
	isGone := !isPlanned && (isKnown || g.config.Backend.IsGone())
	g.mu.Lock()
	refused := g.recordTruncated(j, isTruncated && !isPlanned, isGone)
	g.mu.Unlock()
	callAll(refused)
	if !isTruncated || !isGone {
		return err
	}
	return errors.Annotate(ErrCrashed, err.Error())
}

// recordTruncated records a run that got no response, and whether the process is gone. It is
// called with the gate's lock held and returns the calls to make after the lock is released.
func (g *Gate) recordTruncated(j *job, isTruncated, isGone bool) []func() {
	now := g.config.Now()
	g.crash.truncated = slices.DeleteFunc(g.crash.truncated, func(t truncatedRun) bool { return now-t.at > truncatedWindow })
	switch {
	case isGone && !g.crash.isDown:
		if isTruncated || len(g.crash.truncated) > 0 {
			g.recordCrash(now)
		}
		return g.recordDown(now)
	case isTruncated && !isGone && len(g.crash.truncated) < maxTruncated:
		g.crash.truncated = append(g.crash.truncated, truncatedRun{now, newSuspect(now, j)})
		if len(g.crash.truncated) == 1 {
			g.after(recheckDelay, g.recheckCrash)
		}
	}
	return nil
}

// recheckCrash checks again whether the process has ended after truncated responses.
func (g *Gate) recheckCrash() {
	if !g.config.Backend.IsGone() {
		return
	}
	g.mu.Lock()
	var refused []func()
	if !g.isLeaving() {
		refused = g.recordTruncated(nil, false, true)
	}
	g.mu.Unlock()
	callAll(refused)
}

// recordDown records that nothing listens at the backend server's address. It notifies entries
// immediately and refuses the waiters, since there is still time to send them to other
// upstreams. It is called with the gate's lock held and returns the calls that send the
// refusals after the lock is released.
func (g *Gate) recordDown(now clock.Millis) []func() {
	if g.crash.isDown {
		return nil
	}
	g.crash.isDown, g.wasGone, g.goneAt = true, true, now
	g.profile.learner = speed.Learner{} // the next process may be another
	g.notifyChange()
	g.after(recoveryInterval, g.checkRecovery)
	return g.refuseWaiters(now, g.slots.Flush(), wire.ReasonConnectionRefused)
}

// notifyChange requests that the gate's new status be sent to entries immediately.
func (g *Gate) notifyChange() {
	if g.config.OnChange != nil {
		g.config.OnChange()
	}
}

// recordCrash records a crash and reports the requests that ran then. It is called with the
// gate's lock held.
func (g *Gate) recordCrash(now clock.Millis) {
	crash := g.newCrash(now)
	runs := len(g.crash.truncated)
	for _, t := range g.crash.truncated {
		crash.Suspects = append(crash.Suspects, t.suspect)
	}
	g.crash = crashState{id: crash.ID}
	for _, j := range g.jobs {
		if !j.running || j.generation != g.generation {
			continue
		}
		runs++
		if !g.hasSucceeded(j.dispatch) {
			crash.Suspects = append(crash.Suspects, newSuspect(now, j))
		}
	}
	// Of too many suspects those with the shortest runs are reported: a run that has lasted
	// long has not crashed the process.
	slices.SortFunc(crash.Suspects, func(a, b quarantine.Suspect) int { return cmp.Compare(a.Elapsed, b.Elapsed) })
	crash.Suspects = crash.Suspects[:min(len(crash.Suspects), quarantine.MaxSuspects)]
	g.recordEvent(access.Event{At: now, Kind: access.Crashed, Reason: string(wire.ReasonCrashed)})
	g.log.WithField("runs", runs).Warn("backend server crashed under its runs")
	if g.config.Crashes != nil && len(crash.Suspects) > 0 {
		g.config.Crashes.RecordCrash(crash)
	}
}

// newCrash returns a crash of this upstream without suspects.
func (g *Gate) newCrash(now clock.Millis) quarantine.Crash {
	return quarantine.Crash{
		ID:      rand.Uint64() | 1, // 0 means no crash
		Service: g.service.Name, Upstream: g.upstream.Name, Version: g.upstream.Version,
		Upstreams: len(g.service.Upstreams), At: now,
	}
}

func newSuspect(now clock.Millis, j *job) quarantine.Suspect {
	subject := j.dispatch.QuarantineRequest()
	name := wire.RequestName(j.dispatch.CallerRequestID, j.dispatch.ID)
	return quarantine.Suspect{
		Fingerprint: subject.Fingerprint(), Hint: subject.Hint(), Request: name[:min(len(name), maxNameLength)],
		Elapsed: now - j.began, IsTrial: j.isTrial,
	}
}

// checkRecovery checks whether the backend server listens again, and schedules another check
// if it doesn't.
func (g *Gate) checkRecovery() {
	checkedAt := g.config.Now()
	isGone := g.config.Backend.IsGone()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.crash.isDown || g.leaving:
	case isGone:
		g.wasGone, g.goneAt = true, checkedAt
		g.after(recoveryInterval, g.checkRecovery)
	default:
		g.crash.isDown = false
		g.succeeded = nil
		g.resetDetector(g.config.Now())
		g.notifyChange()
	}
}

// Name returns the upstream's name.
func (g *Gate) Name() string {
	return g.config.Upstream.Name
}

// ClearCrashEvidence resets the verdict if the upstream's last crash is among the given ones,
// the ids of crashes attributed to a request that crashes the backend servers running it.
func (g *Gate) ClearCrashEvidence(crashes []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crash.isExplained || !slices.Contains(crashes, g.crash.id) {
		return
	}
	g.crash.isExplained = true
	g.resetDetector(g.config.Now())
}

// resetDetector discards the evidence of an explained crash once the upstream is back, since the
// request caused the crash. It is called with the gate's lock held.
func (g *Gate) resetDetector(now clock.Millis) {
	if g.crash.isDown || !g.crash.isExplained {
		return
	}
	g.detector = newDetector(g.service.Caution, g.config.Seed)
	if g.detector.Status(now).State != g.state {
		g.state = health.InUse
		g.recordEvent(access.Event{At: now, Kind: access.Restored, Reason: string(wire.ReasonQuarantined)})
	}
	g.notifyChange()
}
