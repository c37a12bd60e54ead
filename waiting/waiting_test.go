package waiting_test

import (
	"slices"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/waiting"
)

const startBy = 2 * clock.Second

// newSearch returns a search with claims at the gates a, b, ...
func newSearch(count int) *waiting.Search {
	s := waiting.New(waiting.Config{StartBy: startBy, Claims: waiting.MaxClaims})
	for i := range count {
		s.Claim(0, string(rune('a'+i)))
	}
	return s
}

// Guards against requests that wait for gates that can't be reached.
func TestUnconfirmedClaimIsReplaced(t *testing.T) {
	s := newSearch(2)
	s.Queue(5, 1, 300)
	if got := s.WakeAt(5); got != waiting.ConfirmTimeout {
		t.Errorf("got a wake-up at %v, want %v", got, waiting.ConfirmTimeout)
	}
	want := []waiting.Withdrawal{{Index: 0, IsUnconfirmed: true}}
	if got := s.Withdraw(waiting.ConfirmTimeout); !slices.Equal(got, want) {
		t.Errorf("got %+v withdrawn, want %+v", got, want)
	}
	if s.MayAsk(startBy-1, "a") || !s.WantsClaim(waiting.ConfirmTimeout) {
		t.Error("got the silent gate to be asked again, or no other; want another gate asked")
	}
}

// Guards against requests that end although a full gate will have room in time, and against
// requests that are held when none will.
func TestFullGateIsAskedAgain(t *testing.T) {
	for _, tt := range []struct {
		name    string
		refusal waiting.Refusal
		wantEnd bool
	}{
		{"full", waiting.Refusal{IsFull: true, RetryAfter: 400}, false},
		{"full beyond the latest start", waiting.Refusal{IsFull: true, RetryAfter: startBy}, true},
		{"ejected", waiting.Refusal{RetryAfter: 400}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newSearch(1)
			s.Refuse(5, 0, tt.refusal)
			s.Exhaust(5)
			if got := s.HasEnded(5); got != tt.wantEnd {
				t.Errorf("got ended: %v, want %v", got, tt.wantEnd)
			}
			if got := s.WantsClaim(405) && s.MayAsk(405, "a"); got == tt.wantEnd {
				t.Errorf("got the gate asked again: %v, want %v", got, !tt.wantEnd)
			}
			s.Queue(5, s.Claim(5, "older release"), 0)
			s.Queue(0, s.Claim(0, "wrong estimate"), 4)
			if got, want := s.RoomAt(5), 5+tt.refusal.RetryAfter; got != want {
				t.Errorf("got room at %v, want %v", got, want)
			}
		})
	}
}

// Guards against queue positions that no request will use.
func TestSupersededClaimsAreWithdrawn(t *testing.T) {
	s := newSearch(3)
	s.Queue(5, 0, 2*startBy)
	s.Queue(5, 1, 3*startBy)
	s.Queue(5, 2, 300)
	want := []waiting.Withdrawal{{Index: 0}, {Index: 1}}
	if got := s.Withdraw(5); !slices.Equal(got, want) {
		t.Errorf("got %+v withdrawn, want %+v: their turns come too late", got, want)
	}
	other := s.Claim(6, "d")
	if s.Grant(0) || !s.Grant(2) || s.Grant(other) {
		t.Error("got a grant used after its claim's withdrawal or another grant, want only that of c")
	}
	if got := s.Withdraw(7); !slices.Equal(got, []waiting.Withdrawal{{Index: other}}) {
		t.Errorf("got %+v withdrawn, want the claim at d", got)
	}
}

// Guards against refusals that cost a request without end: every gate refuses immediately.
func TestClaimsAreLimited(t *testing.T) {
	s := newSearch(0)
	count := 0
	for ; s.WantsClaim(1); count++ {
		s.Refuse(1, s.Claim(1, string(rune('a'+count))), waiting.Refusal{IsFull: true, RetryAfter: 200})
	}
	if count != waiting.MaxClaims || !s.HasEnded(1) {
		t.Errorf("got %d claims, ended: %v; want %d and the search ended", count, s.HasEnded(1), waiting.MaxClaims)
	}
}
