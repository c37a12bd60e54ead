package report_test

import (
	"bytes"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/report"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Guards the report's texts, numbers and layout: a change shows as a difference in the golden
// files, which is reviewed with the commit. Names of callers must not reach a terminal or a
// browser with escape sequences or markup.
func TestGolden(t *testing.T) {
	r := report.Merge(results())
	r.AsOf = time.Date(2026, 12, 2, 6, 30, 0, 0, time.UTC)
	tests := []struct {
		name  string
		write func(io.Writer) error
	}{{"report.txt", r.Text}, {"report.json", r.JSON}, {"report.html", r.HTML}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got bytes.Buffer
			if err := tt.write(&got); err != nil {
				t.Fatal(err)
			}
			file := filepath.Join("testdata", tt.name)
			if *update {
				if err := os.WriteFile(file, got.Bytes(), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got.Bytes(), want) {
				t.Errorf("report differs from %s; run with -update and review the difference:\n%s", file, firstDifference(got.String(), string(want)))
			}
			if strings.ContainsRune(got.String(), '\x1b') || tt.name == "report.html" && strings.Contains(got.String(), "<script>") {
				t.Error("got a caller's name unescaped, want control characters removed and markup escaped")
			}
		})
	}
}

// firstDifference returns the first line that differs, from both texts.
func firstDifference(got, want string) string {
	a, b := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return "got  " + a[i] + "\nwant " + b[i]
		}
	}
	return "one text is longer"
}

// Guards against requests that are lost or counted twice when snapshots are merged: totals of
// the report must be the sums of the nodes' totals.
func TestMergePreservesTotals(t *testing.T) {
	all := results()
	r := report.Merge(all)
	want := all[0].Snapshot.Closed + all[1].Snapshot.Closed
	var totals uint64
	for _, x := range r.Totals {
		totals += x.Count
	}
	if totals != want || r.Requests.Sum() != want || r.Requests.Closed+r.Requests.Open != r.Requests.Received {
		t.Errorf("got totals of %d and requests %+v, want %d", totals, r.Requests, want)
	}
}

// Guards against counting a node's requests twice if an operator lists two of its addresses.
func TestMergeCountsNodeOnce(t *testing.T) {
	snapshot := palermoNode()
	r := report.Merge([]report.NodeResult{{Address: "10.1.0.1:7302", Snapshot: &snapshot}, {Address: "127.0.0.1:7302", Snapshot: &snapshot}})
	if r.Requests.Received != snapshot.Received || r.Partial || !r.Nodes[1].Duplicate || r.Answered() != 1 {
		t.Errorf("got %d received, partial %v, nodes %+v; want %d, not partial, one duplicate", r.Requests.Received, r.Partial, r.Nodes, snapshot.Received)
	}
}

// Guards against findings that call a healthy upstream sick: an upstream that is leaving, has
// weight 0 or is over its limit is out of use for another reason.
func TestFindingsDistinguishStates(t *testing.T) {
	tests := []struct {
		name  string
		state string
		want  string
		sick  bool
	}{
		{"sick", access.StateEjected, "bacheca-1 is set aside as sick", true},
		{"leaving", access.StateLeaving, "bacheca-1 is leaving", false},
		{"off", access.StateOff, "bacheca-1 has weight 0", false},
		{"over its limit", access.StateOverLimit, "busy and not sick: bacheca-1", false},
		{"in use", access.StateInUse, "Nothing needs attention", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := access.New(access.Config{}).Snapshot(0, access.Filter{})
			s.Node, s.Upstreams = palermo, []access.UpstreamState{upstream("bacheca", 1, palermo, "palermo", tt.state)}
			var got strings.Builder
			for _, f := range report.Merge([]report.NodeResult{{Snapshot: &s}}).Findings {
				got.WriteString(f.Text + "\n")
			}
			if !strings.Contains(got.String(), tt.want) || strings.Contains(got.String(), "as sick") != tt.sick {
				t.Errorf("got findings %q, want %q and sick %v", got.String(), tt.want, tt.sick)
			}
		})
	}
}

// Guards against reporting no requests for a caller that nodes no longer count apart: the
// report must give the maximum number of its requests, summed over the nodes.
func TestMissedRequestsAreSummed(t *testing.T) {
	all := make([]report.NodeResult, 0, 2)
	for _, link := range []string{palermo, catania} {
		n := &node{Log: access.New(access.Config{Callers: 1})}
		n.finishRequests(3, served("hotel-aretusa", "bacheca", "bacheca-1", 40))
		n.finishRequests(1, served("clinica-etna", "bacheca", "bacheca-1", 40))
		s := n.Snapshot(n.now, access.Filter{Caller: "hotel-aretusa"})
		s.Node = link
		all = append(all, report.NodeResult{Snapshot: &s})
	}
	r := report.Merge(all)
	if len(r.Callers) != 1 || r.Callers[0].Sum() != 0 || r.Callers[0].Missed < 6 {
		t.Errorf("got callers %+v, want hotel-aretusa with 6 missed or more", r.Callers)
	}
}

// Guards against a report on one node that looks like a report on the fleet: all queried
// nodes answered, so the report isn't partial, but the table names more nodes.
func TestFindingsNameNodesNotAsked(t *testing.T) {
	r := report.Merge(results()[:1])
	const want = "The table names 3 nodes; this report is of 1 of them"
	if got := r.Findings[0].Text; !strings.HasPrefix(got, want) || r.Partial {
		t.Errorf("got first finding %q, partial %v; want %q", got, r.Partial, want)
	}
}

// BenchmarkMerge measures the cost of a report by the number of nodes.
func BenchmarkMerge(b *testing.B) {
	for _, nodes := range []int{10, 100, 1000, 2400} {
		b.Run(strconv.Itoa(nodes), func(b *testing.B) {
			all := make([]report.NodeResult, 0, nodes)
			for i := range nodes {
				s := cataniaNode()
				s.Node = strconv.Itoa(i)
				all = append(all, report.NodeResult{Snapshot: &s})
			}
			b.ReportAllocs()
			for b.Loop() {
				report.Merge(all)
			}
		})
	}
}
