package report

import (
	"cmp"
	"slices"

	"fuchsiapick.example/fuchsiapick/access"
)

// mergeRetries sums the use of each service's retry budget over the nodes. The sum of the
// bounds of all gates is the service's bound; gates of nodes that didn't answer are missing
// from it.
func (m *merger) mergeRetries() {
	sums := make(map[string]*access.ServiceRetries)
	for _, s := range m.snapshots {
		for _, r := range s.Retries {
			sum := sums[r.Service]
			if sum == nil {
				sum = &access.ServiceRetries{Service: r.Service}
				sums[r.Service] = sum
			}
			sum.Used += r.Used
			sum.Bound += r.Bound
			sum.Add(r.RetryCounts)
		}
	}
	for _, sum := range sums {
		m.report.Retries = append(m.report.Retries, *sum)
	}
	slices.SortFunc(m.report.Retries, func(a, b access.ServiceRetries) int { return cmp.Compare(a.Service, b.Service) })
}

func (r *Report) retrySheet() sheet {
	s := sheet{
		Title: "Retries",
		Note:  "In the window: retries that reached an upstream, of those that gates may grant. The rest counts since the nodes started; several gates may deny one retry.",
		Columns: []column{
			textColumn("service"), numberColumn("in the window"), numberColumn("granted"), numberColumn("denied: bound used up"),
			numberColumn("likely to fail"), numberColumn("less urgent"), numberColumn("service full"), numberColumn("attempts used up"),
		},
		Empty: "No retry budget was used.",
	}
	for _, x := range r.Retries {
		window := "-"
		if x.Bound > 0 {
			window = formatDecimal(x.Used) + "/" + formatDecimal(x.Bound)
		}
		s.Rows = append(s.Rows, []string{
			x.Service, window, formatCount(x.Granted), formatCount(x.Quota), formatCount(x.LikelyFails),
			formatCount(x.Priority), formatCount(x.Overload), formatCount(x.Attempts),
		})
	}
	return s
}
