package gate

import (
	"time"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/wire"
)

// runDetector is a judge that is told of runs before their outcomes.
type runDetector interface {
	Begin(now clock.Millis, u episode.TypicalLatency) *episode.Run
	End(now clock.Millis, r *episode.Run, o health.Observation) bool
	NextCheck(now clock.Millis, r *episode.Run) clock.Millis
	HangProbability(now clock.Millis, r *episode.Run) float64
}

// watchRun looks at a run from time to time while it comes to no end. The gate's lock is held.
func (g *Gate) watchRun(now clock.Millis, j *job) {
	next := now + g.detector.OverdueAfter()
	if judge, ok := g.detector.(runDetector); ok {
		j.run = judge.Begin(now, typicalLatency(j.dispatch))
		next = judge.NextCheck(now, j.run)
	}
	j.timer = time.AfterFunc((next - now).Duration(), func() { g.checkRun(j) })
}

// typicalLatency is what an entry tells of the runs of a dispatch's route.
func typicalLatency(d *wire.Dispatch) episode.TypicalLatency {
	return episode.TypicalLatency{Median: d.MedianTime, Spread: d.LogStdDev, HangShare: episode.HangShare(d.Hanging)}
}

// checkRun takes in that a run has come to no end yet: a backend server that hangs gives no
// outcome to count, and slots that are all held by a hang no other evidence.
func (g *Gate) checkRun(j *job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.jobs[j.ticket]; !ok || j.generation != g.generation {
		return
	}
	now := g.config.Now()
	next := now + g.detector.OverdueAfter()
	if judge, ok := g.detector.(runDetector); ok && j.run != nil {
		next = judge.NextCheck(now, j.run)
	} else {
		g.detector.Observe(now, health.Observation{Result: health.Overdue, Caller: j.dispatch.Caller, StillOverdue: j.overdue})
		j.overdue = true
	}
	j.timer.Reset((next - now).Duration())
	g.recordState(now)
	if g.config.OnHung != nil && g.isHung(now, j) {
		g.config.OnHung(j.dispatch.ID.Entry, &wire.HungRun{ID: j.dispatch.ID, Attempt: j.dispatch.Attempt})
	}
}

// hungThreshold is the probability of a hang at which the entry is told.
const hungThreshold = 0.8

// isHung reports whether a run most likely comes to no end while there is time for
// another one elsewhere. The gate's lock is held.
func (g *Gate) isHung(now clock.Millis, j *job) bool {
	judge, ok := g.detector.(runDetector)
	if !ok || j.run == nil || !j.dispatch.Repeatable || j.deadline-now < j.dispatch.MedianTime {
		return false
	}
	return judge.HangProbability(now, j.run) >= hungThreshold
}

// observeRun tells the judge what became of a run.
func (g *Gate) observeRun(now clock.Millis, j *job, a Response, err error) {
	result := resultOf(a, err, j.deadline-j.began < g.detector.OverdueAfter())
	if result == health.Failed && err == nil && g.dependencyFailed(j.began, now) {
		result = health.CallerFault
	}
	o := health.Observation{Result: result, Latency: now - j.began, Caller: j.dispatch.Caller, IsTruncated: errors.Is(err, ErrTruncated) || errors.Is(err, ErrCrashed)}
	switch judge, ok := g.detector.(runDetector); {
	case ok && j.run != nil:
		judge.End(now, j.run, o)
	case !j.overdue:
		g.detector.Observe(now, o)
	}
}
