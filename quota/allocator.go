package quota

import (
	"math/rand/v2"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fuchsiapick.example/fuchsiapick/clock"
)

// MaxCount bounds the Count and the Returned of one Request.
const MaxCount = 64

// Request is a node's request for quota to the home of an account.
type Request struct {
	Account string
	Limit   Limit
	// Count is how many requests wait for quota, Returned how many earlier ones were
	// granted but not run.
	Count, Returned int
	// Hint is what the requesting node knows from another home, HintHome the id of that
	// home.
	Hint     Hint
	HintHome uint32
}

// Grant is the reply to a Request.
type Grant struct {
	// Granted is how many of the requests may be sent.
	Granted int
	// RetryAfter is the time until each of the refused requests may be sent again, in their
	// order.
	RetryAfter []clock.Millis
	// Left is how many more requests would have been granted.
	Left float64
	// Home is the id of the home that granted.
	Home uint32
}

// Allocator grants the requests of the accounts whose home is this node. It is not safe for
// concurrent use.
type Allocator struct {
	id      uint32
	random  *rand.Rand
	buckets *simplelru.LRU[string, *bucket]
}

// NewAllocator returns the allocator of a node. It keeps buckets for up to the given number
// of accounts and evicts the least recently used one. The seed makes the jitter of
// RetryAfter reproducible; its lower half is the id of this home in grants.
func NewAllocator(accounts int, seed uint64) *Allocator {
	buckets, err := simplelru.NewLRU[string, *bucket](max(accounts, 1), nil)
	if err != nil {
		panic(err) // NewLRU rejects only sizes below 1
	}
	return &Allocator{id: uint32(seed), random: rand.New(rand.NewPCG(seed, 3)), buckets: buckets}
}

// IsNearLimit reports whether an account has used most of its burst.
func (a *Allocator) IsNearLimit(account string, l Limit) bool {
	b, ok := a.buckets.Peek(account)
	return ok && b.level < nearLimitLevel*l.depth()
}

// Grant grants as many of the requests as the account may send now. An account without a
// rate has no limit.
func (a *Allocator) Grant(now clock.Millis, r Request) Grant {
	count := min(max(r.Count, 0), MaxCount)
	if !(r.Limit.Rate > 0) {
		return Grant{Granted: count, Left: r.Limit.depth(), Home: a.id}
	}
	b, ok := a.buckets.Get(r.Account)
	if !ok {
		b = newBucket(now, r.Limit)
		a.buckets.Add(r.Account, b)
	}
	b.refill(now, r.Limit)
	b.level = min(b.level+float64(min(max(r.Returned, 0), MaxCount)), r.Limit.depth())
	hint := r.Hint
	hint.Known = hint.Known && r.HintHome != a.id
	b.applyHint(now, hint)
	granted := b.take(count)
	return Grant{Granted: granted, RetryAfter: b.scheduleRetries(now, count-granted, a.random), Left: b.level, Home: a.id}
}
