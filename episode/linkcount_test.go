package episode_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/episode"
)

// A gate that no entry chooses can send work requests only to entries with a link to it.
// Entries with many requests must keep more links than those with few, from the first
// second on, up to a bound.
func TestLinkCountFollowsRequestRate(t *testing.T) {
	tests := []struct {
		name               string
		interval           clock.Millis
		minLinks, maxLinks int
	}{
		{"a request in two seconds", 2 * clock.Second, 1, 2},
		{"two a second", 500, 4, 6},
		{"five a second", 200, 10, 12},
		{"a hundred a second", 10, 12, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var count episode.LinkCount
			for now := clock.Hour; now < clock.Hour+20*clock.Second; now += tt.interval {
				got := count.RecordRequest(now)
				if now == clock.Hour && got == 0 {
					t.Error("got no links at the first request, want some")
				}
				if now >= clock.Hour+clock.Second && got != 0 && (got < tt.minLinks || got > tt.maxLinks) {
					t.Errorf("after %s: got %d links, want %d to %d", now-clock.Hour, got, tt.minLinks, tt.maxLinks)
				}
			}
		})
	}
}

// After a pause of an hour, an entry's earlier request rate must not determine its links.
func TestLinkCountRestartsAfterAPause(t *testing.T) {
	var count episode.LinkCount
	now := clock.Hour
	for ; now < clock.Hour+10*clock.Second; now += 20 {
		count.RecordRequest(now)
	}
	now += clock.Hour
	first := count.RecordRequest(now)
	if first == 0 || first > 8 {
		t.Errorf("got %d links at the first request after an hour, want some", first)
	}
	if got := count.RecordRequest(now + clock.Second/2); got != 0 {
		t.Errorf("got %d links half a second later, want 0: the number was just returned", got)
	}
}
