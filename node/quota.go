package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/metrics"
	"fuchsiapick.example/fuchsiapick/quota"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// maxAccounts bounds the client accounts that are remembered, as home and as a node
	// that asks; the one heard of least lately is forgotten first.
	maxAccounts = 50_000
	// quotaRequestTimeout is how long a home may take to answer before the next one is asked.
	quotaRequestTimeout = 100 * clock.Millis(1)
	// relayTimeout is the same for a home that asks the one before it for a node that can't.
	relayTimeout = 40 * clock.Millis(1)
)

// quotas asks the homes of client accounts for leave to send their requests, and grants it
// for those whose home this node is. It is safe for concurrent use.
type quotas struct {
	now  func() clock.Millis
	self string
	// peer returns the way to a node, nil where there is none.
	peer func(node string) *link.Peer
	// isCutOff reports whether most nodes are out of reach.
	isCutOff func() bool

	sequence atomic.Uint64
	counts   metrics.QuotaCounts

	mu       sync.Mutex
	random   *rand.Rand
	ledger   *quota.Allocator
	nodes    []string // that the table names, in order
	homes    map[string][]string
	accounts *simplelru.LRU[string, *accountQuota]
}

// accountQuota is what this node asks of one account.
type accountQuota struct {
	history      quota.History
	limit        quota.Limit
	waiting      []chan<- entry.Admission
	returned     int
	isRequesting bool
}

func newQuotas(n *Node) *quotas {
	accounts, err := simplelru.NewLRU[string, *accountQuota](maxAccounts, nil)
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return &quotas{
		now: n.clock.Now, self: n.address(), peer: n.linkTo, isCutOff: n.isCutOff, random: rand.New(rand.NewPCG(n.seed, 4)),
		ledger: quota.NewAllocator(maxAccounts, n.seed), homes: map[string][]string{}, accounts: accounts,
	}
}

// update takes in the nodes that a table names.
func (q *quotas) update(t *table.Table) {
	var nodes []string
	for i := range t.Services {
		for _, u := range t.Services[i].Upstreams {
			nodes = append(nodes, u.Node)
		}
	}
	slices.Sort(nodes)
	nodes = slices.Compact(nodes)
	q.mu.Lock()
	defer q.mu.Unlock()
	if !slices.Equal(nodes, q.nodes) {
		q.nodes = nodes
		clear(q.homes)
	}
}

// homesFor returns the nodes to ask for an account. The lock is held.
func (q *quotas) homesFor(account string) []string {
	homes, ok := q.homes[account]
	if !ok {
		homes = quota.Homes(account, q.nodes)
		if len(q.homes) >= maxAccounts {
			clear(q.homes)
		}
		q.homes[account] = homes
	}
	return homes
}

// Admit waits until it is known whether a request of an account may be sent.
func (q *quotas) Admit(a *table.Account, left <-chan struct{}) entry.Admission {
	if !(a.Rate > 0) {
		return entry.Admission{OK: true}
	}
	admitted := make(chan entry.Admission, 1)
	q.mu.Lock()
	d := q.account(a.Name)
	d.limit = quota.Limit{Rate: a.Rate, Burst: a.Burst}
	d.waiting = append(d.waiting, admitted)
	starts := !d.isRequesting
	d.isRequesting = true
	q.mu.Unlock()
	if starts {
		go q.requestQuota(a.Name, d)
	}
	select {
	case admission := <-admitted:
		return admission
	case <-left:
		return entry.Admission{}
	}
}

// Refund gives back the leave of a request that was not run.
func (q *quotas) Refund(a *table.Account) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if d, ok := q.accounts.Get(a.Name); ok {
		d.returned = min(d.returned+1, quota.MaxCount)
	}
}

// account returns what is remembered of an account. The lock is held.
func (q *quotas) account(account string) *accountQuota {
	d, ok := q.accounts.Get(account)
	if !ok {
		d = &accountQuota{}
		q.accounts.Add(account, d)
	}
	return d
}

// requestQuota asks for leave until nobody waits for it. Requests that come meanwhile are asked for
// together.
func (q *quotas) requestQuota(account string, d *accountQuota) {
	for {
		q.mu.Lock()
		if len(d.waiting) == 0 {
			d.isRequesting = false
			q.mu.Unlock()
			return
		}
		count := min(len(d.waiting), quota.MaxCount)
		waiting := d.waiting[:count]
		d.waiting = d.waiting[count:]
		now := q.now()
		draw := quota.Request{Account: account, Limit: d.limit, Count: count, Returned: d.returned}
		draw.Hint, draw.HintHome = d.history.Hint(now)
		d.returned = 0
		homes := q.homesFor(account)
		q.mu.Unlock()
		grant, ok := q.tryHomes(homes, draw)
		q.resolveWaiters(d, waiting, grant, ok)
	}
}

// resolveWaiters tells those that wait what was granted, or decides without a home.
func (q *quotas) resolveWaiters(d *accountQuota, waiting []chan<- entry.Admission, g quota.Grant, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if ok {
		d.history.RecordGrant(now, d.limit, g)
	}
	for i, one := range waiting {
		switch {
		case ok && i < g.Granted:
			q.counts.Granted++
			one <- entry.Admission{OK: true}
		case ok:
			q.counts.Refused++
			one <- entry.Admission{OverQuota: true, RetryAfter: retryAfter(g, i)}
		case d.history.AdmitWithoutHome(now, d.limit, q.random.Float64()):
			q.counts.Alone++
			one <- entry.Admission{OK: true}
		default:
			q.counts.Unknown++
			one <- entry.Admission{RetryAfter: clock.Second}
		}
	}
}

// retryAfter is when the request at a place among those asked for may come back.
func retryAfter(g quota.Grant, place int) clock.Millis {
	if i := place - g.Granted; i < len(g.RetryAfter) {
		return g.RetryAfter[i]
	}
	return clock.Second
}

// tryHomes asks the homes one after the other, and returns false if none answered. For its
// own requests this node is the home only where it comes first and isn't cut off: it would
// else grant beside a home that all others ask.
func (q *quotas) tryHomes(homes []string, d quota.Request) (quota.Grant, bool) {
	for passed, home := range homes {
		if home == q.self {
			if passed == 0 && !q.isCutOff() {
				return q.grant(d), true
			}
			continue
		}
		frame := wire.NewQuotaRequest(q.sequence.Add(1), d)
		frame.SkippedHomes = passed
		if drawn := q.requestFromHome(home, frame, quotaRequestTimeout); drawn != nil {
			return drawn.ToQuota(), true
		}
	}
	return quota.Grant{}, false
}

// requestFromHome asks one home and waits for its answer, nil without one.
func (q *quotas) requestFromHome(home string, d *wire.QuotaRequest, span clock.Millis) *wire.QuotaGrant {
	peer := q.peer(home)
	if peer == nil || peer.IsLost() {
		return nil
	}
	told := make(chan *wire.QuotaGrant, 1)
	if peer.RequestQuota(d, func(a *wire.QuotaGrant) { told <- a }) != nil {
		return nil // the next home is asked
	}
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case a := <-told:
		return a
	case <-timer.C:
		peer.ForgetQuotaRequest(d.Seq)
		return nil
	}
}

// grant decides as the account's home.
func (q *quotas) grant(d quota.Request) quota.Grant {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Grant(q.now(), d)
}

// answer answers another node that asks. A home that isn't the first grants only where
// those before it are out of its own reach, too, and then a part of the limit: one that some
// nodes have lost goes on for the others.
func (q *quotas) answer(d *wire.QuotaRequest) *wire.QuotaGrant {
	draw := d.ToQuota()
	if d.SkippedHomes > 0 && !d.IsRelayed {
		q.mu.Lock()
		homes := q.homesFor(d.Account)
		q.mu.Unlock()
		relayed := *d
		relayed.IsRelayed, relayed.Seq = true, q.sequence.Add(1)
		for _, home := range homes[:min(d.SkippedHomes, len(homes))] {
			if home == q.self {
				break
			}
			if drawn := q.requestFromHome(home, &relayed, relayTimeout); drawn != nil {
				drawn.Seq = d.Seq
				return drawn
			}
		}
		draw.Limit = draw.Limit.Fallback()
	}
	return wire.NewQuotaGrant(d.Seq, q.grant(draw))
}

// QuotaCounts counts the decisions about requests of client accounts here.
func (q *quotas) QuotaCounts() metrics.QuotaCounts {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counts
}

// RequestQuota answers another node that asks for leave to send requests of a client account.
func (n *Node) RequestQuota(from uint64, d *wire.QuotaRequest) {
	if d.SkippedHomes == 0 || d.IsRelayed {
		n.links.SendQuotaGrant(from, n.quotas.answer(d))
		return
	}
	go func() { n.links.SendQuotaGrant(from, n.quotas.answer(d)) }() // it may wait for another home
}
