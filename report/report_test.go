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

var update = flag.Bool("update", false, "write the golden files anew")

// A change of the report's words, numbers or layout shows as a change of these
// files, for a person to read before it lands.
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
				t.Errorf("got another report than %s; run with -update and read the difference:\n%s", file, difference(got.String(), string(want)))
			}
			if strings.ContainsRune(got.String(), '\x1b') || tt.name == "report.html" && strings.Contains(got.String(), "<script>") {
				t.Error("got a caller's name as it is, want it harmless")
			}
		})
	}
}

// difference returns the first line that differs.
func difference(got, want string) string {
	a, b := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return "got  " + a[i] + "\nwant " + b[i]
		}
	}
	return "one is longer"
}

// Totals of a merged report must be the sums of the nodes' own.
func TestMergeConserves(t *testing.T) {
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

// An operator names a node by two of its addresses. Its requests must not
// stand in the report twice.
func TestMergeCountsNodeOnce(t *testing.T) {
	one := palermoNode()
	r := report.Merge([]report.NodeResult{{Address: "10.1.0.1:7302", Snapshot: &one}, {Address: "127.0.0.1:7302", Snapshot: &one}})
	if r.Requests.Received != one.Received || r.Partial || !r.Nodes[1].Duplicate || r.Answered() != 1 {
		t.Errorf("got %d received, partial %v, nodes %+v; want %d, whole, one a duplicate", r.Requests.Received, r.Partial, r.Nodes, one.Received)
	}
}

// What a manager takes for sick must be sick: a lost path, a leaving upstream
// and one over its limit are told in other words.
func TestFindingsTellApart(t *testing.T) {
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

// A caller that a node no longer keeps apart may have made requests there: the
// report must say how many at most, and not that there were none.
func TestMissedCallersAddUp(t *testing.T) {
	all := make([]report.NodeResult, 0, 2)
	for _, link := range []string{palermo, catania} {
		n := &node{Log: access.New(access.Config{Callers: 1})}
		n.close(3, served("hotel-aretusa", "bacheca", "bacheca-1", 40))
		n.close(1, served("clinica-etna", "bacheca", "bacheca-1", 40))
		s := n.Snapshot(n.now, access.Filter{Caller: "hotel-aretusa"})
		s.Node = link
		all = append(all, report.NodeResult{Snapshot: &s})
	}
	r := report.Merge(all)
	if len(r.Callers) != 1 || r.Callers[0].Sum() != 0 || r.Callers[0].Missed < 6 {
		t.Errorf("got callers %+v, want hotel-aretusa with 6 missed or more", r.Callers)
	}
}

// An operator asks one node of a fleet: the report is whole, and must not look
// like the fleet's.
func TestFindingsNameNodesNotAsked(t *testing.T) {
	r := report.Merge(results()[:1])
	const want = "The table names 3 nodes; this report is of 1 of them"
	if got := r.Findings[0].Text; !strings.HasPrefix(got, want) || r.Partial {
		t.Errorf("got first finding %q, partial %v; want %q", got, r.Partial, want)
	}
}

// BenchmarkMerge gives the cost of a report over growing numbers of nodes.
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
