package entry

import (
	"sync"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/share"
	"fuchsiapick.example/fuchsiapick/wire"
)

// accountShares is the use of a service by client accounts, as its gates state it. It is safe
// for concurrent use.
type accountShares struct {
	mu    sync.Mutex
	state *share.Service
}

func newAccountShares() *accountShares {
	return &accountShares{state: share.NewService()}
}

// update replaces what the gate of an upstream has stated, as received at now.
func (a *accountShares) update(now clock.Millis, upstream string, shares []wire.AccountShare) {
	uses := make([]share.Use, 0, len(shares))
	for i := range shares {
		uses = append(uses, share.Use{Account: shares[i].Account, Used: shares[i].Used})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Update(now, upstream, uses)
}

// claimWeight returns the weight that a claim of the account states, given the account's weight
// in the table. The account is empty for requests without one.
func (a *accountShares) claimWeight(now clock.Millis, account string, weight float64) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Weight(now, account, weight)
}

// AccountWeight returns the weight of a client account in the table in force, or 0 for the
// default.
func (e *Entry) AccountWeight(account string) float64 {
	t := e.table.Load()
	if t == nil || account == "" {
		return 0
	}
	a, ok := t.AccountNamed(account)
	if !ok {
		return 0
	}
	return a.Weight
}
