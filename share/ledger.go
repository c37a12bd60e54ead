// Package share decides how the slots of a service are divided among its client accounts and
// priorities while requests wait for them.
package share

import (
	"cmp"
	"math"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// decayTime is the time after which a past second of use counts 1/e: about thirty runs of
	// 230 to 380 ms in one slot, so that a single run doesn't decide the order.
	decayTime = 10 * clock.Second
	// minUse is the use, in slot-seconds per second, below which an account is removed from a
	// Ledger: a run of 300 ms adds 0.03, and is forgotten after 35 s.
	minUse = 0.001
	// sweepInterval is how often a Ledger looks for accounts below minUse.
	sweepInterval = clock.Second
	// defaultWeight is the weight of an account that states none.
	defaultWeight = 1.0
)

// Use is an account's use of slots in slot-seconds per second.
type Use struct {
	// Account is empty for requests without an account.
	Account string
	Used    float64
}

// Ledger counts the use of an upstream's slots by account, averaged over about the last
// decayTime. It holds a bounded number of accounts; the least used is evicted first. It isn't
// safe for concurrent use.
type Ledger struct {
	config   LedgerConfig
	accounts map[string]*account
	weights  float64 // sum over accounts
	total    average
	sweptAt  clock.Millis
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	MaxAccounts int
	// Weight returns the weight of an account relative to others, or 0 for the default, 1.
	Weight func(account string) float64
}

// account is what a Ledger holds for one account.
type account struct {
	use    average
	weight float64
	// seenAt is when a request of the account last asked for a slot.
	seenAt clock.Millis
	// returnAt is the instant in milliseconds at which the request refused last may return.
	returnAt float64
}

// average is the number of running requests, averaged with exponential decay.
type average struct {
	value     float64
	running   int
	updatedAt clock.Millis
}

func (a *average) advance(now clock.Millis) float64 {
	if now > a.updatedAt {
		kept := math.Exp(-float64(now-a.updatedAt) / float64(decayTime))
		a.value = float64(a.running) + (a.value-float64(a.running))*kept
		a.updatedAt = now
	}
	return a.value
}

func (a *average) add(now clock.Millis, runs int) {
	a.advance(now)
	a.running = max(a.running+runs, 0)
}

// NewLedger returns a Ledger without use.
func NewLedger(c LedgerConfig) *Ledger {
	return &Ledger{config: c, accounts: make(map[string]*account, c.MaxAccounts)}
}

// Want counts the account among those that the slots are shared by, also if it has none.
func (l *Ledger) Want(now clock.Millis, name string) {
	l.sweep(now)
	l.record(now, name)
}

// Begin counts a run of the account that begins.
func (l *Ledger) Begin(now clock.Millis, name string) {
	l.sweep(now)
	l.record(now, name).use.add(now, 1)
	l.total.add(now, 1)
}

// End counts the end of a run for which Begin was called.
func (l *Ledger) End(now clock.Millis, name string) {
	if a, ok := l.accounts[name]; ok && a.use.running > 0 {
		a.use.add(now, -1)
		l.total.add(now, -1)
	}
}

// record returns an account's record. It creates the record if needed, in place of the least
// used account if the ledger is full. Accounts with a running request are evicted last.
func (l *Ledger) record(now clock.Millis, name string) *account {
	a, ok := l.accounts[name]
	if !ok {
		if len(l.accounts) >= l.config.MaxAccounts {
			l.evict(now)
		}
		a = &account{use: average{updatedAt: now}}
		l.accounts[name] = a
	}
	weight := l.weightOf(name)
	l.weights += weight - a.weight
	a.weight, a.seenAt = weight, max(a.seenAt, now)
	return a
}

func (l *Ledger) weightOf(name string) float64 {
	if weight := l.config.Weight(name); weight > 0 {
		return weight
	}
	return defaultWeight
}

func (l *Ledger) evict(now clock.Millis) {
	victim, least := "", math.Inf(1)
	for name, a := range l.accounts {
		use := a.use.advance(now) + float64(a.use.running)*float64(l.config.MaxAccounts)
		if use < least || (use == least && name < victim) {
			victim, least = name, use
		}
	}
	l.remove(now, victim)
}

// remove removes an account. Its past use still counts in the total until it has decayed.
func (l *Ledger) remove(now clock.Millis, name string) {
	a := l.accounts[name]
	l.total.add(now, -a.use.running)
	l.weights -= a.weight
	delete(l.accounts, name)
}

// sweep removes the accounts whose use has decayed below minUse and that want no slot.
func (l *Ledger) sweep(now clock.Millis) {
	if now-l.sweptAt < sweepInterval {
		return
	}
	l.sweptAt = now
	for name, a := range l.accounts {
		if a.use.advance(now) < minUse && a.use.running == 0 && max(a.returnAt, float64(a.seenAt+decayTime)) < float64(now) {
			l.remove(now, name)
		}
	}
}

// Excess returns how often the account has used its weighted share, 1 if it has not used more
// than that. It is the larger of what the ledger has counted, and of the use of the whole service
// by which the weight stated in a claim is reduced. The stated weight is 0 if there is none.
//
// Accounts within their shares are not told apart: whatever they want is less than what those
// over their shares can have.
func (l *Ledger) Excess(now clock.Millis, name string, stated float64) float64 {
	weight, excess := l.weightOf(name), 1.0
	if len(l.accounts) > 0 && stated > 0 && stated < weight {
		// A claim relates the use to an equal share, without weights.
		excess = max(excess, l.weights/float64(len(l.accounts))/stated)
	}
	if a, ok := l.accounts[name]; ok {
		if total := l.total.advance(now); total > 0 {
			excess = max(excess, a.use.advance(now)/weight*l.weights/total)
		}
	}
	return excess
}

// Largest returns the n accounts with the largest use, the largest first, and the use of all
// others, including the requests without an account.
func (l *Ledger) Largest(now clock.Millis, n int) (largest []Use, rest float64) {
	l.sweep(now)
	uses := make([]Use, 0, len(l.accounts))
	for name, a := range l.accounts {
		if name != "" {
			uses = append(uses, Use{Account: name, Used: a.use.advance(now)})
		}
	}
	largest, rest = selectLargest(uses, n), l.total.advance(now)
	for _, u := range largest {
		rest -= u.Used
	}
	return largest, max(rest, 0)
}

// selectLargest returns the n largest uses, the largest first.
func selectLargest(uses []Use, n int) []Use {
	slices.SortFunc(uses, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.Account, b.Account))
	})
	return uses[:min(n, len(uses))]
}

// Return is when a refused request may return.
type Return struct {
	// First is the earliest delay of an account within its share, Interval the time between two
	// completions, and Bound the largest delay, in milliseconds.
	First, Interval, Bound float64
}

// Delay returns the milliseconds after which a refused request of the account may retry: r.First
// times the account's excess, and not before the account's requests refused earlier. The
// accounts with returns to come take turns, so that all together return at the rate at which
// requests complete.
func (l *Ledger) Delay(now clock.Millis, name string, excess float64, r Return) float64 {
	l.sweep(now)
	a := l.record(now, name)
	returning := 1
	for _, other := range l.accounts {
		if other != a && other.returnAt > float64(now) {
			returning++
		}
	}
	at := max(float64(now)+r.First*max(excess, 1), a.returnAt+r.Interval*float64(returning))
	a.returnAt = min(at, float64(now)+r.Bound)
	return a.returnAt - float64(now)
}
