package gate

import (
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/announcement"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// recordAnnouncement records what the backend server states about itself in a response, and
// applies it. A refusal that names no limit doesn't end one, because it may come from a part of
// the backend server that knows none. recordAnnouncement is called with the gate's lock held and
// returns the calls to make after the lock is released.
func (g *Gate) recordAnnouncement(now clock.Millis, a announcement.Announcement, isRefusal bool) []func() {
	if isRefusal && !a.IsLimited {
		a.IsLimited, a.RateLimit = g.announced.IsLimited, g.announced.RateLimit
	}
	if a.Malformed != "" {
		g.log.WithField("limit", a.Malformed).Warn("rate limit of the backend server ignored; it isn't a number of requests per second")
	}
	g.hasResponse, g.announcedAt = true, now
	return g.setAnnounced(now, g.announced.Follow(a))
}

// setAnnounced applies a changed announcement. It is called with the gate's lock held and returns
// the calls to make after the lock is released.
func (g *Gate) setAnnounced(now clock.Millis, a announcement.Announcement) []func() {
	if g.announced == a {
		return nil
	}
	wasLeaving, startsLeaving := g.isLeaving(), a.IsLeaving && !g.announced.IsLeaving
	g.announced = a
	g.log.WithFields(logrus.Fields{"limited": a.IsLimited, "limit": a.RateLimit, "leaving": a.IsLeaving}).Info("backend server announced a change")
	calls := g.startLeaving(wasLeaving, "backend server")
	if startsLeaving {
		g.notifyChange()
	}
	if startsLeaving && !g.config.HasProcessNames && g.upstream.Started == 0 {
		g.after(replacementInterval, func() { g.checkReplaced(false) })
	}
	return append(calls, g.applyPace(now)...)
}

// replacementInterval is how often a gate checks whether a leaving process was replaced. A process
// takes longer to start, and a check costs the leaving one a connection.
const replacementInterval = 500 * clock.Millis(1)

// checkReplaced checks whether the process that has announced to leave has ended and another one
// listens at its address, to which the announcement doesn't apply. It assumes so after
// announcement.LeavingRetention; a process that still leaves then says so again.
func (g *Gate) checkReplaced(hasEnded bool) {
	isGone := g.config.Backend.IsGone()
	var calls []func()
	g.mu.Lock()
	switch {
	case g.leaving || !g.announced.IsLeaving: // the gate is retired, or the table has named another process
	case hasEnded && !isGone, g.config.Now()-g.announcedAt >= announcement.LeavingRetention:
		g.log.Info("backend server replaced; its predecessor's announcements are void")
		calls = g.forgetAnnouncement(g.config.Now())
		g.notifyChange()
	default:
		g.after(replacementInterval, func() { g.checkReplaced(hasEnded || isGone) })
	}
	g.mu.Unlock()
	callAll(calls)
}

// forgetAnnouncement forgets what the previous process has announced. It is called with the gate's
// lock held and returns the calls to make after the lock is released.
func (g *Gate) forgetAnnouncement(now clock.Millis) []func() {
	g.announced, g.hasResponse, g.isTaught = announcement.Announcement{}, false, false
	return g.applyPace(now)
}

// LearnAnnouncement takes over what the backend server has announced to an entry, unless it has
// announced something to this gate itself. The latest of several limits applies.
func (g *Gate) LearnAnnouncement(a wire.Announcement) {
	g.mu.Lock()
	now := g.config.Now()
	if g.hasResponse || a.Started != g.upstream.Started {
		g.mu.Unlock()
		return
	}
	next := announcement.Announcement{IsLimited: g.announced.IsLimited, RateLimit: g.announced.RateLimit, IsLeaving: a.IsLeaving || g.announced.IsLeaving}
	if respondedAt := now - a.Age; !g.isTaught || respondedAt > g.announcedAt {
		g.isTaught, g.announcedAt = true, respondedAt
		next.IsLimited, next.RateLimit = a.IsLimited, a.RateLimit
	}
	calls := g.setAnnounced(now, next)
	g.mu.Unlock()
	callAll(calls)
}

// inheritAnnouncement takes over what the backend server announced to the previous gate, if its
// process is the same.
func (g *Gate) inheritAnnouncement(previous *Gate) {
	if previous == nil {
		return
	}
	previous.mu.Lock()
	announced, announcedAt, hasResponse, u := previous.announced, previous.announcedAt, previous.hasResponse, previous.upstream
	previous.mu.Unlock()
	if u.Address == g.upstream.Address && u.Started == g.upstream.Started {
		g.hasResponse, g.announcedAt = hasResponse, announcedAt
		callAll(g.setAnnounced(g.createdAt, announced)) // no request waits yet, so there are no calls
	}
}

// applyPace applies the backend server's rate limit to the slots. It is called with the gate's
// lock held and returns the calls to make after the lock is released.
func (g *Gate) applyPace(now clock.Millis) []func() {
	var admitted []uint64
	if g.announced.IsLimited {
		admitted = g.slots.SetPace(now, g.announced.RateLimit)
	} else {
		admitted = g.slots.ClearPace(now)
	}
	if g.pacedTimer != nil {
		g.pacedTimer.Stop() // it was set for the previous limit
		g.pacedTimer = nil
	}
	calls := g.refuseExpired(now) // waiters whose turn would come too late
	return append(calls, g.startWaiters(now, admitted)...)
}

// schedulePaced starts a timer for the waiters that wait only for the backend server's rate
// limit, if there are any. It is called with the gate's lock held.
func (g *Gate) schedulePaced(now clock.Millis) {
	wait, ok := g.slots.NextPaced(now)
	if !ok || g.pacedTimer != nil {
		return
	}
	g.pacedTimer = g.after(wait, g.startPaced)
}

// startPaced starts the waiters that the backend server's rate limit admits now.
func (g *Gate) startPaced() {
	g.mu.Lock()
	g.pacedTimer = nil
	now := g.config.Now()
	calls := g.refuseExpired(now) // first, so that no slot goes to an expired waiter
	calls = append(calls, g.startWaiters(now, g.slots.AdmitPaced(now))...)
	g.mu.Unlock()
	callAll(calls)
}
