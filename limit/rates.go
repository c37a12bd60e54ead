// Package limit admits or refuses requests: by slots and a deadline-bounded queue at a
// gate, and by the rates of services and callers at an entry. A refusal says when to retry,
// computed from the rate at which work completes.
package limit

import (
	"math"
	"math/rand/v2"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"golang.org/x/time/rate"

	"fuchsiapick.example/fuchsiapick/clock"
)

// RatesConfig configures Rates.
type RatesConfig struct {
	// Seed makes the jitter of RetryAfter reproducible.
	Seed uint64
	// Callers is the maximum number of callers' buckets that are kept. The bucket used
	// least recently is evicted first; its caller starts again with a full burst.
	Callers int
}

// The values of Grant.By.
const (
	ByService = "service"
	ByCaller  = "caller"
)

// Grant says whether a request is within its limits.
type Grant struct {
	OK bool
	// By names the limit that refused the request: ByService or ByCaller.
	By string
	// RetryAfter is the time after which to retry; it is set on a refusal.
	RetryAfter clock.Millis
}

// Rates limits the requests per second of services and of callers at one entry. It isn't
// safe for concurrent use.
type Rates struct {
	random   *rand.Rand
	services *simplelru.LRU[string, *bucket]
	callers  *simplelru.LRU[callerKey, *bucket]
}

// bucket is the token bucket of one limit, with the retry times of requests that it refused.
type bucket struct {
	limiter  *rate.Limiter
	schedule RetrySchedule
}

// callerKey identifies a caller's bucket: a caller has one for each service that it calls.
type callerKey struct {
	service string
	caller  string
}

// maxServices bounds the buckets of services that are kept: twice the 4,100 services that
// the design must support, so that no bucket in use is evicted if all are renamed.
const maxServices = 8200

// NewRates returns Rates with every bucket full.
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

// Allow takes one token from the buckets of the service and of the caller, or from neither
// if one of them refuses. Rates are in requests per second; 0 means no limit. A caller has a
// bucket for each service. For a limit over all services, pass an empty service and a
// service rate of 0.
func (r *Rates) Allow(
	now clock.Millis, service string, serviceRate float64, caller string, callerRate float64,
) Grant {
	callerBucket := bucketFor(r.callers, callerKey{service: service, caller: caller}, now, callerRate)
	serviceBucket := bucketFor(r.services, service, now, serviceRate)
	if deficit := callerBucket.deficit(now); deficit > 0 {
		return Grant{By: ByCaller, RetryAfter: callerBucket.retryAfter(now, deficit, r.random)}
	}
	if deficit := serviceBucket.deficit(now); deficit > 0 {
		return Grant{By: ByService, RetryAfter: serviceBucket.retryAfter(now, deficit, r.random)}
	}
	callerBucket.admit(now)
	serviceBucket.admit(now)
	return Grant{OK: true}
}

// bucketFor returns the key's bucket, set to the given rate. It creates a full bucket if
// there is none, and returns nil if the rate sets no limit.
func bucketFor[K comparable](
	buckets *simplelru.LRU[K, *bucket], key K, now clock.Millis, perSecond float64,
) *bucket {
	if !(perSecond > 0) {
		return nil
	}
	limit := rate.Limit(min(perSecond, math.MaxInt32))
	b, ok := buckets.Get(key)
	if !ok {
		b = &bucket{limiter: rate.NewLimiter(limit, burst(limit))}
		buckets.Add(key, b)
		return b
	}
	if b.limiter.Limit() != limit {
		b.limiter.SetLimitAt(now.Time(), limit)
		b.limiter.SetBurstAt(now.Time(), burst(limit))
	}
	return b
}

// burst returns the capacity of a bucket: the requests of one second, rounded up. A page
// that loads its parts at the same time isn't refused, and no second admits more than
// about twice the rate.
func burst(limit rate.Limit) int {
	return int(math.Ceil(float64(limit)))
}

// deficit returns how many tokens the bucket lacks to admit a request; at 0 or less, the
// bucket admits the request.
func (b *bucket) deficit(now clock.Millis) float64 {
	if b == nil {
		return 0
	}
	return 1 - b.limiter.TokensAt(now.Time())
}

// admit takes the token of one admitted request.
func (b *bucket) admit(now clock.Millis) {
	if b != nil {
		b.limiter.AllowN(now.Time(), 1)
	}
}

// retryAfter returns the time after which to retry: until the bucket has a whole token and
// the requests refused before have had theirs.
func (b *bucket) retryAfter(now clock.Millis, deficit float64, random *rand.Rand) clock.Millis {
	interval := float64(clock.Second) / float64(b.limiter.Limit())
	return b.schedule.Next(now, deficit*interval, interval, random)
}
