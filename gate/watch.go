package gate

import (
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
	"fuchsiapick.example/fuchsiapick/head"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/wire"
)

// runDetector is a detector that tracks runs from their beginning.
type runDetector interface {
	Begin(now clock.Millis, u episode.TypicalLatency) *episode.Run
	End(now clock.Millis, r *episode.Run, o health.Observation) bool
	NextCheck(now clock.Millis, r *episode.Run) clock.Millis
	HangProbability(now clock.Millis, r *episode.Run) float64
}

// watchRun begins to observe a run and schedules its first check. It is called with the gate's
// lock held.
func (g *Gate) watchRun(now clock.Millis, j *job) {
	next := now + g.detector.OverdueAfter()
	if detector, ok := g.detector.(runDetector); ok {
		j.run = detector.Begin(now, typicalLatency(j.dispatch))
		next = detector.NextCheck(now, j.run)
	}
	j.timer = g.after(next-now, func() { g.checkRun(j) })
}

// typicalLatency returns the latency of the dispatch's route as its entry reports it.
func typicalLatency(d *wire.Dispatch) episode.TypicalLatency {
	return episode.TypicalLatency{Median: d.MedianTime, Spread: d.LogStdDev, HangShare: episode.HangShare(d.Hanging)}
}

// checkRun evaluates a run that has not ended yet, and schedules the next check. A hung backend
// server produces no outcomes, and once hung runs hold all slots there is no other evidence.
func (g *Gate) checkRun(j *job) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.jobs[j.ticket]; !ok || j.generation != g.generation {
		return
	}
	now := g.config.Now()
	next := now + g.detector.OverdueAfter()
	if detector, ok := g.detector.(runDetector); ok && j.run != nil {
		next = detector.NextCheck(now, j.run)
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

// hungThreshold is the probability of a hang at which the entry is notified.
const hungThreshold = 0.8

// isHung reports whether a repeatable run has most likely hung and there is time to run it
// elsewhere. It is called with the gate's lock held.
func (g *Gate) isHung(now clock.Millis, j *job) bool {
	detector, ok := g.detector.(runDetector)
	if !ok || j.run == nil || !j.dispatch.Repeatable || j.deadline-now < j.dispatch.MedianTime {
		return false
	}
	return detector.HangProbability(now, j.run) >= hungThreshold
}

// observeRun passes the outcome of a run to the detector. A failure response counts as the
// caller's fault if a dependency failed during the run. It is called with the gate's lock held.
func (g *Gate) observeRun(now clock.Millis, j *job, response Response, err error) {
	result := classifyResult(response, err, j.deadline-j.began < g.detector.OverdueAfter())
	if result == health.Failed && err == nil && g.dependencyFailed(j.began, now) {
		result = health.CallerFault
	}
	isTruncated := errors.Is(err, ErrTruncated) || errors.Is(err, ErrCrashed) || errors.Is(err, head.ErrTooLarge)
	o := health.Observation{Result: result, Latency: now - j.began, Caller: j.dispatch.Caller, IsTruncated: isTruncated}
	switch detector, ok := g.detector.(runDetector); {
	case ok && j.run != nil:
		detector.End(now, j.run, o)
	case !j.overdue:
		g.detector.Observe(now, o)
	}
}
