package limit_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
)

// In every period, a service's rate admits at most the rate times the period plus a burst.
func TestRatesBoundEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.5, 50).Draw(t, "rate")
		r := limit.NewRates(limit.RatesConfig{Callers: 10})
		now, start, granted := clock.Millis(0), clock.Millis(0), 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 300).Draw(t, "span"))
			if rapid.IntRange(0, 9).Draw(t, "window") == 0 {
				start, granted = now, 0
			}
			if r.Allow(now, "conferme", perSecond, "hotel", 0).OK {
				granted++
			}
			if got, bound := float64(granted), perSecond*(now-start).Seconds()+perSecond+1; got > bound+1e-6 {
				t.Fatalf("got %v admitted in %v, want at most %v", got, now-start, bound)
			}
		}
	})
}

// A script of one caller sends a thousand requests per second. It must exhaust its own limit
// and not the service's, or the service would refuse every other caller as well.
func TestCallerOverItsLimitDoesNotUseUpTheServiceLimit(t *testing.T) {
	r := limit.NewRates(limit.RatesConfig{Callers: 10})
	by := make(map[string]int)
	for now := range clock.Second {
		by[r.Allow(now, "squadre", 100, "script", 5).By]++
	}
	if by[""] > 10 || by[limit.ByCaller] < 990 || by[limit.ByService] != 0 {
		t.Errorf("got %v, want at most 10 admitted and the others refused by the caller's limit", by)
	}
	if got := r.Allow(clock.Second, "squadre", 100, "van", 5); !got.OK {
		t.Errorf("another caller: got %+v, want it admitted", got)
	}
	if got := r.Allow(clock.Second, "bacheca", 100, "script", 5); !got.OK {
		t.Errorf("another service: got %+v, want it admitted", got)
	}
}

// A rate changed in the table must apply to a bucket that exists already.
func TestRatesFollowTheTable(t *testing.T) {
	r := limit.NewRates(limit.RatesConfig{Callers: 2})
	admitted := func(now clock.Millis, perSecond float64) (n int) {
		for n < 100 && r.Allow(now, "salons", perSecond, "", 0).OK {
			n++
		}
		return n
	}
	for i, tt := range []struct{ rate, want float64 }{{4, 4}, {8, 8}, {0.5, 1}, {0, 100}} {
		now := clock.Millis(i+1) * clock.Minute
		r.Allow(now, "salons", tt.rate, "", 0) // applies the new rate, which never refills a bucket
		if got := admitted(now+clock.Minute/2, tt.rate); got != int(tt.want) {
			t.Errorf("rate %v: got %d admitted at the same time, want %v", tt.rate, got, tt.want)
		}
	}
}

// Requests refused by one rate must get different retry times, or they would return
// together and be refused again.
func TestRateRefusalsGetStaggeredRetryAfter(t *testing.T) {
	r := limit.NewRates(limit.RatesConfig{Callers: 10})
	for range 5 {
		r.Allow(clock.Minute, "salons", 5, "", 0)
	}
	for turn := range clock.Millis(3) {
		got, minDelay := r.Allow(clock.Minute, "salons", 5, "", 0), 200*(turn+1)
		if got.By != limit.ByService || got.RetryAfter < minDelay || got.RetryAfter > minDelay*5/4 {
			t.Errorf("turn %d: got %+v, want the service's refusal with %v to %v", turn, got, minDelay, minDelay*5/4)
		}
	}
}

// The number of callers kept is bounded: the least recently seen caller is evicted, not a
// recent one, whose limit would be lifted by a new bucket.
func TestRatesEvictTheLeastRecentCaller(t *testing.T) {
	r := limit.NewRates(limit.RatesConfig{Callers: 100})
	for i := range 1000 {
		r.Allow(0, "listings", 0, fmt.Sprint(i), 1)
	}
	if got := r.Allow(0, "listings", 0, "999", 1).OK; got {
		t.Error("recent caller: got it admitted, want its empty bucket kept")
	}
	if got := r.Allow(0, "listings", 0, "0", 1).OK; !got {
		t.Error("old caller: got it refused, want it evicted")
	}
}

func BenchmarkRates(b *testing.B) {
	r := limit.NewRates(limit.RatesConfig{Callers: 1000})
	b.ReportAllocs()
	now := clock.Millis(0)
	for b.Loop() {
		now++
		r.Allow(now, "listings", 100, "salon", 10)
	}
}
