package gate_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/wire"
)

func TestAnnouncementIsReadFromHeaders(t *testing.T) {
	names := gate.DefaultHeaders()
	tests := []struct {
		name           string
		limit, leaving string
		want           gate.Announcement
	}{
		{"nothing", "", "", gate.Announcement{}},
		{"decimal limit", "3.3", "", gate.Announcement{IsLimited: true, RateLimit: 3.3}},
		{"no requests at all", "0", "", gate.Announcement{IsLimited: true}},
		{"leaving", "", "1", gate.Announcement{IsLeaving: true}},
		{"another value of leaving", "", "0", gate.Announcement{}},
		{"negative limit", "-1", "", gate.Announcement{Malformed: "-1"}},
		{"text for a limit", "many", "1", gate.Announcement{IsLeaving: true, Malformed: "many"}},
		{"infinite limit", "+Inf", "", gate.Announcement{Malformed: "+Inf"}},
		{"not a number", "NaN", "", gate.Announcement{Malformed: "NaN"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var headers wire.Headers
			if tt.limit != "" {
				headers = headers.Add([]byte("fuchsiapick-rate-limit"), []byte(tt.limit))
			}
			if tt.leaving != "" {
				headers = headers.Add([]byte(names.Leaving), []byte(tt.leaving))
			}
			if got := names.Announcement(headers); got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}
