package path_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/path"
)

// probeSimulation runs a probe of a path in virtual time. Messages are answered after the
// given time, pings after roundTripTime. No answer arrives once the path is cut.
type probeSimulation struct {
	probe     path.Probe
	answers   map[clock.Millis][]clock.Millis // times of sending by time of the answer
	nextCheck clock.Millis                    // 0 without a scheduled check
	cutAt     clock.Millis                    // when the path is cut, 0 for never
	pings     int
	losses    []clock.Millis
}

const (
	roundTripTime clock.Millis = 2
	responseTime  clock.Millis = 400
)

func (p *probeSimulation) send(now, delay clock.Millis) {
	p.probe.Sent(now)
	p.answer(now, delay)
	if p.nextCheck == 0 {
		p.nextCheck = now + path.PingDelay
	}
}

func (p *probeSimulation) answer(sent, delay clock.Millis) {
	if p.cutAt == 0 || sent+delay < p.cutAt {
		p.answers[sent+delay] = append(p.answers[sent+delay], sent)
	}
}

func (p *probeSimulation) step(now clock.Millis) {
	for _, sent := range p.answers[now] {
		p.probe.Answered(sent)
	}
	if p.nextCheck == 0 || now < p.nextCheck {
		return
	}
	action, after := p.probe.Check(now)
	p.nextCheck = 0
	switch action {
	case path.Ping:
		p.pings++
		p.answer(now, roundTripTime)
		p.nextCheck = now + after
	case path.Wait:
		p.nextCheck = now + after
	case path.DeclareLost:
		p.losses = append(p.losses, now)
	case path.NoAction:
	}
}

// Guards against a cut path that is used until heartbeats are missed, which takes seconds.
// The path is cut while calls of 1.1 s use it; without pings each of them waits for its
// deadline.
func TestCutPathIsLostAfterFirstUnansweredRequest(t *testing.T) {
	p := &probeSimulation{answers: map[clock.Millis][]clock.Millis{}, cutAt: 5000}
	for now := clock.Millis(1); now < 8000; now++ {
		if now%700 == 0 {
			p.send(now, responseTime)
		}
		p.step(now)
	}
	// The first request after the cut is sent at 5.6 s.
	want := 5600 + path.PingDelay + path.PingTimeout
	if len(p.losses) == 0 || p.losses[0] != want {
		t.Errorf("got the path lost at %v, want %v", p.losses, want)
	}
}

// Guards against too many pings on a busy path that works, and against its loss.
func TestWorkingPathIsPingedAtMostOncePerRequest(t *testing.T) {
	p := &probeSimulation{answers: map[clock.Millis][]clock.Millis{}}
	requests := 0
	for now := clock.Millis(1); now < clock.Minute; now++ {
		if now%130 == 0 {
			p.send(now, responseTime)
			requests++
		}
		p.step(now)
	}
	if len(p.losses) > 0 {
		t.Errorf("got the path lost at %v, want never", p.losses)
	}
	if p.pings > requests {
		t.Errorf("got %d pings for %d requests, want at most one each", p.pings, requests)
	}
}

// A refusal arrives within a round trip, so that no ping is needed.
func TestPromptAnswersNeedNoPing(t *testing.T) {
	p := &probeSimulation{answers: map[clock.Millis][]clock.Millis{}}
	for now := clock.Millis(1); now < 10*clock.Second; now++ {
		if now%100 == 0 {
			p.send(now, roundTripTime)
		}
		p.step(now)
	}
	if p.pings > 0 {
		t.Errorf("got %d pings, want none", p.pings)
	}
}

// Guards against the loss of all paths after a pause of this process. The process is paused
// for a second while a ping is unanswered, and the answer is still unread afterwards.
func TestPausedProcessPingsAgain(t *testing.T) {
	var p path.Probe
	p.Sent(1000)
	if got, _ := p.Check(1000 + path.PingDelay); got != path.Ping {
		t.Fatalf("got %v, want a ping", got)
	}
	resumed := 1000 + path.PingDelay + clock.Second
	if got, after := p.Check(resumed); got != path.Ping || after != path.PingTimeout {
		t.Errorf("got %v after a pause, want another ping", got)
	}
	p.Answered(resumed)
	if got, _ := p.Check(resumed + path.PingTimeout); got != path.NoAction {
		t.Errorf("got %v after the answer, want no action", got)
	}
}
