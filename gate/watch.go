package gate

import (
	"time"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/grade"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/wire"
)

// runJudge is a judge that is told of runs before their outcomes.
type runJudge interface {
	Begin(now clock.Millis, u grade.TypicalLatency) *grade.Run
	End(now clock.Millis, r *grade.Run, o health.Observation) bool
	Look(now clock.Millis, r *grade.Run) clock.Millis
	Hangs(now clock.Millis, r *grade.Run) float64
}

// watch looks at a run from time to time while it comes to no end. The gate's lock is held.
func (g *Gate) watch(now clock.Millis, j *job) {
	next := now + g.judge.OverdueAfter()
	if judge, ok := g.judge.(runJudge); ok {
		j.run = judge.Begin(now, usualOf(j.dispatch))
		next = judge.Look(now, j.run)
	}
	j.timer = time.AfterFunc((next - now).Duration(), func() { g.look(j) })
}

// usualOf is what an entry tells of the runs of a dispatch's route.
func usualOf(d *wire.Dispatch) grade.TypicalLatency {
	return grade.TypicalLatency{Median: d.Usual, Spread: d.Spread, HangShare: grade.HangShare(d.Hanging)}
}

// look takes in that a run has come to no end yet: a backend server that hangs gives no
// outcome to count, and slots that are all held by a hang no other evidence.
func (g *Gate) look(j *job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.jobs[j.ticket]; !ok || j.life != g.life {
		return
	}
	now := g.config.Now()
	next := now + g.judge.OverdueAfter()
	if judge, ok := g.judge.(runJudge); ok && j.run != nil {
		next = judge.Look(now, j.run)
	} else {
		g.judge.Observe(now, health.Observation{Result: health.Overdue, Caller: j.dispatch.Caller, StillOverdue: j.overdue})
		j.overdue = true
	}
	j.timer.Reset((next - now).Duration())
	g.noteState(now)
	if g.config.Stalled != nil && g.hasStalled(now, j) {
		g.config.Stalled(j.dispatch.ID.Entry, &wire.Stalled{ID: j.dispatch.ID, Attempt: j.dispatch.Attempt})
	}
}

// stalledAt is the probability of a hang at which the entry is told.
const stalledAt = 0.8

// hasStalled reports whether a run most likely comes to no end while there is time for
// another one elsewhere. The gate's lock is held.
func (g *Gate) hasStalled(now clock.Millis, j *job) bool {
	judge, ok := g.judge.(runJudge)
	if !ok || j.run == nil || !j.dispatch.Repeatable || j.until-now < j.dispatch.Usual {
		return false
	}
	return judge.Hangs(now, j.run) >= stalledAt
}

// judged tells the judge what became of a run.
func (g *Gate) judged(now clock.Millis, j *job, a Answer, err error) {
	result := resultOf(a, err, j.until-j.began < g.judge.OverdueAfter())
	if result == health.Failed && err == nil && g.excused(j.began, now) {
		result = health.CallerFault
	}
	o := health.Observation{Result: result, Latency: now - j.began, Caller: j.dispatch.Caller, IsTruncated: errors.Is(err, ErrTorn) || errors.Is(err, ErrCrashed)}
	switch judge, ok := g.judge.(runJudge); {
	case ok && j.run != nil:
		judge.End(now, j.run, o)
	case !j.overdue:
		g.judge.Observe(now, o)
	}
}
