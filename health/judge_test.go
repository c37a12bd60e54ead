package health_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/table"
)

// A caller sees errors until the upstream is set aside. All its requests
// fail from one moment on, and nothing else is wrong.
func TestSetsAsideWhenAllFail(t *testing.T) {
	j := health.New(health.Config{Caution: table.Cautious, Seed: 1})
	outcomes := 0
	for now := clock.Millis(0); j.Status(now).State == health.InUse && outcomes < 100; now += 100 {
		j.Observe(now, health.Observation{Result: health.Failed, Caller: string(rune('a' + outcomes))})
		outcomes++
	}
	if outcomes > 10 {
		t.Errorf("got %d failed outcomes before set aside, want at most 10", outcomes)
	}
}
