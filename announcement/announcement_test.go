package announcement_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/announcement"
	"fuchsiapick.example/fuchsiapick/wire"
)

func TestAnnouncementIsReadFromHeaders(t *testing.T) {
	names := announcement.Headers{RateLimit: "Rate-Limit", Leaving: "Leaving"}
	tests := []struct {
		name           string
		limit, leaving string
		want           announcement.Announcement
	}{
		{"nothing", "", "", announcement.Announcement{}},
		{"decimal limit", "3.3", "", announcement.Announcement{IsLimited: true, RateLimit: 3.3}},
		{"no requests at all", "0", "", announcement.Announcement{IsLimited: true}},
		{"leaving", "", "1", announcement.Announcement{IsLeaving: true}},
		{"another value of leaving", "", "0", announcement.Announcement{}},
		{"negative limit", "-1", "", announcement.Announcement{Malformed: "-1"}},
		{"text for a limit", "many", "1", announcement.Announcement{IsLeaving: true, Malformed: "many"}},
		{"infinite limit", "+Inf", "", announcement.Announcement{Malformed: "+Inf"}},
		{"not a number", "NaN", "", announcement.Announcement{Malformed: "NaN"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var headers wire.Headers
			if tt.limit != "" {
				headers = headers.Add([]byte("rate-limit"), []byte(tt.limit))
			}
			if tt.leaving != "" {
				headers = headers.Add([]byte(names.Leaving), []byte(tt.leaving))
			}
			if got := names.Read(headers.Get); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

func TestLaterAnnouncementHolds(t *testing.T) {
	limited := announcement.Announcement{IsLimited: true, RateLimit: 2}
	tests := []struct {
		name              string
		first, next, want announcement.Announcement
	}{
		{"a new limit", limited, announcement.Announcement{IsLimited: true, RateLimit: 1}, announcement.Announcement{IsLimited: true, RateLimit: 1}},
		{"the limit ends", limited, announcement.Announcement{}, announcement.Announcement{}},
		{"a malformed limit", limited, announcement.Announcement{Malformed: "many"}, limited},
		{"leaving is final", announcement.Announcement{IsLeaving: true}, limited, announcement.Announcement{IsLimited: true, RateLimit: 2, IsLeaving: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := tt.first.Follow(tt.next); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}
