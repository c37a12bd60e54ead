package report_test

import (
	"fmt"
	"strings"
	"testing"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/report"
)

// One account uses most of a service, and ten others little. An operator must find it in the
// report with its use at all gates and its refusals, whichever nodes counted them; the accounts
// that are not shown must not be missing from the sums.
func TestReportShowsTheLargestAccounts(t *testing.T) {
	nodes := results()
	for i, r := range nodes[:2] {
		r.Snapshot.Shares = []access.AccountShare{{Service: "conferme", Account: "hotel-aretusa", Used: 3}, {Service: "conferme", Used: 0.5}}
		for account := range 5 {
			r.Snapshot.Shares = append(r.Snapshot.Shares, access.AccountShare{Service: "conferme", Account: fmt.Sprintf("a%d", 5*i+account), Used: 0.1})
		}
		r.Snapshot.Totals = append(r.Snapshot.Totals,
			access.Total{Caller: "hotel-aretusa", Service: "conferme", Outcome: access.NotRun, Reason: "full", Count: 20},
			access.Total{Caller: "hotel-aretusa", Service: "conferme", Outcome: access.NotRun, Reason: access.ReasonCallerLimit, Count: 7},
			access.Total{Caller: "unknown", Service: "conferme", Outcome: access.NotRun, Reason: "full", Count: 2})
	}
	r := report.Merge(nodes)
	if got := len(r.Shares); got != access.MaxShares+1 {
		t.Fatalf("got %d shares, want %d accounts and the rest", got, access.MaxShares)
	}
	if got := r.Shares[0]; got.Account != "hotel-aretusa" || got.Used != 6 || got.Share < 0.749 || got.Share > 0.751 || got.Refused != 40 {
		t.Errorf("got %+v first, want hotel-aretusa with 6 of 8 slots and 40 refusals", got)
	}
	if got := r.Shares[access.MaxShares]; got.Account != "" || got.Used < 1.29 || got.Used > 1.31 || got.Refused != 4 {
		t.Errorf("got %+v last, want the rest with 1.3 slots and 4 refusals", got)
	}
	var text strings.Builder
	err := r.Text(&text)
	if _, sheet, _ := strings.Cut(text.String(), "SHARES"); err != nil || !strings.Contains(strings.Join(strings.Fields(sheet), " "), "conferme hotel-aretusa 6.0 75% 40 conferme") {
		t.Errorf("got error %v and text without the account's share:\n%s", err, text.String())
	}
}
