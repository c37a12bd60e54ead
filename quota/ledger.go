package quota

import (
	"math/rand/v2"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fuchsiapick.example/fuchsiapick/clock"
)

// MaxCount bounds the requests of one Draw.
const MaxCount = 64

// Request asks the home of an account for leave to send requests.
type Request struct {
	Account string
	Limit   Limit
	// Count is how many requests wait for leave, Returned how many that had it were not
	// run.
	Count, Returned int
	// Hint is what another home told, Told is the mark of that home.
	Hint     Hint
	HintHome uint32
}

// Grant answers a Draw.
type Grant struct {
	// Granted of the requests may be sent.
	Granted int
	// RetryAfter is when the others may come back, in their order.
	RetryAfter []clock.Millis
	// Left is how many more would have been granted.
	Left float64
	// Home is the mark of the node that granted.
	Home uint32
}

// Allocator holds the accounts whose home a node is. It is not safe for concurrent use.
type Allocator struct {
	id      uint32
	random  *rand.Rand
	buckets *simplelru.LRU[string, *bucket]
}

// NewAllocator returns the ledger of a node, of at most that many accounts; the one that sent
// least lately is forgotten first. The seed makes the jitter of RetryAfter repeatable, and
// its lower half is the mark by which others know the node.
func NewAllocator(accounts int, seed uint64) *Allocator {
	buckets, err := simplelru.NewLRU[string, *bucket](max(accounts, 1), nil)
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return &Allocator{id: uint32(seed), random: rand.New(rand.NewPCG(seed, 3)), buckets: buckets}
}

// Grant grants as many of the requests as the account may send now. An account without a
// rate has no limit.
func (l *Allocator) Grant(now clock.Millis, d Request) Grant {
	count := min(max(d.Count, 0), MaxCount)
	if !(d.Limit.Rate > 0) {
		return Grant{Granted: count, Left: d.Limit.depth(), Home: l.id}
	}
	b, ok := l.buckets.Get(d.Account)
	if !ok {
		b = newBucket(now, d.Limit)
		l.buckets.Add(d.Account, b)
	}
	b.refill(now, d.Limit)
	b.level = min(b.level+float64(min(max(d.Returned, 0), MaxCount)), d.Limit.depth())
	hint := d.Hint
	hint.Known = hint.Known && d.HintHome != l.id
	b.applyHint(now, hint)
	granted := b.take(count)
	return Grant{Granted: granted, RetryAfter: b.scheduleRetries(now, count-granted, l.random), Left: b.level, Home: l.id}
}
