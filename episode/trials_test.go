package episode_test

import (
	"math/rand/v2"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
)

// The rate of trials must not depend on how many entries have requests for the service.
// With an interval per entry sized for 81 entries, of which only 20 send, an ejected
// upstream gets a trial every four seconds and stays out long after its episode. Here the
// gate sends a work request to one sender each 100 ms while a trial is due; the sender
// responds with its next request, if that comes in time.
func TestTrialRateIsIndependentOfSenders(t *testing.T) {
	for _, senders := range []int{5, 20, 81} {
		const perSecond, workRequestTTL = 33.0, clock.Second
		random := rand.New(rand.NewPCG(uint64(senders), 0))
		workRequestUntil := make([]clock.Millis, senders)
		var gate episode.Trials
		trials, next := 0, 0
		for now := clock.Millis(1); now <= 2*clock.Minute; now++ {
			if now%100 == 0 && gate.Due(now, 0.99) {
				next++
				workRequestUntil[next%senders] = now + workRequestTTL
			}
			if random.Float64() >= perSecond/1000 {
				continue
			}
			i := random.IntN(senders)
			if workRequestUntil[i] < now {
				continue
			}
			workRequestUntil[i] = 0
			if gate.Admit(now, 0.99, true) {
				gate.RecordResult(false)
				if now > clock.Minute {
					trials++
				}
			}
		}
		if trials < 40 || trials > 90 {
			t.Errorf("%d senders: got %d trials in the second minute, want 60, a third less or half more at most", senders, trials)
		}
	}
}

// An upstream in use gets no requests for a while, because others are nearer. Its
// probability drifts to the stationary value, so that no entry chooses it, and it isn't
// ejected either: unless it becomes due for a request, it never gets one again.
func TestIdleUpstreamIsDueForARequest(t *testing.T) {
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

// An upstream has recovered. After the first successful trial the next ones must follow
// within less than a second each, or the upstream idles for four seconds. A failed trial
// restores the longer interval.
func TestTrialsSpeedUpAfterASuccess(t *testing.T) {
	var trials episode.Trials
	trials.Admit(1000, 0.99, true)
	if got := trials.Due(1500, 0.99); got {
		t.Error("got a trial due half a second after the last, want none")
	}
	trials.RecordResult(true)
	if got := trials.Due(1500, 0.97); !got {
		t.Error("got no trial due after one that succeeded, want one")
	}
	trials.Admit(1500, 0.97, true)
	trials.RecordResult(false)
	if got := trials.Due(2000, 0.99); got {
		t.Error("got a trial due half a second after one that failed, want none")
	}
}
