package limit_test

import (
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
)

// pacedModel counts the requests that paced Slots admit.
type pacedModel struct {
	slots    *limit.Slots
	now      clock.Millis
	ticket   uint64
	running  int
	admitted []clock.Millis
}

func (m *pacedModel) admit(tickets ...uint64) {
	for range tickets {
		m.running++
		m.admitted = append(m.admitted, m.now)
	}
}

func (m *pacedModel) acquire(budget clock.Millis, priority int) limit.Decision {
	m.ticket++
	d := m.slots.Acquire(m.now, limit.Request{Ticket: m.ticket, Deadline: m.now + budget, Until: m.now + budget, Priority: priority})
	if d.Result == limit.Run {
		m.admit(m.ticket)
	}
	return d
}

func (m *pacedModel) release(free func(clock.Millis) (uint64, bool)) {
	m.running--
	if ticket, ok := free(m.now); ok {
		m.admit(ticket)
	}
	m.slots.Expire(m.now)
}

// Guards against slots that admit more requests per second than the upstream has named, whatever
// the order of requests, completions, unused slots and waits.
func TestPacedSlotsKeepToTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 10).Draw(t, "rate")
		m := &pacedModel{slots: limit.NewSlots(limit.SlotsConfig{Slots: 3, Queue: 6}), now: 1000}
		m.admit(m.slots.SetPace(m.now, rate)...)
		returned := 0
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			m.now += clock.Millis(rapid.IntRange(0, 400).Draw(t, "span"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				m.acquire(clock.Millis(rapid.IntRange(1, 5000).Draw(t, "budget")), rapid.IntRange(0, 3).Draw(t, "priority"))
			case 2:
				if m.running > 0 {
					m.release(m.slots.Release)
				}
			default:
				m.admit(m.slots.AdmitPaced(m.now)...)
				if m.running > 0 && returned < len(m.admitted) {
					returned++
					m.admitted = m.admitted[:len(m.admitted)-1] // it was not sent
					m.release(m.slots.Return)
				}
			}
			m.slots.Expire(m.now)
		}
		const window = 4 * clock.Second
		most := int(window.Seconds()*max(rate, 0.25) + max(rate, 1) + 1e-6)
		for i, from := range m.admitted {
			count := 0
			for _, at := range m.admitted[i:] {
				if at < from+window {
					count++
				}
			}
			if count > most {
				t.Fatalf("rate %v: got %d requests in %v from %v on, want at most %d", rate, count, window, from, most)
			}
		}
	})
}

// Guards against requests that wait for an upstream whose rate limit admits them only after
// their wait budget, instead of going to another upstream immediately.
func TestRequestBeyondThePaceIsRefusedImmediately(t *testing.T) {
	m := &pacedModel{slots: limit.NewSlots(limit.SlotsConfig{Slots: 3, Queue: 6}), now: 1000}
	m.slots.SetPace(m.now, 1)
	if got := m.acquire(1500, 0); got.Result != limit.Wait {
		t.Errorf("got %+v, want the request to wait the second until it is admitted", got)
	}
	got := m.acquire(1500, 0)
	if got.Result != limit.Paced {
		t.Errorf("got %+v, want the request refused, since it would be admitted after 2 s", got)
	}
	if got.RetryAfter < 2*clock.Second || got.RetryAfter > 3*clock.Second {
		t.Errorf("got RetryAfter %v, want about 2 s", got.RetryAfter)
	}
	if got := m.acquire(1500, 0); got.RetryAfter < 3*clock.Second {
		t.Errorf("got RetryAfter %v, want the next request told to come a second later", got.RetryAfter)
	}
}

// Guards against waiters that keep waiting for a turn that a lowered rate puts after their wait
// budget.
func TestLoweredPaceRefusesWaiters(t *testing.T) {
	m := &pacedModel{slots: limit.NewSlots(limit.SlotsConfig{Slots: 3, Queue: 6}), now: 1000}
	m.slots.SetPace(m.now, 1)
	m.acquire(1500, 0)
	m.slots.SetPace(m.now, 0.5)
	if got := m.slots.Expire(m.now); len(got) != 1 {
		t.Errorf("got %d waiters refused, want the only one", len(got))
	}
}

func TestClearedPaceAdmitsWaiters(t *testing.T) {
	m := &pacedModel{slots: limit.NewSlots(limit.SlotsConfig{Slots: 3, Queue: 6}), now: 1000}
	m.slots.SetPace(m.now, 0.5)
	m.acquire(clock.Minute, 0)
	if wait, ok := m.slots.NextPaced(m.now); !ok || wait != 2*clock.Second {
		t.Errorf("got wait %v, %v; want 2 s", wait, ok)
	}
	if got := m.slots.ClearPace(m.now); len(got) != 1 {
		t.Errorf("got %d waiters admitted, want 1", len(got))
	}
	if _, ok := m.slots.NextPaced(m.now); ok {
		t.Error("got a waiter that waits for the pace, want none")
	}
}
