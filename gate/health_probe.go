package gate

import "fuchsiapick.example/fuchsiapick/clock"

// ProbeHealth requests the backend server's health endpoint, if the table names one and the
// detector records probes, and passes the result to the detector. It blocks until the
// response arrives or the probe times out.
func (g *Gate) ProbeHealth() {
	g.mu.Lock()
	path := g.service.ProbePath
	recorder, usesProbes := g.detector.(probeRecorder)
	g.mu.Unlock()
	if path == "" || !usesProbes {
		return
	}
	ok := g.config.Backend.Probe(path)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	recorder.RecordProbe(now, ok)
	g.recordState(now)
}

// probeRecorder is a detector that uses health checks. A check takes 25 ms of a slot, and is
// useless where the health endpoint reports success during a failure episode, too.
type probeRecorder interface {
	RecordProbe(now clock.Millis, ok bool)
}
