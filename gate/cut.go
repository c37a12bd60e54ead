package gate

import (
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// maxLoggedCuts limits the lines about the requests that a gate's node cuts when it stops.
const maxLoggedCuts = 16

// Cut replies to all dispatches for a node that stops now, those of previous gates included, and
// returns how many of them run: no other process can tell their entries that these runs are cut. The
// others are refused.
func (g *Gate) Cut() (running int) {
	for current := g; current != nil; current = current.previous.Load() {
		running += current.cut()
	}
	return running
}

func (g *Gate) cut() (running int) {
	g.mu.Lock()
	now := g.config.Now()
	calls := make([]func(), 0, len(g.jobs))
	for _, j := range g.jobs {
		if j.isCut {
			continue
		}
		j.isCut = true
		if len(calls) < maxLoggedCuts {
			g.logCut(now, j)
		}
		reply := g.reply(now, j.dispatch)
		if j.running {
			running++
			reply.Outcome, reply.Reason = wire.Broken, wire.ReasonNodeStopped
			g.dedup.Finish(j.key, retainedReply(j.dispatch, reply))
		} else {
			reply.Outcome, reply.Reason = wire.NotRun, wire.ReasonLeaving
			g.dedup.Refuse(j.key)
		}
		calls = append(calls, func() { j.respond(reply) })
	}
	g.mu.Unlock()
	callAll(calls)
	return running
}

// logCut is called with the gate's lock held.
func (g *Gate) logCut(now clock.Millis, j *job) {
	fields := logrus.Fields{
		"request": wire.RequestName(j.dispatch.CallerRequestID, j.dispatch.ID),
		"running": j.running,
		"once":    !j.dispatch.Repeatable,
		"left":    (j.deadline - now).String(),
	}
	if j.running {
		fields["took"] = (now - j.began).String()
	}
	g.log.WithFields(fields).Warn("request cut at the backend server; its node stops")
}

// respondUnlessCut returns the call that sends the reply to a job that has ended, unless Cut has
// replied. It is called with the gate's lock held.
func (j *job) respondUnlessCut(reply *wire.Reply) func() {
	if j.isCut {
		return func() {}
	}
	return func() { j.respond(reply) }
}
