package node

import (
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/metrics"
	"fuchsiapick.example/fuchsiapick/quota"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// maxAccounts bounds the client accounts whose state is kept, both as their home and as a
	// node that asks a home. The least recently used one is evicted first.
	maxAccounts = 50_000
	// quotaRequestTimeout bounds the wait for a home's answer before the next home is asked.
	quotaRequestTimeout = 100 * clock.Millis(1)
	// quotaRelayTimeout bounds the wait for a home that comes earlier in the order, when
	// another home asks it on behalf of a node that can't reach it.
	quotaRelayTimeout = 40 * clock.Millis(1)
	// quotaForwardTimeout bounds the wait for a node that asks that home in turn. It and
	// quotaRelayTimeout together are less than quotaRequestTimeout.
	quotaForwardTimeout = 50 * clock.Millis(1)
)

// quotas admits requests of client accounts within their quotas: it asks the homes of the
// accounts for grants, and grants requests of those accounts whose home this node is. It is
// safe for concurrent use.
type quotas struct {
	now  func() clock.Millis
	self string
	// peer returns the link to a node, or nil if there is no such peer.
	peer func(node string) *link.Peer
	// isCutOff reports whether the table is outdated and most nodes are unreachable.
	isCutOff func() bool

	panics   *logging.Panics
	sequence atomic.Uint64
	counts   metrics.QuotaCounts

	mu        sync.Mutex
	random    *rand.Rand
	allocator *quota.Allocator
	nodes     []string // that the table names, sorted
	homes     map[string][]string
	contacts  *quota.Contacts
	accounts  *simplelru.LRU[string, *accountQuota]
}

// accountQuota is the state of one client account on a node that asks the account's home for
// grants.
type accountQuota struct {
	history      quota.History
	limit        quota.Limit
	waiting      []*admission
	returned     int
	isRequesting bool
}

// admission is a request that waits for the decision of its account's home.
type admission struct {
	decided chan entry.Admission
	// isAbandoned means that the request waits no longer.
	isAbandoned bool
}

func newQuotas(n *Node) *quotas {
	accounts, err := simplelru.NewLRU[string, *accountQuota](maxAccounts, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return &quotas{
		panics: n.panics, now: n.clock.Now, self: n.address(), peer: n.peerLink, isCutOff: n.isCutOff, random: rand.New(rand.NewPCG(n.seed, 4)),
		allocator: quota.NewAllocator(maxAccounts, n.seed), homes: map[string][]string{}, contacts: quota.NewContacts(), accounts: accounts,
	}
}

// setNodes sets the nodes that may be homes to those that a table names. A change clears the
// cached homes.
func (q *quotas) setNodes(t *table.Table) {
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
		q.contacts.Retain(nodes)
		clear(q.homes)
	}
}

// homesFor returns the addresses of an account's homes, in the order in which they are asked.
// The caller holds the lock.
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

// Admit waits until it is decided whether a request of an account may be sent, at most for the
// given time and until gone is closed because the caller has disconnected. An account without a
// rate has no limit.
func (q *quotas) Admit(a *table.Account, within clock.Millis, gone <-chan struct{}) entry.Admission {
	if !(a.Rate > 0) {
		return entry.Admission{OK: true}
	}
	waiter := &admission{decided: make(chan entry.Admission, 1)}
	q.mu.Lock()
	state := q.account(a.Name)
	state.limit = quota.Limit{Rate: a.Rate, Burst: a.Burst}
	state.waiting = append(state.waiting, waiter)
	starts := !state.isRequesting
	state.isRequesting = true
	q.mu.Unlock()
	if starts {
		go q.requestQuota(a.Name, state)
	}
	timer := time.NewTimer(max(within, 0).Duration())
	defer timer.Stop()
	select {
	case decision := <-waiter.decided:
		return decision
	case <-gone:
	case <-timer.C:
	}
	return q.abandon(waiter)
}

// abandon ends the wait of a request. It returns the decision if there is one by now, and
// otherwise that the quota's state is unknown.
func (q *quotas) abandon(waiter *admission) entry.Admission {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case decision := <-waiter.decided:
		return decision
	default:
		waiter.isAbandoned = true
		return entry.Admission{RetryAfter: clock.Second}
	}
}

// Refund returns the grant of a request that was not run. The next quota request reports it.
func (q *quotas) Refund(a *table.Account) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if state, ok := q.accounts.Get(a.Name); ok {
		state.returned = min(state.returned+1, quota.MaxCount)
	}
}

// account returns the state of an account and creates it if necessary. The caller holds the
// lock.
func (q *quotas) account(account string) *accountQuota {
	state, ok := q.accounts.Get(account)
	if !ok {
		state = &accountQuota{}
		q.accounts.Add(account, state)
	}
	return state
}

// requestQuota sends quota requests for an account until no request waits for one. Requests
// that arrive while one is in progress are combined into the next.
func (q *quotas) requestQuota(account string, state *accountQuota) {
	defer q.recoverPanic(func() { state.isRequesting = false })
	for {
		q.mu.Lock()
		state.waiting = slices.DeleteFunc(state.waiting, func(w *admission) bool { return w.isAbandoned })
		if len(state.waiting) == 0 {
			state.isRequesting = false
			q.mu.Unlock()
			return
		}
		count := min(len(state.waiting), quota.MaxCount)
		waiting := slices.Clone(state.waiting[:count])
		state.waiting = slices.Delete(state.waiting, 0, count)
		now := q.now()
		request := quota.Request{Account: account, Limit: state.limit, Count: count, Returned: state.returned}
		request.Hint, request.HintHome = state.history.Hint(now)
		state.returned = 0
		homes := q.homesFor(account)
		q.mu.Unlock()
		grant, ok := q.tryHomes(homes, request)
		q.resolveWaiters(state, waiting, grant, ok)
	}
}

// resolveWaiters notifies the waiting requests whether they are admitted: by the grant, or by the
// account's history if no home has answered. Grants of requests that wait no longer are returned.
func (q *quotas) resolveWaiters(state *accountQuota, waiting []*admission, grant quota.Grant, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	if ok {
		state.history.RecordGrant(now, state.limit, grant)
	}
	for i, waiter := range waiting {
		switch {
		case waiter.isAbandoned:
			if ok && i < grant.Granted {
				state.returned = min(state.returned+1, quota.MaxCount)
			}
		case ok && i < grant.Granted:
			q.counts.Granted++
			waiter.decided <- entry.Admission{OK: true}
		case ok:
			q.counts.Refused++
			waiter.decided <- entry.Admission{OverQuota: true, RetryAfter: retryAfter(grant, i)}
		case state.history.AdmitWithoutHome(now, state.limit, q.random.Float64()):
			q.counts.Alone++
			waiter.decided <- entry.Admission{OK: true}
		default:
			q.counts.Unknown++
			waiter.decided <- entry.Admission{RetryAfter: clock.Second}
		}
	}
}

// retryAfter returns the delay after which the refused request at an index of a quota request
// may be sent again.
func retryAfter(grant quota.Grant, index int) clock.Millis {
	if i := index - grant.Granted; i < len(grant.RetryAfter) {
		return grant.RetryAfter[i]
	}
	return clock.Second
}

// tryHomes asks the homes in order, and returns false if none has answered. This node grants
// its own requests only if it is the first home. Otherwise it would grant requests in addition
// to a home that all other nodes ask.
func (q *quotas) tryHomes(homes []string, request quota.Request) (quota.Grant, bool) {
	if len(homes) > 0 && homes[0] == q.self {
		return q.grant(request), true
	}
	for skipped, home := range homes {
		if home == q.self {
			continue
		}
		frame := wire.NewQuotaRequest(q.sequence.Add(1), request)
		frame.SkippedHomes = skipped
		if grant := q.requestFromHome(home, frame, quotaRequestTimeout); grant != nil {
			return grant.ToQuota(), true
		}
	}
	return quota.Grant{}, false
}

// requestFromHome asks one home and waits for its grant. It returns nil if the home is
// unreachable or doesn't answer within the timeout.
func (q *quotas) requestFromHome(home string, request *wire.QuotaRequest, timeout clock.Millis) *wire.QuotaGrant {
	peer := q.peer(home)
	if peer == nil || peer.IsLost() {
		return nil
	}
	sent := q.now()
	grant := q.sendRequest(peer, request, timeout)
	if grant != nil {
		q.recordContact(home, sent)
	}
	return grant
}

// sendRequest sends a quota request to a peer and waits for its grant. It returns nil if nothing
// was sent or the peer doesn't answer within the timeout.
func (q *quotas) sendRequest(peer *link.Peer, request *wire.QuotaRequest, timeout clock.Millis) *wire.QuotaGrant {
	granted := make(chan *wire.QuotaGrant, 1)
	if peer.RequestQuota(request, func(grant *wire.QuotaGrant) { granted <- grant }) != nil {
		return nil
	}
	return awaitGrant(peer, request.Seq, granted, timeout)
}

// awaitGrant waits for the answer to a quota request that was sent to a peer. It returns nil if
// there is none within the timeout.
func awaitGrant(peer *link.Peer, seq uint64, granted <-chan *wire.QuotaGrant, timeout clock.Millis) *wire.QuotaGrant {
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	select {
	case grant := <-granted:
		return grant
	case <-timer.C:
		peer.ForgetQuotaRequest(seq)
		return nil
	}
}

// grant decides about a quota request as a home of the account, within this home's share of the
// limit. If the account is near its limit, it has the other homes checked that the share depends on.
func (q *quotas) grant(request quota.Request) quota.Grant {
	isCutOff := q.isCutOff()
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	homes := q.homesFor(request.Account)
	if q.allocator.IsNearLimit(request.Account, request.Limit) {
		for _, home := range q.contacts.StartChecks(now, quota.LaterHomes(q.self, homes)) {
			go q.checkContact(home)
		}
	}
	request.Limit = request.Limit.Part(q.contacts.Share(now, q.self, homes, isCutOff))
	return q.allocator.Grant(now, request)
}

// recoverPanic must be deferred. It ends a panic, and calls reset with the lock held.
func (q *quotas) recoverPanic(reset func()) {
	value := recover()
	if value == nil {
		return
	}
	q.panics.Record(PartQuota, value, debug.Stack())
	q.mu.Lock()
	defer q.mu.Unlock()
	reset()
}

// checkContact checks the contact with another home by a quota request for no account, which every
// node answers. It is sent also if the path counts as lost. A node whose machine refuses links
// grants nothing to others, and counts as reached.
func (q *quotas) checkContact(home string) {
	defer q.recoverPanic(func() {}) // the next check is due after its interval
	peer := q.peer(home)
	if peer == nil {
		return
	}
	sent := q.now()
	grant := q.sendRequest(peer, wire.NewQuotaRequest(q.sequence.Add(1), quota.Request{}), quota.ContactTimeout)
	if grant != nil || peer.IsRefused() {
		q.recordContact(home, sent)
	}
}

func (q *quotas) recordContact(home string, sent clock.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.contacts.Answered(home, sent)
}

// QuotaCounts returns how many requests of client accounts this node has admitted and refused.
func (q *quotas) QuotaCounts() metrics.QuotaCounts {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counts
}
