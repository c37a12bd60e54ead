package standin

import (
	"sync"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Outcome is how a request that a backend server began has ended.
type Outcome string

// Outcomes of begun requests.
const (
	Running   Outcome = "running"
	Served    Outcome = "served"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
)

// Entry is one request that a backend server began. A refused request has
// none. Instants are of the backend server's own clock.
type Entry struct {
	ID     string `json:"id"`
	Caller string `json:"caller"`
	// Account is the client account that the request is said to be of.
	Account string `json:"account"`
	// Authorization is that header of the request.
	Authorization string `json:"authorization"`
	Method        string `json:"method"`
	Path          string `json:"path"`
	// BodyHash is the SHA-256 of the request's body, in hexadecimal.
	BodyHash string       `json:"body"`
	Started  clock.Millis `json:"started"`
	Ended    clock.Millis `json:"ended"`
	Outcome  Outcome      `json:"outcome"`
}

// Totals counts all requests since the start, those that the ledger no longer
// holds included.
type Totals struct {
	Begun     uint64 `json:"begun"`
	Served    uint64 `json:"served"`
	Failed    uint64 `json:"failed"`
	Cancelled uint64 `json:"cancelled"`
	// Refused counts requests that did not run and have no entry.
	Refused uint64 `json:"refused"`
	// Queued counts requests that found no free slot and waited for one.
	Queued uint64 `json:"queued"`
	// Abandoned counts requests whose connection closed while they waited.
	Abandoned uint64 `json:"abandoned"`
	// Dropped counts entries that newer ones have replaced.
	Dropped uint64 `json:"dropped"`
}

// Ended counts begun requests that are over.
func (t Totals) Ended() uint64 {
	return t.Served + t.Failed + t.Cancelled
}

// defaultLedgerSize bounds the entries held: some 20 MB, and minutes of a busy
// backend server of the users' sizes.
const defaultLedgerSize = 1 << 16

// ledger is a ring of the latest entries.
type ledger struct {
	size    uint64 // entries held at most
	mu      sync.Mutex
	ring    []Entry
	totals  Totals
	changed broadcast
}

// begin enters a request and returns its number.
func (l *ledger) begin(entry Entry) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.changed.notify()
	number := l.totals.Begun
	l.totals.Begun++
	if uint64(len(l.ring)) < l.size {
		l.ring = append(l.ring, entry)
		return number
	}
	l.ring[number%l.size] = entry
	l.totals.Dropped++
	return number
}

func (l *ledger) end(number uint64, outcome Outcome, at clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.changed.notify()
	switch outcome {
	case Served:
		l.totals.Served++
	case Failed:
		l.totals.Failed++
	case Cancelled:
		l.totals.Cancelled++
	case Running:
	}
	if l.totals.Begun-number > l.size {
		return
	}
	entry := &l.ring[number%l.size]
	entry.Ended = at
	entry.Outcome = outcome
}

// updateTotals changes the counts by what isn't entered.
func (l *ledger) updateTotals(change func(*Totals)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.totals)
	l.changed.notify()
}

// entries returns a copy, oldest first.
func (l *ledger) entries() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]Entry, 0, len(l.ring))
	if uint64(len(l.ring)) == l.size {
		first := l.totals.Begun % l.size
		out = append(out, l.ring[first:]...)
		return append(out, l.ring[:first]...)
	}
	return append(out, l.ring...)
}

func (l *ledger) counts() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}
