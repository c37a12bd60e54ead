package gate

import (
	"math"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Announcement is what a backend server states about itself in a response.
type Announcement struct {
	// IsLimited means that the backend server names a rate limit, RateLimit is that limit in
	// requests per second from all nodes together.
	IsLimited bool
	RateLimit float64
	// IsLeaving means that the backend server shuts down. This doesn't change any more for
	// this process.
	IsLeaving bool
	// IsForeign means that the response comes from another upstream, so that the
	// announcement says nothing about this one.
	IsForeign bool
	// Malformed is a rate limit that isn't a number of requests per second.
	Malformed string
}

// leavingValue is the value of Headers.Leaving in the responses of a leaving backend server.
const leavingValue = "1"

// announcement returns what the backend server states about itself in a response.
func (h *Headers) announcement(response *fasthttp.Response) Announcement {
	limit, isLimited := headerValue(response, h.RateLimit)
	leaving, _ := headerValue(response, h.Leaving)
	a := newAnnouncement(string(limit), isLimited, string(leaving))
	a.IsForeign = h.Instance != "" && response.StatusCode() == fasthttp.StatusMisdirectedRequest
	return a
}

// Announcement returns what a backend server states about itself in the headers of its
// response.
func (h *Headers) Announcement(headers wire.Headers) Announcement {
	limit, isLimited := headers.Get(h.RateLimit)
	leaving, _ := headers.Get(h.Leaving)
	return newAnnouncement(string(limit), isLimited, string(leaving))
}

func newAnnouncement(limit string, isLimited bool, leaving string) Announcement {
	a := Announcement{IsLeaving: leaving == leavingValue}
	if !isLimited {
		return a
	}
	rate, err := strconv.ParseFloat(limit, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		a.Malformed = limit
		return a
	}
	a.IsLimited, a.RateLimit = true, rate
	return a
}

// recordAnnouncement records what the backend server states about itself, and applies its rate
// limit. It is called with the gate's lock held and returns the calls to make after the lock is
// released.
func (g *Gate) recordAnnouncement(now clock.Millis, a Announcement) []func() {
	switch {
	case a.IsForeign:
		return nil
	case a.Malformed != "":
		g.log.WithField("limit", a.Malformed).Warn("rate limit of the backend server ignored; it isn't a number of requests per second")
		a.IsLimited, a.RateLimit = g.announced.IsLimited, g.announced.RateLimit
	}
	previous := g.announced
	g.announced = Announcement{IsLimited: a.IsLimited, RateLimit: a.RateLimit, IsLeaving: a.IsLeaving || previous.IsLeaving}
	if g.announced == previous {
		return nil
	}
	g.log.WithFields(logrus.Fields{"limited": g.announced.IsLimited, "limit": g.announced.RateLimit, "leaving": g.announced.IsLeaving}).Info("backend server announced a change")
	return g.applyPace(now)
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
	g.pacedTimer = time.AfterFunc(wait.Duration(), g.startPaced)
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
