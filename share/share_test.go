package share_test

import (
	"math"
	"strconv"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/share"
)

// More accounts than a ledger holds use an upstream. The largest user must stay known, or it
// would be served as one that has used nothing, and what the others use must not be lost.
func TestLedgerKeepsTheLargestUsers(t *testing.T) {
	l := share.NewLedger(share.LedgerConfig{MaxAccounts: 64, Weight: func(string) float64 { return 0 }})
	for range 4 {
		l.Begin(0, "large")
	}
	now := clock.Millis(0)
	for i := range 200 {
		now += 100
		l.Begin(now, strconv.Itoa(i))
		l.End(now+100, strconv.Itoa(i))
	}
	largest, rest := l.Largest(now, 8)
	if len(largest) != 8 || largest[0].Account != "large" || math.Abs(largest[0].Used-4*(1-math.Exp(-2))) > 0.01 {
		t.Errorf("got %v, want 8 accounts, the first with 4 slots for 20 s", largest)
	}
	total := rest
	for _, u := range largest {
		total += u.Used
	}
	if want := 5 * (1 - math.Exp(-2)); math.Abs(total-want) > 0.05 {
		t.Errorf("got a total of %v with %v for the rest, want %v: evicted accounts count", total, rest, want)
	}
	l.Want(now+clock.Minute, "other")
	if got := l.Excess(now+clock.Minute, "large", 1); math.Abs(got-2) > 0.01 {
		t.Errorf("got excess %v beside an account without a slot, want 2: all others forgotten", got)
	}
}

// An account over its share must state less weight, but never none, an account within it all of
// its weight, and what gates stated some time ago must not count for ever.
func TestServiceReducesWeightsByUse(t *testing.T) {
	s := share.NewService()
	for i := range 300 {
		s.Update(1000, strconv.Itoa(i), []share.Use{{Account: "large", Used: 4}, {Account: strconv.Itoa(i), Used: 0.1 + float64(i)/1e4}, {Used: 1}})
	}
	// 256 accounts are summed; the total is 300 x (4 + 0.1 + 1) and 300 x 299 / 2 / 1e4.
	if got, want := s.Weight(1000, "large", 10), max(10/(1200*256/1534.485), 0.1); math.Abs(got-want) > 1e-6 {
		t.Errorf("got weight %v for the large account, want %v", got, want)
	}
	if got, again := s.Weight(1000, "large", 10), s.Weight(1500, "large", 10); got != again {
		t.Errorf("got weight %v and then %v, want evicted accounts to stay in the total", got, again)
	}
	if got := s.Weight(1000, "299", 2); got != 2 {
		t.Errorf("got weight %v for a small account, want its own, 2", got)
	}
	if got := s.Weight(7000, "large", 0); got != 1 {
		t.Errorf("got weight %v from statements 6 s old, want the default, 1", got)
	}
	s.Update(8000, "0", []share.Use{{Account: "large", Used: 4}})
	s.Weight(8000, "new", 1)
	if got := s.Weight(8000, "large", 1); got != 0.5 {
		t.Errorf("got weight %v for the only user beside a new account, want 0.5", got)
	}
}
