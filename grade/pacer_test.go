package grade_test

import (
	"math/rand/v2"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/grade"
)

// Only 20 of 81 entries have requests for a service that other backend servers
// call. With spans meant for 81, an upstream that was set aside gets a trial
// every four seconds: it stays out long after its episode, and for two seconds at
// a time gets nothing at all. The reports come with heartbeats of 2 s.
func TestTrialsComeOnceAGapWhoeverSends(t *testing.T) {
	for _, senders := range []int{5, 20, 81} {
		const entries, beat = 81, 2 * clock.Second
		random := rand.New(rand.NewPCG(uint64(senders), 0))
		pacers := make([]*grade.Pacer, senders)
		next := make([]clock.Millis, senders)
		for i := range pacers {
			pacers[i] = grade.NewPacer(entries)
			next[i] = clock.Millis(random.Int64N(int64(pacers[i].Span(grade.Certain))))
		}
		var gate grade.Trials
		told, late := uint32(0), uint32(0)
		for now := clock.Millis(1); now <= 2*clock.Minute; now++ {
			for i := range pacers {
				if now >= next[i] {
					gate.Admit(now, 0.99, true)
					span := pacers[i].Span(grade.Certain)
					next[i] = now + span/2 + clock.Millis(random.Int64N(int64(span)))
				}
			}
			if now%beat == 0 {
				for _, p := range pacers {
					p.Told(gate.Count-told, beat, grade.Certain, entries)
				}
				told = gate.Count
			}
			if now == clock.Minute {
				late = gate.Count
			}
		}
		if got := gate.Count - late; got < 40 || got > 90 {
			t.Errorf("%d senders: got %d trials in the second minute, want 60 within a third or a half more", senders, got)
		}
	}
}
