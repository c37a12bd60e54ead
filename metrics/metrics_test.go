package metrics_test

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/metrics"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// fake is a node with an upstream in each state.
type fake struct{}

func (fake) States() []access.UpstreamState {
	states := []string{
		access.StateInUse, access.StateEjected, access.StateTrial, access.StateRamp, access.StateForced,
		access.StateUnreachable, access.StateLeaving, access.StateOff, access.StateOverLimit, access.StateUnknown,
	}
	all := make([]access.UpstreamState, 0, len(states))
	for _, state := range states {
		all = append(all, access.UpstreamState{Service: "conferme", Name: "at-" + state, State: state})
	}
	return all
}

func (fake) GateStates() []metrics.GateState {
	var all []metrics.GateState
	for _, v := range []health.State{health.InUse, health.Ejected, health.Trial, health.Ramp} {
		all = append(all, metrics.GateState{Service: "conferme", Upstream: v.String(), Verdict: v, Slots: 3, Queue: 6})
	}
	return append(all, metrics.GateState{Service: "conferme", Upstream: "gone", Verdict: health.Ejected, Leaving: true})
}

func (fake) PlatformStats() metrics.PlatformStats {
	return metrics.PlatformStats{
		Answered: metrics.CallStats{Count: 7, Bytes: 900, Took: 70}, Failed: metrics.CallStats{Count: 2, Bytes: 80, Took: 1400},
		UpdatesReceived: 30, Revision: 7, IsKnown: true, Age: 400, Lag: 900, LateChanges: 1,
	}
}

func (fake) QuotaCounts() metrics.QuotaCounts {
	return metrics.QuotaCounts{Granted: 9, Refused: 3, Alone: 2, Unknown: 1}
}

func (fake) Dropped() (busy, rate uint64) { return 1, 2 }

func (fake) Version() uint64          { return 7 }
func (fake) InFlight() int            { return 2 }
func (fake) Ready() bool              { return true }
func (fake) Links() metrics.LinkCount { return metrics.LinkCount{Peers: 8, Dialled: 5, Accepted: 4} }

var serviceCounters = []table.Service{{
	Name: "conferme", Objective: table.Objective{Availability: 0.999, Latency: 500, LatencyRatio: 0.99},
}}

// newSet returns a set with every source.
func newSet(book metrics.Recorder) *metrics.Set {
	s := metrics.New(metrics.Config{
		Recorder: book, State: fake{}, Readiness: fake{}, Platform: fake{}, Links: fake{}, Gates: fake{}, Quotas: fake{}, LogDrops: fake{}, Requests: 4096,
	})
	s.SetServices(serviceCounters)
	return s
}

// wholeSet returns a set that has counted a request with each outcome and
// reason, and each reason of a gate.
func wholeSet(t *testing.T) *metrics.Set {
	t.Helper()
	s := newSet(access.New(access.Config{}))
	for _, outcome := range []access.Outcome{access.Served, access.NotRun, access.Unknown} {
		for _, reason := range append(constants(t, "../access", "Reason"), constants(t, "../wire", "Reason")...) {
			s.RequestReceived()
			s.RequestFinished(0, access.Record{Service: "conferme", Outcome: outcome, Reason: reason, Attempts: 1, NoRetry: "budget"})
			s.RecordRefusal("conferme", "at-in-use", wire.Reason(reason))
		}
	}
	return s
}

// scrape reads the exposition text as a store would.
func scrape(t interface{ Fatal(args ...any) }, s *metrics.Set) map[string]*dto.MetricFamily {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(fasthttp.MethodGet)
	s.Handler()(&ctx)
	text := expfmt.NewTextParser(model.LegacyValidation)
	families, err := text.TextToMetricFamilies(bytes.NewReader(ctx.Response.Body()))
	if err != nil {
		t.Fatal(err)
	}
	return families
}

// value returns that of the one series with the labels, given as name=value.
func value(t interface{ Fatal(args ...any) }, families map[string]*dto.MetricFamily, name string, labels ...string) float64 {
	for _, m := range families[name].GetMetric() {
		var text []string
		for _, l := range m.GetLabel() {
			text = append(text, l.GetName()+"="+l.GetValue())
		}
		if strings.Join(text, " ") == strings.Join(labels, " ") {
			return m.GetCounter().GetValue() + m.GetGauge().GetValue()
		}
	}
	t.Fatal("no series of", name, "with", labels)
	return 0
}

// constants returns the values of a package's constants whose names begin with
// the prefix, or whose type it is.
func constants(t *testing.T, dir, prefix string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(tree, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok || len(spec.Values) != 1 {
				return true
			}
			literal, ok := spec.Values[0].(*ast.BasicLit)
			kind, _ := spec.Type.(*ast.Ident)
			if ok && (strings.HasPrefix(spec.Names[0].Name, prefix) || kind != nil && kind.Name == prefix) {
				found = append(found, strings.Trim(literal.Value, `"`))
			}
			return true
		})
	}
	return found
}

// A table is rejected and nobody is told: the series appeared with its first
// event, and a store sees no increase in the first value of a series. The
// cause: an event's kind that was added without a counter that begins at 0.
func TestSeriesBeginAtZero(t *testing.T) {
	families := scrape(t, newSet(access.New(access.Config{})))
	kinds := constants(t, "../access", "EventKind")
	if len(kinds) < 13 {
		t.Fatalf("got %d kinds of events, want 13 or more", len(kinds))
	}
	for _, kind := range kinds {
		if got := value(t, families, "fuchsiapick_events_total", "kind="+kind); got != 0 {
			t.Errorf("%s: got %v, want 0", kind, got)
		}
	}
	if got := value(t, families, "fuchsiapick_requests_total", "outcome=not-run", "reason=node-busy", "service=", "upstream="); got != 0 {
		t.Errorf("node-busy: got %v, want 0", got)
	}
	for _, outcome := range []string{"served", "not-run", "unknown"} {
		if got := value(t, families, "fuchsiapick_outcomes_total", "outcome="+outcome, "service=conferme"); got != 0 {
			t.Errorf("%s: got %v, want 0", outcome, got)
		}
	}
}

var gauges = []string{
	"fuchsiapick_upstream_state", "fuchsiapick_upstream_severity",
	"fuchsiapick_gate_verdict", "fuchsiapick_gate_requests", "fuchsiapick_gate_bound", "fuchsiapick_gate_retries", "fuchsiapick_gate_retry_bound",
}

// A service that the table no longer names must not stay in every scrape for
// as long as the node lives.
func TestServicesThatAreGoneVanish(t *testing.T) {
	s := wholeSet(t)
	s.SetServices(nil)
	for name, family := range scrape(t, s) {
		if slices.Contains(gauges, name) {
			continue // read anew from the node
		}
		for _, m := range family.GetMetric() {
			if strings.Contains(m.String(), `"conferme"`) {
				t.Errorf("%s: got %v, want no series of the service", name, m)
			}
		}
	}
}

// An alert wakes somebody, and the report says that all is well: the two judge
// requests in two places, and one of them was changed.
func TestAlertsAndReportCountAlike(t *testing.T) {
	reasons := append(constants(t, "../access", "Reason"), constants(t, "../wire", "Reason")...)
	rapid.Check(t, func(t *rapid.T) {
		book := access.New(access.Config{})
		s := newSet(book)
		book.SetServices(serviceCounters)
		for range rapid.IntRange(1, 50).Draw(t, "requests") {
			s.RequestReceived()
			s.RequestFinished(clock.Second, access.Record{
				Service: rapid.SampledFrom([]string{"conferme", ""}).Draw(t, "service"),
				Outcome: rapid.SampledFrom([]access.Outcome{access.Served, access.NotRun, access.Unknown}).Draw(t, "outcome"),
				Reason:  rapid.SampledFrom(reasons).Draw(t, "reason"),
				Status:  rapid.SampledFrom([]int{200, 404, 429, 499, 500, 503, 504}).Draw(t, "status"),
				Took:    rapid.SampledFrom([]clock.Millis{0, 499, 500, 501, 2000}).Draw(t, "took"),
			})
		}
		var want burn.Window
		for _, b := range book.Snapshot(2*clock.Second, access.Filter{}).Burn {
			want = b.Windows[0]
		}
		families := scrape(t, s)
		for _, test := range []struct {
			name, promise string
			want          uint64
		}{
			{"objective_requests_total", "availability", want.Total},
			{"objective_bad_total", "availability", want.Failed},
			{"objective_requests_total", "latency", want.Good()},
			{"objective_bad_total", "latency", want.Slow},
		} {
			got := value(t, families, "fuchsiapick_"+test.name, "promise="+test.promise, "service=conferme")
			if got != float64(test.want) {
				t.Errorf("%s of %s: got %v, want %d", test.name, test.promise, got, test.want)
			}
		}
	})
}
