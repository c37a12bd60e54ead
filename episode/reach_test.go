package episode_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
)

// A gate that nobody chooses invites whoever has a link to it. Entries that send many
// requests must keep more links than those that send few, from the first second on, and
// no more than a bound.
func TestReachFollowsTheRequests(t *testing.T) {
	tests := []struct {
		name        string
		gap         clock.Millis
		least, most int
	}{
		{"a request in two seconds", 2 * clock.Second, 1, 2},
		{"two a second", 500, 4, 6},
		{"five a second", 200, 10, 12},
		{"a hundred a second", 10, 12, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r episode.LinkCount
			for now := clock.Hour; now < clock.Hour+20*clock.Second; now += tt.gap {
				got := r.RecordRequest(now)
				if now == clock.Hour && got == 0 {
					t.Error("got no links at the first request, want some")
				}
				if now >= clock.Hour+clock.Second && got != 0 && (got < tt.least || got > tt.most) {
					t.Errorf("after %s: got %d links, want %d to %d", now-clock.Hour, got, tt.least, tt.most)
				}
			}
		})
	}
}

// Callers sleep, and wake. What their requests were an hour ago says nothing.
func TestReachBeginsAnewAfterAPause(t *testing.T) {
	var r episode.LinkCount
	now := clock.Hour
	for ; now < clock.Hour+10*clock.Second; now += 20 {
		r.RecordRequest(now)
	}
	now += clock.Hour
	first := r.RecordRequest(now)
	if first == 0 || first > 8 {
		t.Errorf("got %d links at the first request after an hour, want some", first)
	}
	if got := r.RecordRequest(now + clock.Second/2); got != 0 {
		t.Errorf("got %d links half a second later, want 0: that was said", got)
	}
}
