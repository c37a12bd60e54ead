package floor_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/floor"
)

// While all members fail alike, each request to a forced member makes it the worst and the
// members are exchanged. Each must count once, and one that was forced for a moment never.
func TestLastingIgnoresExchanges(t *testing.T) {
	const span, interval = floor.LastingSpan, clock.Millis(20)
	var exchanged, brief, first floor.Lasting
	changes, briefChanges := 0, 0
	for now := clock.Millis(0); now < 10*clock.Second; now += interval {
		use := floor.Ejected
		if now/interval%2 == 0 {
			use = floor.Forced
		}
		if exchanged.Update(now, use, span) {
			changes++
		}
		use = floor.Ejected
		if now%(2*span) == 0 {
			use = floor.Forced
		}
		if brief.Update(now, use, span) {
			briefChanges++
		}
	}
	if changes != 1 || briefChanges != 0 {
		t.Errorf("got %d changes of an exchanged member and %d of one forced for a moment, want 1 and 0", changes, briefChanges)
	}
	if !first.Update(0, floor.Forced, 0) || first.Update(1, floor.Forced, 0) || first.Update(2, floor.Ejected, 0) || !first.Update(3, floor.Forced, 0) {
		t.Error("got a change missed or repeated with a span of 0, want each once")
	}
}
