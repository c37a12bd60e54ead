package path_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/path"
)

// The draws are the same on every run unless -rapid.seed is given.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const beat clock.Millis = 100

// peer is a stand-in for a peer and the network to it, in virtual time.
type peer struct {
	judge *path.Detector
	// out and in say whether frames pass from the entry and to it; silent that
	// they don't on the link now open, in either direction, but on a new one.
	out, in, silent bool
	// paused says that this entry's own process doesn't run.
	paused bool
	// idle says that the entry has closed the link for want of requests.
	idle    bool
	heard   clock.Millis
	dialled clock.Millis
	dials   int
}

func (p *peer) tick(now clock.Millis) path.State {
	if now%beat == 0 && p.out && !p.silent {
		p.heard = now
	}
	if now%beat == beat/2 && p.in && !p.silent {
		p.judge.Received(now)
		p.judge.Echoed(now, p.heard)
	}
	switch {
	case p.dialled > 0 && p.out && p.in:
		p.silent, p.heard, p.dialled = false, now, 0
		p.judge.Opened(now)
	case p.dialled > 0 && now-p.dialled >= beat/2:
		p.dialled = 0
		p.judge.Failed(now)
	}
	if !p.idle && p.judge.ShouldDial(now) {
		p.dials++
		p.dialled = now
	}
	return p.judge.State(now)
}

// event changes the stand-in at an instant.
type event struct {
	at clock.Millis
	do func(p *peer)
}

// play runs the events until an instant and tells the changes of state.
func play(events []event, until clock.Millis) (*peer, string) {
	p := &peer{judge: path.New(path.Config{HeartbeatInterval: beat, Seed: 1}), out: true, in: true}
	var told []string
	last := path.Good
	for now := clock.Millis(10); now <= until; now += 10 {
		for len(events) > 0 && events[0].at <= now {
			events[0].do(p)
			events = events[1:]
		}
		if p.paused {
			continue
		}
		if state := p.tick(now); state != last {
			told = append(told, fmt.Sprintf("%d %s", now, []string{"good", "doubted", "lost"}[state]))
			last = state
		}
	}
	return p, strings.Join(told, ", ")
}

func set(at clock.Millis, out, in bool) event {
	return event{at, func(p *peer) { p.out, p.in = out, in }}
}

func TestStories(t *testing.T) {
	tests := []struct {
		// The story: what a user would see were it not judged so.
		name, story string
		events      []event
		want        string
		dials       int
	}{
		{
			"well", "A path that works is dialled once and never doubted.",
			nil, "", 1,
		},
		{
			"unreachable from the start", "An entry starts while the peer is down: requests " +
				"sent to it would wait for an answer that can't come.",
			[]event{set(0, false, false), set(5000, true, true)},
			"60 lost, 5080 good", 7,
		},
		{
			"paused peer", "The peer's process stops at 1000 with its connections open and " +
				"goes on at 3000: requests sent in between would hang.",
			[]event{set(1000, false, false), set(3000, true, true)},
			"1160 doubted, 1210 lost, 3050 good", 6,
		},
		{
			"cut towards the peer", "Heartbeats keep coming, requests don't arrive: judged by " +
				"its frames alone the path would look well and lose every request.",
			[]event{set(1000, false, true), set(3000, true, true)},
			"1150 doubted, 1200 lost, 3050 good", 6,
		},
		{
			"cut towards the entry", "The peer runs what it gets, its answers are lost.",
			[]event{set(1000, true, false), set(3000, true, true)},
			"1160 doubted, 1210 lost, 3050 good", 6,
		},
		{
			"silent link", "Something between the two has forgotten the connection; a new one " +
				"works. The doubt's check finds it, no capacity is lost and what was sent is settled.",
			[]event{
				{1000, func(p *peer) { p.silent = true }},
				{1100, func(p *peer) { p.judge.Sent(1100, 7, 1200) }},
				{1250, func(p *peer) { p.judge.Completed(1250, 7) }},
			},
			"1160 doubted, 1170 good", 2,
		},
		{
			"overdue answer", "A request hangs at the upstream while both beat: one check, " +
				"and the path isn't blamed for it.",
			[]event{{1000, func(p *peer) { p.judge.Sent(1000, 7, 1200) }}},
			"1210 doubted, 1220 good", 2,
		},
		{
			"broken link", "The peer's process is replaced: the link breaks, the next one works.",
			[]event{{1000, func(p *peer) { p.judge.Closed(1000) }}},
			"1000 doubted, 1010 good", 2,
		},
		{
			"idle link", "No caller comes from 1000 to 9000 and the link is closed meanwhile. The " +
				"first request after it must find the path as good as before.",
			[]event{
				{1000, func(p *peer) { p.idle, p.in, p.out = true, false, false; p.judge.ClosedIdle(1000) }},
				{9000, func(p *peer) { p.idle, p.in, p.out = false, true, true }},
			},
			"", 2,
		},
		{
			"paused entry", "This process stops from 1000 to 9000. All its peers look silent " +
				"when it wakes; were they lost, it would refuse every caller.",
			[]event{{1000, func(p *peer) { p.paused = true }}, {9000, func(p *peer) { p.paused = false }}},
			"", 1,
		},
		{
			"paused entry, peer gone meanwhile", "It wakes and the peer is really down.",
			[]event{
				{1000, func(p *peer) { p.paused = true }},
				{9000, func(p *peer) { p.paused, p.out, p.in = false, false, false }},
			},
			"9210 doubted, 9260 lost", 7,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, got := play(tt.events, 12000)
			if got != tt.want || p.dials != tt.dials {
				t.Errorf("got %q after %d dials, want %q after %d", got, p.dials, tt.want, tt.dials)
			}
		})
	}
}

// A loose cable cuts the path for half a second of each second, for a minute.
// With each return at once, every cycle cuts off the answers of a whole half
// second; with a growing hold the path is tried a few times.
func TestFlappingPathIsHeldOff(t *testing.T) {
	var events []event
	for at := clock.Second; at < clock.Minute; at += clock.Second {
		events = append(events, set(at, false, false), set(at+500, true, true))
	}
	p, got := play(append(events, set(clock.Minute, true, true)), 90*clock.Second)
	if returns := strings.Count(got, "good"); returns > 25 {
		t.Errorf("got %d returns in 59 cycles, want at most 25", returns)
	}
	if state := p.judge.State(90 * clock.Second); state != path.Good {
		t.Errorf("steady again: got state %v, want %v", state, path.Good)
	}
}

// An upstream behind the peer hangs, so that a request becomes overdue every
// 300 ms while both sides beat. Checked each time, the peer would get a
// handshake for every request of every entry, just when it is in trouble.
func TestChecksOfAHangAreFew(t *testing.T) {
	var events []event
	for at := clock.Second; at < clock.Minute; at += 300 {
		events = append(events, event{at, func(p *peer) { p.judge.Sent(at, uint64(at), at+200) }})
	}
	p, got := play(events, clock.Minute)
	if strings.Contains(got, "lost") || p.dials > 50 {
		t.Errorf("got %q after %d dials, want none lost and at most 50 dials for 197 requests", got, p.dials)
	}
}

// A peer is lost by a hundred entries in the same millisecond. Were they to
// dial it on the same schedule, its return would begin with a hundred
// handshakes at once.
func TestRedialsSpread(t *testing.T) {
	dials := make(map[clock.Millis]int)
	for seed := range uint64(100) {
		j := path.New(path.Config{HeartbeatInterval: beat, Seed: seed})
		j.ShouldDial(0)
		j.Failed(0)
		for now := clock.Millis(0); ; now++ {
			if j.ShouldDial(now) {
				dials[now/10]++
				break
			}
		}
	}
	for tenth, got := range dials {
		if got > 25 {
			t.Errorf("got %d of 100 dials within 10 ms of %v, want at most 25", got, 10*tenth)
		}
	}
}

func TestOverdueIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j, now, due := path.New(path.Config{HeartbeatInterval: beat}), beat, make(map[uint64]clock.Millis)
		j.Opened(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(1, 90).Draw(t, "span"))
			j.Received(now)
			j.Echoed(now, now)
			id := rapid.Uint64Range(0, 9).Draw(t, "id")
			if rapid.Bool().Draw(t, "sent") {
				due[id] = now + clock.Millis(rapid.IntRange(0, 300).Draw(t, "due"))
				j.Sent(now, id, due[id])
			} else {
				delete(due, id)
				j.Completed(now, id)
			}
			want := path.Good
			for _, d := range due {
				if d < now {
					want = path.Suspected
				}
			}
			if got := j.State(now); got != want {
				t.Fatalf("at %v with %v: got %v, want %v", now, due, got, want)
			}
		}
	})
}

func TestSentIsBounded(t *testing.T) {
	j := path.New(path.Config{HeartbeatInterval: beat})
	id := uint64(0)
	sent := func() {
		id++
		j.Sent(0, id, 1)
	}
	many := func() {
		for range 10000 {
			sent()
		}
	}
	if got := testing.AllocsPerRun(1, many); got != 0 {
		t.Errorf("got %v allocations for a request beyond the bound, want 0", got)
	}
}

// A node is restarted in half a second, and heartbeats come every two: an entry
// that waited a heartbeat or more between two dials would keep away from a sound
// upstream for seconds.
func TestRedialIsIndependentOfTheBeat(t *testing.T) {
	j := path.New(path.Config{HeartbeatInterval: 2 * clock.Second, RedialDelay: 250, Seed: 1})
	if !j.ShouldDial(1000) {
		t.Fatal("got no first dial, want one")
	}
	j.Failed(1010)
	if j.ShouldDial(1100) {
		t.Error("got a dial 90 ms after a failed one, want a span of 125 ms at least")
	}
	if !j.ShouldDial(1010 + 376) {
		t.Error("got no dial 376 ms after a failed one, want one")
	}
}
