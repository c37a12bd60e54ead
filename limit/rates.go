// Package limit admits or refuses requests: slots and a deadline-bounded queue
// at a gate, rates of services and callers at an entry. A refusal says when to
// come back, computed from the rate at which work drains.
package limit

import (
	"math"
	"math/rand/v2"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"fuchsiapick.example/fuchsiapick/clock"
)

// RatesConfig is what Rates are made from.
type RatesConfig struct {
	// Seed makes the jitter of RetryAfter repeatable.
	Seed uint64
	// Callers is the most callers remembered; the least recently seen one is
	// forgotten first, and begins again with a whole burst.
	Callers int
}

// The values of Grant.By.
const (
	ByService = "service"
	ByCaller  = "caller"
)

// Grant is the answer to one request.
type Grant struct {
	OK bool
	// By names the limit that refused.
	By string
	// RetryAfter is when to come back; it is set on a refusal.
	RetryAfter clock.Millis
}

// Rates limits the requests a second of services and of callers at one entry.
// It is not safe for concurrent use.
type Rates struct {
	random   *rand.Rand
	services *simplelru.LRU[string, *rate.Limiter]
	callers  *simplelru.LRU[callerKey, *rate.Limiter]
}

// callerKey names a caller's bucket: one for each service that it calls.
type callerKey struct {
	service string
	caller  string
}

// mostServices bounds the services remembered: twice the 4,100 of the size to
// design for, so that renaming all of them forgets none in use.
const mostServices = 8200

// NewRates makes Rates with every bucket full.
func NewRates(c RatesConfig) *Rates {
	services, err := simplelru.NewLRU[string, *rate.Limiter](mostServices, nil)
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	callers, err := simplelru.NewLRU[callerKey, *rate.Limiter](max(c.Callers, 1), nil)
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return &Rates{random: rand.New(rand.NewPCG(c.Seed, 0)), services: services, callers: callers}
}

// Allow takes one request from the buckets of the service and of the caller,
// or from neither. Rates are in requests a second; 0 means no limit. A
// caller's limit counts for each service on its own; a limit over all services
// is asked for with an empty service and a service rate of 0.
func (r *Rates) Allow(
	now clock.Millis, service string, serviceRate float64, caller string, callerRate float64,
) Grant {
	byCaller := bucket(r.callers, callerKey{service: service, caller: caller}, now, callerRate)
	byService := bucket(r.services, service, now, serviceRate)
	if wait := missing(byCaller, now); wait > 0 {
		return Grant{By: ByCaller, RetryAfter: r.jitter(wait)}
	}
	if wait := missing(byService, now); wait > 0 {
		return Grant{By: ByService, RetryAfter: r.jitter(wait)}
	}
	take(byCaller, now)
	take(byService, now)
	return Grant{OK: true}
}

// bucket returns the limiter of the key at the given rate, nil for no limit.
func bucket[K comparable](
	all *simplelru.LRU[K, *rate.Limiter], key K, now clock.Millis, perSecond float64,
) *rate.Limiter {
	if !(perSecond > 0) {
		return nil
	}
	limiter, ok := all.Get(key)
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
		all.Add(key, limiter)
		return limiter
	}
	if limiter.Limit() != rate.Limit(perSecond) {
		limiter.SetLimitAt(now.Time(), rate.Limit(perSecond))
		limiter.SetBurstAt(now.Time(), burst(perSecond))
	}
	return limiter
}

// burst is one second's requests: a page that loads its parts at once isn't
// refused, and no second admits more than twice the rate.
func burst(perSecond float64) int {
	return int(math.Ceil(min(perSecond, math.MaxInt32)))
}

// missing is the time until the limiter has one request to give.
func missing(l *rate.Limiter, now clock.Millis) clock.Millis {
	if l == nil {
		return 0
	}
	lack := 1 - l.TokensAt(now.Time())
	if lack <= 0 {
		return 0
	}
	span := lack / float64(l.Limit()) * float64(clock.Second)
	return clock.Millis(math.Ceil(min(span, float64(clock.Day))))
}

func take(l *rate.Limiter, now clock.Millis) {
	if l != nil {
		l.AllowN(now.Time(), 1)
	}
}

func (r *Rates) jitter(span clock.Millis) clock.Millis {
	return span + clock.Millis(r.random.Int64N(int64(span)+1))
}
