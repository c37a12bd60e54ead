package gate

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/wire"
)

// CrashTracker is what the node knows of requests that crash backend servers. Its methods must
// not block.
type CrashTracker interface {
	// Status says how a dispatch's request may be sent.
	Status(d *wire.Dispatch) quarantine.Status
	// RecordCrash takes in the end of a backend server's process under its runs.
	RecordCrash(e quarantine.Crash)
	// RecordSuccess takes in that a dispatch's run came to its end and didn't fail.
	RecordSuccess(d *wire.Dispatch)
	// RecordInconclusive takes in that a trial neither ended the process nor succeeded.
	RecordInconclusive(e quarantine.Crash)
}

const (
	// goneTimeout bounds the connection that tells whether a backend server is still
	// there. The kernel beside it refuses one within microseconds.
	goneTimeout = 100 * clock.Millis(1)
	// recoveryInterval is how often a gate looks whether a backend server that crashed is back.
	recoveryInterval = 100 * clock.Millis(1)
	// truncatedWindow is how long after a run broke off the end of the process is the cause.
	truncatedWindow = 500 * clock.Millis(1)
	// recheckDelay is how long after the first of them the address is tried once more.
	recheckDelay = 50 * clock.Millis(1)
	// maxNameLength bounds, in bytes, what is told of the id that a caller gave its request.
	maxNameLength = 64
	// maxTruncated bounds the runs that are remembered for that.
	maxTruncated = quarantine.MaxSuspects
)

// IsGone reports whether nothing listens at the backend server's address.
func (h *HTTP) IsGone() bool {
	dialer := net.Dialer{Timeout: goneTimeout.Duration()}
	conn, err := dialer.DialContext(context.Background(), "tcp", h.config.Address)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// crashState is what a gate knows of the ends of its backend server's process.
type crashState struct {
	// isDown says that nothing listens at the backend server's address.
	isDown bool
	// id is that of the last End, 0 without one; isExplained that a request was found
	// which crashes those that run it.
	id          uint64
	isExplained bool
	// truncated are runs whose answers broke off though the address took a connection: a
	// process that ends may close it last.
	truncated []truncatedRun
}

// truncatedRun is a run whose answer broke off.
type truncatedRun struct {
	at      clock.Millis
	suspect quarantine.Suspect
}

// detectCrash finds out whether the process has ended under a run that got no answer. All runs
// of a process end with it: the first one tells of all.
func (g *Gate) detectCrash(j *job, err error) error {
	isTorn := errors.Is(err, ErrTruncated)
	if !isTorn && !errors.Is(err, ErrRefused) {
		return err
	}
	g.mu.Lock()
	isPlanned, isKnown := g.isLeaving() || j.generation != g.generation, g.crash.isDown
	g.mu.Unlock()
	isGone := !isPlanned && (isKnown || g.config.Backend.IsGone())
	g.mu.Lock()
	refused := g.recordIncomplete(j, isTorn && !isPlanned, isGone)
	g.mu.Unlock()
	callAll(refused)
	if !isTorn || !isGone {
		return err
	}
	return errors.Annotate(ErrCrashed, err.Error())
}

// recordIncomplete takes in a run that got no answer, and whether the process is gone. The gate's
// lock is held; what it returns is done without it.
func (g *Gate) recordIncomplete(j *job, isTorn, isGone bool) []func() {
	now := g.config.Now()
	g.crash.truncated = slices.DeleteFunc(g.crash.truncated, func(t truncatedRun) bool { return now-t.at > truncatedWindow })
	switch {
	case isGone && !g.crash.isDown:
		if isTorn || len(g.crash.truncated) > 0 {
			g.recordCrash(now)
		}
		return g.recordDown(now)
	case isTorn && !isGone && len(g.crash.truncated) < maxTruncated:
		g.crash.truncated = append(g.crash.truncated, truncatedRun{now, newSuspect(now, j)})
		if len(g.crash.truncated) == 1 {
			time.AfterFunc(recheckDelay.Duration(), g.recheckCrash)
		}
	}
	return nil
}

// recheckCrash looks again whether the process has ended under runs that broke off.
func (g *Gate) recheckCrash() {
	if !g.config.Backend.IsGone() {
		return
	}
	g.mu.Lock()
	var refused []func()
	if !g.isLeaving() {
		refused = g.recordIncomplete(nil, false, true)
	}
	g.mu.Unlock()
	callAll(refused)
}

// recordDown takes in that nothing listens at the backend server's address. Entries are told
// at once, and what waits is refused, for other upstreams have time for it still. The
// gate's lock is held; the refusals are answered without it.
func (g *Gate) recordDown(now clock.Millis) []func() {
	if g.crash.isDown {
		return nil
	}
	g.crash.isDown = true
	g.notifyChange()
	time.AfterFunc(recoveryInterval.Duration(), g.checkRecovery)
	return g.refuseWaiters(now, g.slots.Flush(), wire.ReasonConnectionRefused)
}

// notifyChange asks for news of the gate to be told at once.
func (g *Gate) notifyChange() {
	if g.config.OnChange != nil {
		g.config.OnChange()
	}
}

// recordCrash tells of a crash and what ran under it. The gate's lock is held.
func (g *Gate) recordCrash(now clock.Millis) {
	end := g.newCrash(now)
	runs := len(g.crash.truncated)
	for _, t := range g.crash.truncated {
		end.Suspects = append(end.Suspects, t.suspect)
	}
	g.crash = crashState{id: end.ID}
	for _, j := range g.jobs {
		if !j.running || j.generation != g.generation {
			continue
		}
		runs++
		if !g.hasSucceeded(j.dispatch) {
			end.Suspects = append(end.Suspects, newSuspect(now, j))
		}
	}
	// Of too many those are told that ran shortest: a run that lasts has not crashed it.
	slices.SortFunc(end.Suspects, func(a, b quarantine.Suspect) int { return cmp.Compare(a.Elapsed, b.Elapsed) })
	end.Suspects = end.Suspects[:min(len(end.Suspects), quarantine.MaxSuspects)]
	g.recordEvent(access.Event{At: now, Kind: access.Crashed, Reason: string(wire.ReasonCrashed)})
	g.log.WithField("runs", runs).Warn("backend server crashed under its runs")
	if g.config.Crashes != nil && len(end.Suspects) > 0 {
		g.config.Crashes.RecordCrash(end)
	}
}

// newCrash is an End of this upstream without suspects.
func (g *Gate) newCrash(now clock.Millis) quarantine.Crash {
	return quarantine.Crash{
		ID:      rand.Uint64() | 1, // 0 stands for none
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

// checkRecovery looks whether the backend server is back.
func (g *Gate) checkRecovery() {
	isGone := g.config.Backend.IsGone()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.crash.isDown || g.leaving:
	case isGone:
		time.AfterFunc(recoveryInterval.Duration(), g.checkRecovery)
	default:
		g.crash.isDown = false
		g.succeeded = nil
		g.resetDetector(g.config.Now())
		g.notifyChange()
	}
}

// Name is the upstream's.
func (g *Gate) Name() string {
	return g.config.Upstream.Name
}

// ClearCrashEvidence takes in that a request was found which crashes the backend servers that run
// it, and the crashes that it is to blame for.
func (g *Gate) ClearCrashEvidence(ends []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crash.isExplained || !slices.Contains(ends, g.crash.id) {
		return
	}
	g.crash.isExplained = true
	g.resetDetector(g.config.Now())
}

// resetDetector forgets what the crash said against an upstream that is back: the request was to
// blame. The gate's lock is held.
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
