package standin

import (
	"sync"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Outcome is the result of a request that a backend server began.
type Outcome string

// Outcomes of begun requests.
const (
	Running   Outcome = "running"
	Served    Outcome = "served"
	Failed    Outcome = "failed"
	Cancelled Outcome = "cancelled"
)

// Entry is one request that a backend server began. A refused request has no entry. Started
// and Ended are times of the backend server's own clock.
type Entry struct {
	ID     string `json:"id"`
	Caller string `json:"caller"`
	// Account is the client account that the request's AccountHeader names.
	Account string `json:"account"`
	// Authorization is the request's Authorization header.
	Authorization string `json:"authorization"`
	Method        string `json:"method"`
	Path          string `json:"path"`
	// BodyHash is the SHA-256 of the request's body, in hexadecimal.
	BodyHash string       `json:"body"`
	Started  clock.Millis `json:"started"`
	Ended    clock.Millis `json:"ended"`
	Outcome  Outcome      `json:"outcome"`
	// Arrived is the time of day of Started, to compare with times of other processes.
	Arrived time.Time `json:"arrived"`
	// Gate is the address from which the gate's connection came. A process of a gate has
	// others than the one that it replaces.
	Gate string `json:"gate"`
}

// Totals counts all requests since the start, including those that the ledger no longer
// holds.
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
	// Dropped counts entries that newer entries have replaced.
	Dropped uint64 `json:"dropped"`
}

// Ended returns the number of begun requests that have ended.
func (t Totals) Ended() uint64 {
	return t.Served + t.Failed + t.Cancelled
}

// defaultLedgerSize is the default number of entries kept: about 20 MB, or several minutes
// of requests to a busy backend server of the deployments' sizes.
const defaultLedgerSize = 1 << 16

// ledger is a ring buffer of the most recent entries.
type ledger struct {
	size    uint64 // maximum number of entries
	mu      sync.Mutex
	ring    []Entry
	totals  Totals
	changed broadcast
}

// begin adds an entry and returns its number, which counts from 0.
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

// end sets the outcome and end time of an entry, if the ledger still holds it.
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

// updateTotals applies a change to the totals for a request that has no entry.
func (l *ledger) updateTotals(change func(*Totals)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.totals)
	l.changed.notify()
}

// entries returns a copy of the entries, oldest first.
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
