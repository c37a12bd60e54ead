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
	services *simplelru.LRU[string, *bucket]
	callers  *simplelru.LRU[callerKey, *bucket]
}

// bucket is one limit and the places given to those that it refused.
type bucket struct {
	limiter  *rate.Limiter
	schedule RetrySchedule
}

// callerKey names a caller's bucket: one for each service that it calls.
type callerKey struct {
	service string
	caller  string
}

// maxServices bounds the services remembered: twice the 4,100 of the size to
// design for, so that renaming all of them forgets none in use.
const maxServices = 8200

// NewRates makes Rates with every bucket full.
func NewRates(c RatesConfig) *Rates {
	services, err := simplelru.NewLRU[string, *bucket](maxServices, nil)
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	callers, err := simplelru.NewLRU[callerKey, *bucket](max(c.Callers, 1), nil)
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
	byCaller := bucketFor(r.callers, callerKey{service: service, caller: caller}, now, callerRate)
	byService := bucketFor(r.services, service, now, serviceRate)
	if lack := byCaller.deficit(now); lack > 0 {
		return Grant{By: ByCaller, RetryAfter: byCaller.retryAfter(now, lack, r.random)}
	}
	if lack := byService.deficit(now); lack > 0 {
		return Grant{By: ByService, RetryAfter: byService.retryAfter(now, lack, r.random)}
	}
	byCaller.take(now)
	byService.take(now)
	return Grant{OK: true}
}

// bucketFor returns the bucket of the key at the given rate, nil for no limit.
func bucketFor[K comparable](
	all *simplelru.LRU[K, *bucket], key K, now clock.Millis, perSecond float64,
) *bucket {
	if !(perSecond > 0) {
		return nil
	}
	limit := rate.Limit(min(perSecond, math.MaxInt32))
	b, ok := all.Get(key)
	if !ok {
		b = &bucket{limiter: rate.NewLimiter(limit, burst(limit))}
		all.Add(key, b)
		return b
	}
	if b.limiter.Limit() != limit {
		b.limiter.SetLimitAt(now.Time(), limit)
		b.limiter.SetBurstAt(now.Time(), burst(limit))
	}
	return b
}

// burst is one second's requests: a page that loads its parts at once isn't
// refused, and no second admits more than twice the rate.
func burst(limit rate.Limit) int {
	return int(math.Ceil(float64(limit)))
}

// deficit is the part of a request that the bucket lacks to admit one; 0 or less
// admits it.
func (b *bucket) deficit(now clock.Millis) float64 {
	if b == nil {
		return 0
	}
	return 1 - b.limiter.TokensAt(now.Time())
}

// take counts one admitted request.
func (b *bucket) take(now clock.Millis) {
	if b != nil {
		b.limiter.AllowN(now.Time(), 1)
	}
}

// retryAfter is the time until the bucket has what it lacks and those refused
// before have had their turn.
func (b *bucket) retryAfter(now clock.Millis, lack float64, random *rand.Rand) clock.Millis {
	gap := float64(clock.Second) / float64(b.limiter.Limit())
	return b.schedule.Next(now, lack*gap, gap, random)
}
