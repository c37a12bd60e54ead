package report

import (
	"cmp"

	"fuchsiapick.example/fuchsiapick/access"
)

// mergeShares sums the shares of accounts over the nodes' gates.
func (m *merger) mergeShares() {
	var uses []access.AccountShare
	for _, s := range m.snapshots {
		uses = append(uses, s.Shares...)
	}
	m.report.Shares = access.SummarizeShares(uses, m.report.Totals)
}

// shareSheets returns the table of the shares, or nothing if no service has any.
func (r *Report) shareSheets() []sheet {
	if len(r.Shares) == 0 {
		return nil
	}
	s := sheet{
		Title: "Shares",
		Note: "The accounts that use most of a service just now. An account over its share waits " +
			"behind the others and is refused first.",
		Columns: []column{
			textColumn("service"), longTextColumn("account"), numberColumn("slots in use"), numberColumn("share"), numberColumn("not run"),
		},
	}
	for _, a := range r.Shares {
		s.Rows = append(s.Rows, []string{
			a.Service, cmp.Or(a.Account, access.Others), formatDecimal(a.Used), formatPercent(a.Share), formatCount(a.Refused),
		})
	}
	return []sheet{s.limitRows(maxRows)}
}
