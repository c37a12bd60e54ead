package access

import (
	"cmp"
	"slices"
)

const (
	// MaxShares is the number of accounts of a service that are shown.
	MaxShares = 8
	// maxUsed is more slots than a service has. It keeps sums of what a damaged answer holds
	// finite.
	maxUsed = 1e9
)

// AccountShare is the use of a service by one account, where requests wait for the whole
// service.
type AccountShare struct {
	Service string `json:"service"`
	// Account is empty for all accounts that are not named and for requests without one.
	Account string `json:"account"`
	// Used is in slot-seconds per second, averaged over about 10 s, Share its part of the use
	// of the service.
	Used  float64 `json:"used"`
	Share float64 `json:"share"`
	// Refused is the number of the account's requests that were not run, other than for its
	// own limits and faults.
	Refused uint64 `json:"refused"`
}

// SummarizeShares sums uses of several upstreams. For each service it returns the MaxShares
// accounts with the largest use, the largest first, and then all others without a name. The
// refusals come from totals.
func SummarizeShares(uses []AccountShare, totals []Total) []AccountShare {
	services := map[string]map[string]*AccountShare{}
	for i := range uses {
		u := &uses[i]
		if services[u.Service] == nil {
			services[u.Service] = map[string]*AccountShare{}
		}
		if u.Used > 0 && u.Used < maxUsed {
			shareOf(services[u.Service], u.Service, u.Account).Used += u.Used
		}
	}
	for i := range totals {
		t := &totals[i]
		if accounts := services[t.Service]; accounts != nil && t.Outcome == NotRun && !IsCallerFault(t.Reason) {
			shareOf(accounts, t.Service, t.Caller).Refused += t.Count
		}
	}
	summary := make([]AccountShare, 0, len(services)*(MaxShares+1))
	for _, accounts := range services {
		summary = append(summary, largestShares(accounts)...)
	}
	slices.SortStableFunc(summary, func(a, b AccountShare) int { return cmp.Compare(a.Service, b.Service) })
	return summary
}

// shareOf returns the share of an account, which it creates if needed.
func shareOf(accounts map[string]*AccountShare, service, account string) *AccountShare {
	if accounts[account] == nil {
		accounts[account] = &AccountShare{Service: service, Account: account}
	}
	return accounts[account]
}

// largestShares returns the shares of one service.
func largestShares(accounts map[string]*AccountShare) []AccountShare {
	all := make([]AccountShare, 0, len(accounts))
	for _, a := range accounts {
		all = append(all, *a)
	}
	slices.SortFunc(all, func(a, b AccountShare) int {
		return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.Account, b.Account))
	})
	var largest []AccountShare
	rest, total := AccountShare{}, 0.0
	for _, a := range all {
		total += a.Used
		if a.Account != "" && a.Used > 0 && len(largest) < MaxShares {
			largest = append(largest, a)
			continue
		}
		rest.Service = a.Service
		rest.Used += a.Used
		rest.Refused += a.Refused
	}
	if rest.Used > 0 || rest.Refused > 0 {
		largest = append(largest, rest)
	}
	for i := range largest {
		if total > 0 {
			largest[i].Share = largest[i].Used / total
		}
	}
	return largest
}
