package gate

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/waiting"
	"fuchsiapick.example/fuchsiapick/wire"
)

// maxShares is the number of accounts that a gate names in its profile. An account over its
// share of a service is among the largest users of most gates; more names would only add bytes.
const maxShares = 8

const (
	// queuePerSlot is the number of queue positions per slot for services whose requests wait at
	// several gates at the same time: most of the positions are released unused.
	queuePerSlot = 3
	// claimsPerSlot is the number of claims per slot that may wait. A request that waits for its
	// service has waiting.MaxOpen of them, and a claim is small. With fewer positions, requests are
	// refused as full by one gate after the other and spend their claims within milliseconds.
	claimsPerSlot = queuePerSlot * waiting.MaxOpen
)

// slots returns the configuration of the slots of an upstream.
func (g *Config) slots(s *table.Service, u *table.Upstream) limit.SlotsConfig {
	c := limit.SlotsConfig{
		Slots: u.Slots, Queue: s.Queue, Seed: g.Seed,
		FairShare: s.Waiting == table.WaitForService, AccountWeight: g.AccountWeight,
	}
	if s.Caution == table.ShortEpisodes {
		perSlot := queuePerSlot
		if s.Waiting == table.WaitForService {
			perSlot = claimsPerSlot
		}
		c.Queue = max(c.Queue, perSlot*u.Slots)
	}
	return c
}

// Shares returns the maxShares accounts that use most of the upstream, the largest first, and
// then the use of all others without a name. It returns nothing unless requests wait for the
// whole service.
func (g *Gate) Shares() []wire.AccountShare {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shares(g.config.Now())
}

// shares is Shares with the gate's lock held.
func (g *Gate) shares(now clock.Millis) []wire.AccountShare {
	largest, rest := g.slots.LargestUses(now, maxShares)
	shares := make([]wire.AccountShare, 0, len(largest)+1)
	for _, u := range largest {
		shares = append(shares, wire.AccountShare{Account: u.Account, Used: wire.RoundFloat(u.Used)})
	}
	if rest > 0 {
		shares = append(shares, wire.AccountShare{Used: wire.RoundFloat(rest)})
	}
	return shares
}

// waiterRefusal returns the reason and the retry delay for a waiter that was removed from the
// queue for the given reason, or those of a waiter that a request of another account displaced.
// The delay is 0 unless the waiter was displaced. It is called with the gate's lock held.
func (g *Gate) waiterRefusal(ticket uint64, reason wire.Reason) (wire.Reason, clock.Millis) {
	retryAfter, ok := g.slots.Displacement(ticket)
	if !ok {
		return reason, 0
	}
	if g.config.Refusals != nil {
		g.config.Refusals.RecordDisplacement(g.service.Name)
	}
	return wire.ReasonFull, retryAfter
}
