package retry_test

import (
	"math/rand/v2"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
)

// claims are the retries that the quota ranks, the most urgent first.
var claims = []retry.Claim{{Priority: 0}, {Priority: 0, Repeatable: true}, {Priority: 1}, {Priority: 1, Repeatable: true}, {Priority: 2, Repeatable: true}}

// grantedShares simulates a minute in which half of the requests need a retry, four times as
// many as the bound allows, most of them the least urgent. It returns the share of each claim's
// retries that is granted, and the greatest use of the bound.
func grantedShares(grant func(q *retry.Quota, now clock.Millis, c retry.Claim) bool) (granted []float64, use float64) {
	random := rand.New(rand.NewPCG(7, 0))
	q := retry.NewQuota(0, retry.QuotaConfig{Share: share, Extra: 8, Window: window, Upstreams: 1, ByPriority: true})
	wanted, granted := make([]float64, len(claims)), make([]float64, len(claims))
	for now := clock.Minute; now < 2*clock.Minute; now += clock.Millis(1 + random.ExpFloat64()*50) {
		q.RecordRequest(now)
		if random.Float64() >= 0.5 {
			continue
		}
		i := len(claims) - 1
		if random.Float64() < 0.28 {
			i = random.IntN(i)
		}
		wanted[i]++
		if grant(q, now, claims[i]) && q.Spend(now) {
			granted[i]++
		}
		spent, bound := q.Usage(now)
		use = max(use, spent/bound)
	}
	for i := range granted {
		granted[i] /= wanted[i]
	}
	return granted, use
}

// Four times as many retries are wanted as the bound allows. First come, first served gives
// an urgent request that may run only once no better chance than any other, and its caller
// loses most by a refusal.
func TestShortageServesUrgentRetriesFirst(t *testing.T) {
	ranked, use := grantedShares(func(q *retry.Quota, now clock.Millis, c retry.Claim) bool { return q.Rule(now, c) == retry.Granted })
	firstCome, _ := grantedShares(func(*retry.Quota, clock.Millis, retry.Claim) bool { return true })
	half, _ := grantedShares(func(q *retry.Quota, now clock.Millis, c retry.Claim) bool {
		spent, bound := q.Usage(now)
		return c.Priority <= 1 || spent < bound/2
	})
	t.Logf("ranked %.2f, first come %.2f, half kept for priority 0 and 1 %.2f", ranked, firstCome, half)
	if use > 1 || ranked[0] < 0.99 || ranked[0] < firstCome[0]+0.3 || ranked[0] < half[0] {
		t.Errorf("got %.2f of the most urgent retries with %.2f of the bound; want all within the bound, and more than %.2f and %.2f", ranked[0], use, firstCome[0], half[0])
	}
	for i := range claims[1:] {
		if ranked[i] < ranked[i+1] {
			t.Errorf("rank %d: got %.2f granted, want no less than the next rank's %.2f", i, ranked[i], ranked[i+1])
		}
	}
}
