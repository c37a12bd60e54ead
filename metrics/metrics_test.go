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
	"fuchsiapick.example/fuchsiapick/waiting"
	"fuchsiapick.example/fuchsiapick/wire"
)

// fakeNode implements all sources of metrics. It has an upstream in each state.
type fakeNode struct{}

func (fakeNode) States() []access.UpstreamState {
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

func (fakeNode) GateStates() []metrics.GateState {
	var all []metrics.GateState
	for _, v := range []health.State{health.InUse, health.Ejected, health.Trial, health.Ramp} {
		all = append(all, metrics.GateState{Service: "conferme", Upstream: v.String(), Verdict: v, Slots: 3, Queue: 6})
	}
	return append(all, metrics.GateState{Service: "conferme", Upstream: "gone", Verdict: health.Ejected, Leaving: true, IsLimited: true, RateLimit: 1.3, IsBounded: true, Retries: 2, RetryBound: 5, IsProfiled: true, Speed: 0.8, Concurrency: 3})
}

func (fakeNode) PlatformStats() metrics.PlatformStats {
	return metrics.PlatformStats{
		Answered: metrics.CallStats{Count: 7, Bytes: 900, Took: 70}, Failed: metrics.CallStats{Count: 2, Bytes: 80, Took: 1400},
		Causes: map[string]uint64{"age": 6, "start": 3}, UpdatesReceived: 30, Revision: 7, Era: 1, ValuesIgnored: 2, IsKnown: true, Age: 400, Lag: 900, LateChanges: 1,
	}
}

func (fakeNode) QuotaCounts() metrics.QuotaCounts {
	return metrics.QuotaCounts{Granted: 9, Refused: 3, Alone: 2, Unknown: 1}
}

func (fakeNode) Held() int64  { return 3000 }
func (fakeNode) Bound() int64 { return 9000 }

func (fakeNode) Dropped() (busy, rate, repeated uint64) { return 1, 2, 3 }

func (fakeNode) PanicCounts() map[string]uint64 { return map[string]uint64{"caller": 1, "link": 0} }
func (fakeNode) Record(string, any, []byte)     {}
func (fakeNode) PeerRestarts() uint64           { return 4 }

func (fakeNode) Version() uint64 { return 7 }
func (fakeNode) InFlight() int   { return 2 }
func (fakeNode) Ready() bool     { return true }
func (fakeNode) Links() metrics.LinkCount {
	return metrics.LinkCount{Peers: 8, Dialled: 5, Accepted: 4, Subscriptions: 2, Subscribers: 3}
}

var services = []table.Service{{
	Name: "conferme", Objective: table.Objective{Availability: 0.999, Latency: 500, LatencyRatio: 0.99},
}}

// newSet returns a set with all sources and one service.
func newSet(recorder metrics.Recorder) *metrics.Set {
	s := metrics.New(metrics.Config{
		Recorder: recorder, State: fakeNode{}, Readiness: fakeNode{}, Platform: fakeNode{}, Links: fakeNode{}, Gates: fakeNode{}, Quotas: fakeNode{}, LogDrops: fakeNode{}, Panics: fakeNode{}, Restarts: fakeNode{}, Requests: 4096, Memory: fakeNode{}, Answers: fakeNode{},
	})
	s.SetServices(services)
	return s
}

// populatedSet returns a set that has counted a request for each pair of an outcome and a
// reason, a refusal for each reason, a claim for each outcome, and a late answer.
func populatedSet(t *testing.T) *metrics.Set {
	t.Helper()
	s := newSet(access.New(access.Config{}))
	for _, outcome := range []access.Outcome{access.Served, access.NotRun, access.Unknown} {
		for _, reason := range append(constantValues(t, "../access", "Reason"), constantValues(t, "../wire", "Reason")...) {
			s.RequestReceived()
			s.RequestFinished(0, access.Record{Service: "conferme", Outcome: outcome, Reason: reason, Attempts: 1, NoRetry: "budget"})
			s.RecordRefusal("conferme", "at-in-use", wire.Reason(reason))
		}
	}
	for _, outcome := range waiting.Outcomes {
		s.RecordClaim("conferme", outcome)
	}
	s.RecordClaimWait("conferme", clock.Second)
	s.RecordDelivery("conferme", access.Delivery{Took: 5 * clock.Second, Overrun: clock.Second})
	return s
}

// scrape requests the metrics and parses the text as Prometheus does.
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

// seriesValue returns the value of the counter or gauge with exactly these labels, given as
// name=value in the order of names. It fails the test if there is no such series.
func seriesValue(t interface{ Fatal(args ...any) }, families map[string]*dto.MetricFamily, name string, labels ...string) float64 {
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

// constantValues returns the values of the constants in a package's directory whose name
// begins with the prefix or whose type has the prefix as its name.
func constantValues(t *testing.T, dir, prefix string) []string {
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

// Guards against an alert that misses the first event of a kind, such as a rejected table. A
// series that appears with its first event shows no increase to Prometheus; this happens if
// a new kind of event is not in the list of counters that start at 0.
func TestSeriesBeginAtZero(t *testing.T) {
	families := scrape(t, newSet(access.New(access.Config{})))
	kinds := constantValues(t, "../access", "EventKind")
	if len(kinds) < 13 {
		t.Fatalf("got %d kinds of events, want 13 or more", len(kinds))
	}
	for _, kind := range kinds {
		if got := seriesValue(t, families, "fuchsiapick_events_total", "kind="+kind); got != 0 {
			t.Errorf("%s: got %v, want 0", kind, got)
		}
	}
	if got := seriesValue(t, families, "fuchsiapick_requests_total", "outcome=not-run", "reason=node-busy", "service=", "upstream="); got != 0 {
		t.Errorf("node-busy: got %v, want 0", got)
	}
	for _, outcome := range []string{"served", "not-run", "unknown"} {
		if got := seriesValue(t, families, "fuchsiapick_outcomes_total", "outcome="+outcome, "service=conferme"); got != 0 {
			t.Errorf("%s: got %v, want 0", outcome, got)
		}
	}
}

// scrapedGauges holds the metrics with labels of services that are read from the node at each
// scrape.
var scrapedGauges = []string{
	"fuchsiapick_upstream_state", "fuchsiapick_upstream_severity",
	"fuchsiapick_gate_verdict", "fuchsiapick_gate_requests", "fuchsiapick_gate_bound", "fuchsiapick_gate_retries", "fuchsiapick_gate_retry_bound", "fuchsiapick_gate_rate_limit",
	"fuchsiapick_retry_quota_used", "fuchsiapick_retry_quota_bound",
	"fuchsiapick_upstream_speed", "fuchsiapick_upstream_concurrency",
}

// Guards against series of services that the table no longer names: they would be exposed
// until the node restarts.
func TestRemovedServicesLoseTheirSeries(t *testing.T) {
	s := populatedSet(t)
	s.SetServices(nil)
	for name, family := range scrape(t, s) {
		if slices.Contains(scrapedGauges, name) {
			continue // the fake node still has the service
		}
		for _, m := range family.GetMetric() {
			if strings.Contains(m.String(), `"conferme"`) {
				t.Errorf("%s: got %v, want no series of the service", name, m)
			}
		}
	}
}

// Guards against alerts that contradict the report. The metrics and the access log classify
// requests in separate code, of which only one may get changed.
func TestAlertsAndReportCountSameRequests(t *testing.T) {
	reasons := append(constantValues(t, "../access", "Reason"), constantValues(t, "../wire", "Reason")...)
	rapid.Check(t, func(t *rapid.T) {
		recorder := access.New(access.Config{})
		s := newSet(recorder)
		recorder.SetServices(services)
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
		for _, b := range recorder.Snapshot(2*clock.Second, access.Filter{}).Burn {
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
			got := seriesValue(t, families, "fuchsiapick_"+test.name, "promise="+test.promise, "service=conferme")
			if got != float64(test.want) {
				t.Errorf("%s of %s: got %v, want %d", test.name, test.promise, got, test.want)
			}
		}
	})
}
