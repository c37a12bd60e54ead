package path_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/path"
)

// probed plays a probe on a path in virtual time. Messages are answered after work, pings
// after a round trip; both only while the path isn't cut.
type probed struct {
	probe   path.Probe
	answers map[clock.Millis][]clock.Millis // what was sent, by when its answer comes
	check   clock.Millis                    // when the next one is due, 0 without one
	cut     clock.Millis                    // since when nothing arrives, 0 for never
	pings   int
	stalls  []clock.Millis
}

const (
	roundTrip clock.Millis = 2
	work      clock.Millis = 400
)

func (p *probed) send(now, took clock.Millis) {
	p.probe.Sent(now)
	p.answer(now, took)
	if p.check == 0 {
		p.check = now + path.PingDelay
	}
}

func (p *probed) answer(sent, took clock.Millis) {
	if p.cut == 0 || sent+took < p.cut {
		p.answers[sent+took] = append(p.answers[sent+took], sent)
	}
}

func (p *probed) step(now clock.Millis) {
	for _, sent := range p.answers[now] {
		p.probe.Answered(sent)
	}
	if p.check == 0 || now < p.check {
		return
	}
	action, after := p.probe.Check(now)
	p.check = 0
	switch action {
	case path.Ping:
		p.pings++
		p.answer(now, roundTrip)
		p.check = now + after
	case path.Wait:
		p.check = now + after
	case path.DeclareLost:
		p.stalls = append(p.stalls, now)
	case path.NoAction:
	}
}

// A path between two nodes is cut while calls of 1.1 s go over it. Each of them waited for
// its deadline, for seconds until heartbeats were missed.
func TestCutPathIsFoundByItsFirstUnansweredRequest(t *testing.T) {
	p := &probed{answers: map[clock.Millis][]clock.Millis{}, cut: 5000}
	for now := clock.Millis(1); now < 8000; now++ {
		if now%700 == 0 {
			p.send(now, work)
		}
		p.step(now)
	}
	// the first request after the cut is that of 5.6 s
	want := 5600 + path.PingDelay + path.PingTimeout
	if len(p.stalls) == 0 || p.stalls[0] != want {
		t.Errorf("got the path stalled at %v, want %v", p.stalls, want)
	}
}

// A busy path that works is pinged at most once a request, and never lost.
func TestWorkingPathIsSeldomPinged(t *testing.T) {
	p := &probed{answers: map[clock.Millis][]clock.Millis{}}
	requests := 0
	for now := clock.Millis(1); now < clock.Minute; now++ {
		if now%130 == 0 {
			p.send(now, work)
			requests++
		}
		p.step(now)
	}
	if len(p.stalls) > 0 {
		t.Errorf("got the path stalled at %v, want never", p.stalls)
	}
	if p.pings > requests {
		t.Errorf("got %d pings for %d requests, want at most one each", p.pings, requests)
	}
}

// Refusals come back within a round trip and need no ping.
func TestAnsweredAtOnceIsNotPinged(t *testing.T) {
	p := &probed{answers: map[clock.Millis][]clock.Millis{}}
	for now := clock.Millis(1); now < 10*clock.Second; now++ {
		if now%100 == 0 {
			p.send(now, roundTrip)
		}
		p.step(now)
	}
	if p.pings > 0 {
		t.Errorf("got %d pings, want none", p.pings)
	}
}

// This process is paused for a second with a ping under way, whose answer waits unread.
// All its paths looked lost when it woke.
func TestPausedProcessPingsAgain(t *testing.T) {
	var p path.Probe
	p.Sent(1000)
	if got, _ := p.Check(1000 + path.PingDelay); got != path.Ping {
		t.Fatalf("got %v, want a ping", got)
	}
	woke := 1000 + path.PingDelay + clock.Second
	if got, after := p.Check(woke); got != path.Ping || after != path.PingTimeout {
		t.Errorf("got %v after a pause, want another ping", got)
	}
	p.Answered(woke)
	if got, _ := p.Check(woke + path.PingTimeout); got != path.NoAction {
		t.Errorf("got %v after the answer, want rest", got)
	}
}
