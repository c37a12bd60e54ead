package retry_test

import (
	"math/rand/v2"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
)

// rank names one of the classes of requests that the quota ranks.
type rank int

const (
	urgentOnce rank = iota
	urgentRepeatable
	nextOnce
	nextRepeatable
	ordinary
	ranks
)

func (r rank) claim() retry.Claim {
	if r == ordinary {
		return retry.Claim{Priority: 2, Repeatable: true}
	}
	return retry.Claim{Priority: int(r) / 2, Repeatable: r == urgentRepeatable || r == nextRepeatable}
}

// halfForUrgent is the simplest way to prefer urgent retries: the others may use half of the
// bound, and no order among the urgent ones.
func halfForUrgent(q *retry.Quota, now clock.Millis, c retry.Claim) bool {
	spent, bound := q.Usage(now)
	return q.Allows(now, false) && (c.Priority <= 1 || spent < bound/2)
}

// grantedShares simulates a minute in which half of the requests need a retry, four times
// as many as the bound allows, most of them ordinary. It returns the share of the retries
// of each rank that is granted, and the greatest use of the bound.
func grantedShares(grant func(q *retry.Quota, now clock.Millis, c retry.Claim) bool) (shares [ranks]float64, use float64) {
	random := rand.New(rand.NewPCG(7, 0))
	q := retry.NewQuota(0, retry.QuotaConfig{Share: share, Extra: 8, Window: window, Upstreams: 1, ByPriority: true})
	var wanted, granted [ranks]float64
	for now := clock.Minute; now < 2*clock.Minute; now += clock.Millis(1 + random.ExpFloat64()*50) {
		q.RecordRequest(now)
		if random.Float64() >= 0.5 {
			continue
		}
		r := ordinary
		if random.Float64() < 0.28 {
			r = rank(random.IntN(int(ordinary)))
		}
		wanted[r]++
		if grant(q, now, r.claim()) && q.Spend(now) {
			granted[r]++
		}
		spent, bound := q.Usage(now)
		use = max(use, spent/bound)
	}
	for r := range shares {
		shares[r] = granted[r] / wanted[r]
	}
	return shares, use
}

// Four times as many retries are wanted as the bound allows. First come, first served gives
// an urgent request that may run only once no better chance than any other, and its caller
// loses most by a refusal.
func TestShortageServesUrgentRetriesFirst(t *testing.T) {
	ranked, use := grantedShares(func(q *retry.Quota, now clock.Millis, c retry.Claim) bool {
		return q.Rule(now, c) == retry.Granted
	})
	firstCome, _ := grantedShares(func(*retry.Quota, clock.Millis, retry.Claim) bool { return true })
	half, _ := grantedShares(halfForUrgent)
	t.Logf("ranked %.2f, first come %.2f, half for urgent %.2f", ranked, firstCome, half)
	if use > 1 {
		t.Errorf("got %.2f of the bound used, want at most all", use)
	}
	for r := urgentOnce; r < nextRepeatable; r++ {
		if ranked[r] < ranked[r+1] {
			t.Errorf("rank %d: got %.2f granted, want no less than the next rank's %.2f", r, ranked[r], ranked[r+1])
		}
	}
	if ranked[urgentOnce] < 0.99 || ranked[urgentOnce] < firstCome[urgentOnce]+0.3 {
		t.Errorf("got %.2f of the most urgent retries granted, want all; first come, first served: %.2f", ranked[urgentOnce], firstCome[urgentOnce])
	}
	if ranked[urgentOnce] < half[urgentOnce] {
		t.Errorf("got %.2f of the most urgent retries granted, want no less than %.2f, with half kept for urgent ones", ranked[urgentOnce], half[urgentOnce])
	}
}

// Guards against a service with the default waiting whose retries are ranked.
func TestRetriesAreNotRankedByDefault(t *testing.T) {
	q := retry.NewQuota(0, retry.QuotaConfig{Extra: 8, Window: window, Upstreams: 1})
	granted := 0
	for q.Rule(clock.Minute, ordinary.claim()) == retry.Granted && q.Spend(clock.Minute) {
		granted++
	}
	if granted != 4 {
		t.Errorf("got %d ordinary retries, want the whole bound of 4", granted)
	}
}
