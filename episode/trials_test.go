package episode_test

import (
	"math/rand/v2"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
)

// Only 20 of 81 entries have requests for a service that other backend servers
// call. With spans meant for 81, an upstream that was set aside gets a trial
// every four seconds: it stays out long after its episode, and for two seconds at
// a time gets nothing at all. Its gate invites one entry each 100 ms, those that
// sent before, and each follows with its next request, if that comes in time.
func TestTrialsComeOnceAGapWhoeverSends(t *testing.T) {
	for _, senders := range []int{5, 20, 81} {
		const perSecond, stands = 33.0, clock.Second
		random := rand.New(rand.NewPCG(uint64(senders), 0))
		invited := make([]clock.Millis, senders)
		var gate episode.Trials
		trials, turn := 0, 0
		for now := clock.Millis(1); now <= 2*clock.Minute; now++ {
			if now%100 == 0 && gate.Due(now, 0.99) {
				turn++
				invited[turn%senders] = now + stands
			}
			if random.Float64() >= perSecond/1000 {
				continue
			}
			i := random.IntN(senders)
			if invited[i] < now {
				continue
			}
			invited[i] = 0
			if gate.Admit(now, 0.99, true) {
				gate.RecordResult(false)
				if now > clock.Minute {
					trials++
				}
			}
		}
		if trials < 40 || trials > 90 {
			t.Errorf("%d senders: got %d trials in the second minute, want 60 within a third or a half more", senders, trials)
		}
	}
}

// An upstream in use gets nothing for a while, as others are nearer. What is known
// of it fades to doubt, so that nobody chooses it; it isn't set aside either, and
// would never be tried again.
func TestIdleUpstreamWantsARequest(t *testing.T) {
	var trials episode.Trials
	trials.RecordStart(1000)
	for _, tt := range []struct {
		at   clock.Millis
		want bool
	}{{1001, false}, {1900, false}, {2000, true}} {
		if got := trials.Due(tt.at, 0.1); got != tt.want {
			t.Errorf("at %v: got due %v, want %v", tt.at, got, tt.want)
		}
	}
}

// An upstream has recovered. After the first trial that succeeds the next ones
// must not wait a second each, or it idles for four; one that fails slows them.
func TestTrialsFollowOneThatSucceeded(t *testing.T) {
	var trials episode.Trials
	trials.Admit(1000, 0.99, true)
	if got := trials.Due(1500, 0.99); got {
		t.Error("got a trial due half a second after the last, want none")
	}
	trials.RecordResult(true)
	if got := trials.Due(1500, 0.97); !got {
		t.Error("got none due after one that succeeded, want one")
	}
	trials.Admit(1500, 0.97, true)
	trials.RecordResult(false)
	if got := trials.Due(2000, 0.99); got {
		t.Error("got a trial due half a second after one that failed, want none")
	}
}
