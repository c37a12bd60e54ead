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

// Crashes is what the node knows of requests that crash backend servers. Its methods must
// not block.
type Crashes interface {
	// Standing says how a dispatch's request may be sent.
	Standing(d *wire.Dispatch) quarantine.Standing
	// Ended takes in the end of a backend server's process under its runs.
	Ended(e quarantine.End)
	// Succeeded takes in that a dispatch's run came to its end and didn't fail.
	Succeeded(d *wire.Dispatch)
	// Missed takes in that a trial neither ended the process nor succeeded.
	Missed(e quarantine.End)
}

const (
	// goneTimeout bounds the connection that tells whether a backend server is still
	// there. The kernel beside it refuses one within microseconds.
	goneTimeout = 100 * clock.Millis(1)
	// returnEvery is how often a gate looks whether a backend server that crashed is back.
	returnEvery = 100 * clock.Millis(1)
	// tornFor is how long after a run broke off the end of the process is the cause.
	tornFor = 500 * clock.Millis(1)
	// lookAgain is how long after the first of them the address is tried once more.
	lookAgain = 50 * clock.Millis(1)
	// mostName bounds, in bytes, what is told of the id that a caller gave its request.
	mostName = 64
	// mostTorn bounds the runs that are remembered for that.
	mostTorn = quarantine.MostSuspects
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

// crash is what a gate knows of the ends of its backend server's process.
type crash struct {
	// isDown says that nothing listens at the backend server's address.
	isDown bool
	// id is that of the last End, 0 without one; isExplained that a request was found
	// which crashes those that run it.
	id          uint64
	isExplained bool
	// torn are runs whose answers broke off though the address took a connection: a
	// process that ends may close it last.
	torn []tornRun
}

// tornRun is a run whose answer broke off.
type tornRun struct {
	at      clock.Millis
	suspect quarantine.Suspect
}

// crashOf finds out whether the process has ended under a run that got no answer. All runs
// of a process end with it: the first one tells of all.
func (g *Gate) crashOf(j *job, err error) error {
	isTorn := errors.Is(err, ErrTorn)
	if !isTorn && !errors.Is(err, ErrRefused) {
		return err
	}
	g.mu.Lock()
	isPlanned, isKnown := g.left() || j.life != g.life, g.crash.isDown
	g.mu.Unlock()
	isGone := !isPlanned && (isKnown || g.config.Backend.IsGone())
	g.mu.Lock()
	refused := g.noteBroken(j, isTorn && !isPlanned, isGone)
	g.mu.Unlock()
	callAll(refused)
	if !isTorn || !isGone {
		return err
	}
	return errors.Annotate(ErrCrashed, err.Error())
}

// noteBroken takes in a run that got no answer, and whether the process is gone. The gate's
// lock is held; what it returns is done without it.
func (g *Gate) noteBroken(j *job, isTorn, isGone bool) []func() {
	now := g.config.Now()
	g.crash.torn = slices.DeleteFunc(g.crash.torn, func(t tornRun) bool { return now-t.at > tornFor })
	switch {
	case isGone && !g.crash.isDown:
		if isTorn || len(g.crash.torn) > 0 {
			g.noteCrash(now)
		}
		return g.noteDown(now)
	case isTorn && !isGone && len(g.crash.torn) < mostTorn:
		g.crash.torn = append(g.crash.torn, tornRun{now, suspectOf(now, j)})
		if len(g.crash.torn) == 1 {
			time.AfterFunc(lookAgain.Duration(), g.lookForEnd)
		}
	}
	return nil
}

// lookForEnd looks again whether the process has ended under runs that broke off.
func (g *Gate) lookForEnd() {
	if !g.config.Backend.IsGone() {
		return
	}
	g.mu.Lock()
	var refused []func()
	if !g.left() {
		refused = g.noteBroken(nil, false, true)
	}
	g.mu.Unlock()
	callAll(refused)
}

// noteDown takes in that nothing listens at the backend server's address. Entries are told
// at once, and what waits is refused, for other upstreams have time for it still. The
// gate's lock is held; the refusals are answered without it.
func (g *Gate) noteDown(now clock.Millis) []func() {
	if g.crash.isDown {
		return nil
	}
	g.crash.isDown = true
	g.change()
	time.AfterFunc(returnEvery.Duration(), g.awaitReturn)
	return g.giveUp(now, g.slots.Flush(), wire.ReasonRefused)
}

// change asks for news of the gate to be told at once.
func (g *Gate) change() {
	if g.config.Changed != nil {
		g.config.Changed()
	}
}

// noteCrash tells of a crash and what ran under it. The gate's lock is held.
func (g *Gate) noteCrash(now clock.Millis) {
	end := g.endOf(now)
	runs := len(g.crash.torn)
	for _, t := range g.crash.torn {
		end.Suspects = append(end.Suspects, t.suspect)
	}
	g.crash = crash{id: end.ID}
	for _, j := range g.jobs {
		if !j.running || j.life != g.life {
			continue
		}
		runs++
		if !g.hasFinished(j.dispatch) {
			end.Suspects = append(end.Suspects, suspectOf(now, j))
		}
	}
	// Of too many those are told that ran shortest: a run that lasts has not crashed it.
	slices.SortFunc(end.Suspects, func(a, b quarantine.Suspect) int { return cmp.Compare(a.Ran, b.Ran) })
	end.Suspects = end.Suspects[:min(len(end.Suspects), quarantine.MostSuspects)]
	g.note(access.Event{At: now, Kind: access.Crashed, Reason: string(wire.ReasonCrashed)})
	g.log.WithField("runs", runs).Warn("backend server crashed under its runs")
	if g.config.Crashes != nil && len(end.Suspects) > 0 {
		g.config.Crashes.Ended(end)
	}
}

// endOf is an End of this upstream without suspects.
func (g *Gate) endOf(now clock.Millis) quarantine.End {
	return quarantine.End{
		ID:      rand.Uint64() | 1, // 0 stands for none
		Service: g.service.Name, Upstream: g.upstream.Name, Version: g.upstream.Version,
		Upstreams: len(g.service.Upstreams), At: now,
	}
}

func suspectOf(now clock.Millis, j *job) quarantine.Suspect {
	subject := j.dispatch.Subject()
	name := wire.NameOf(j.dispatch.Label, j.dispatch.ID)
	return quarantine.Suspect{
		Fingerprint: subject.Fingerprint(), Hint: subject.Hint(), Request: name[:min(len(name), mostName)],
		Ran: now - j.began, IsTrial: j.isTrial,
	}
}

// awaitReturn looks whether the backend server is back.
func (g *Gate) awaitReturn() {
	isGone := g.config.Backend.IsGone()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.crash.isDown || g.leaving:
	case isGone:
		time.AfterFunc(returnEvery.Duration(), g.awaitReturn)
	default:
		g.crash.isDown = false
		g.finished = nil
		g.absolve(g.config.Now())
		g.change()
	}
}

// Name is the upstream's.
func (g *Gate) Name() string {
	return g.config.Upstream.Name
}

// Explained takes in that a request was found which crashes the backend servers that run
// it, and the crashes that it is to blame for.
func (g *Gate) Explained(ends []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.crash.isExplained || !slices.Contains(ends, g.crash.id) {
		return
	}
	g.crash.isExplained = true
	g.absolve(g.config.Now())
}

// absolve forgets what the crash said against an upstream that is back: the request was to
// blame. The gate's lock is held.
func (g *Gate) absolve(now clock.Millis) {
	if g.crash.isDown || !g.crash.isExplained {
		return
	}
	g.judge = judgeOf(g.service.Caution, g.config.Seed)
	if g.judge.Status(now).State != g.state {
		g.state = health.InUse
		g.note(access.Event{At: now, Kind: access.Restored, Reason: string(wire.ReasonQuarantined)})
	}
	g.change()
}
