package entry

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/choice"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/waiting"
)

// domainWaitShare divides the time that a request with a large body has left to meet its
// target beyond a typical run: it waits for a slot in its own failure domain for this
// fraction, and the rest remains for a slot in another.
const domainWaitShare = 2

// maxDomainClaims is the number of claims of a search in the own failure domain: half of those of
// a request, so that it can still search the other domains.
const maxDomainClaims = waiting.MaxClaims / 2

// domainState records the search of a request with a large body for a slot in its entry's
// own failure domain.
type domainState struct {
	// isSearched limits the choice to the own domain.
	isSearched bool
	// probed and left record the steps of the search that are over.
	probed, left bool
}

// placesByCost reports whether sizes count in the choice of an upstream.
func (r *request) placesByCost() bool {
	return r.config.Placement == table.PlaceByCost && r.config.Caution == table.ShortEpisodes
}

// transfer returns what crosses to another failure domain with the request. It is zero for a
// service that isn't placed by cost, and for a large body that found no slot in its own
// domain: it may then go to any.
func (r *request) transfer() choice.Transfer {
	if !r.placesByCost() || r.selection.domain.left {
		return choice.Transfer{}
	}
	typical := r.entry.sizes.typical(r.route)
	t := choice.Transfer{Request: len(r.body), Response: typical.response}
	if r.route.Bulk {
		t.Request = max(t.Request, typical.request)
	}
	return t
}

// chooseInOwnDomain picks an upstream in the entry's own failure domain for a request with a
// large body. It takes the same steps as choose: a direct attempt, a probe of several gates
// and a wait at several gates. If it returns false, the request may go to any domain.
func (r *request) chooseInOwnDomain(now clock.Millis) (a attempt, untried int, ok bool) {
	if !r.transfer().IsBulk() {
		return attempt{}, 0, false
	}
	domain := &r.selection.domain
	domain.isSearched = true
	defer func() { domain.isSearched = false }()
	budget := r.domainWaitBudget(now)
	switch {
	case r.claimsOnly():
		if budget > 0 && !r.mustEnd() {
			a, untried, ok = r.searchSlot(now, searchScope{startBy: now + budget, ownDomain: true, claims: maxDomainClaims})
		}
		domain.left = !ok
		return a, untried, ok
	case !r.isLastTry() && r.selection.directAttempts < maxDirectAttempts:
		filter := candidateFilter{retryable: true, ownDomain: true, tried: append(slices.Clone(r.tried), r.selection.fullGates...), transfer: r.transfer()}
		a, untried, ok = r.service.chooseBySeverity(now, filter)
		a.noWait = true
	case r.isLastTry() && !domain.probed:
		domain.probed = true
		a, untried, ok = r.reserveSlot(now, maxProbedGates, 0)
	}
	if !ok && budget > 0 && !r.mustEnd() {
		a, untried, ok = r.reserveSlot(now, maxQueuedGates, budget)
	}
	if !ok {
		domain.left = true
		r.selection.directAttempts = 0 // no gate of another domain has been asked yet
	}
	return a, untried, ok
}

// claimsOnly reports whether the request asks for slots with claims alone. A claim states the size
// of its body, so that the slot stays reserved until a large body has arrived; the slot that a
// capacity probe reserves would be lost meanwhile, and the transfer wasted.
func (r *request) claimsOnly() bool {
	return r.config.Waiting == table.WaitForService && r.isLastTry() && len(r.body) >= choice.BulkSize
}

// domainWaitBudget returns how long a request may wait for a slot in its own failure domain.
func (r *request) domainWaitBudget(now clock.Millis) clock.Millis {
	target := r.deadline
	if r.route.LatencyTarget > 0 {
		target = min(target, r.started+r.route.LatencyTarget)
	}
	return max((target-now-r.typicalLatency().Median)/domainWaitShare, 0)
}
