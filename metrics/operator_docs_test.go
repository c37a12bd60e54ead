package metrics_test

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	dto "github.com/prometheus/client_model/go"
	"gopkg.in/yaml.v3"

	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

const pagesDir = "../docs/operators/"

// ruleFile is the part of the format of Prometheus rule files that the alerts use.
type ruleFile struct {
	Groups []struct {
		Name     string       `yaml:"name"`
		Interval clock.Millis `yaml:"interval"`
		Rules    []rule       `yaml:"rules"`
	} `yaml:"groups"`
}

type rule struct {
	Alert  string       `yaml:"alert"`
	Record string       `yaml:"record"`
	Expr   string       `yaml:"expr"`
	For    clock.Millis `yaml:"for"`
	Labels struct {
		Severity burn.Severity `yaml:"severity"`
	} `yaml:"labels"`
	Annotations struct {
		Summary string `yaml:"summary"`
		Runbook string `yaml:"runbook"`
	} `yaml:"annotations"`
}

func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(pagesDir + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func readRules(t *testing.T) []rule {
	t.Helper()
	decoder := yaml.NewDecoder(strings.NewReader(readPage(t, "alerts.yml")))
	decoder.KnownFields(true)
	var file ruleFile
	if err := decoder.Decode(&file); err != nil {
		t.Fatal(err)
	}
	var all []rule
	for _, g := range file.Groups {
		all = append(all, g.Rules...)
	}
	return all
}

// labelsOf returns the values of each label in a metric's series.
func labelsOf(f *dto.MetricFamily) map[string][]string {
	labels := map[string][]string{}
	for _, m := range f.GetMetric() {
		for _, l := range m.GetLabel() {
			labels[l.GetName()] = append(labels[l.GetName()], l.GetValue())
		}
	}
	return labels
}

// labelNames returns the sorted names of a metric's labels, separated by spaces.
func labelNames(f *dto.MetricFamily) string {
	return strings.Join(slices.Sorted(maps.Keys(labelsOf(f))), " ")
}

// Guards against a page of metrics that lists one that isn't exposed, or lacks one that is.
func TestLogsPageListsExposedMetrics(t *testing.T) {
	families := scrape(t, populatedSet(t))
	documented := map[string]string{}
	rows := regexp.MustCompile("(?m)^\\| `(fuchsiapick_[a-z_]+)` \\| ([a-z, ]*) ?\\|").FindAllStringSubmatch(readPage(t, "logs.md"), -1)
	for _, row := range rows {
		labels := strings.Fields(strings.ReplaceAll(row[2], ",", " "))
		slices.Sort(labels)
		documented[row[1]] = strings.Join(labels, " ")
	}
	for name, family := range families {
		if !strings.HasPrefix(name, "fuchsiapick_") {
			continue
		}
		if labels, ok := documented[name]; !ok || labels != labelNames(family) {
			t.Errorf("%s: got a row %v with labels %q, want a row with %q", name, ok, labels, labelNames(family))
		}
	}
	for name := range documented {
		if families[name] == nil {
			t.Errorf("%s: got a row, want none: the metric is not exposed", name)
		}
	}
}

var (
	selector = regexp.MustCompile(`\b([a-z][a-z0-9_:]*)\b(?:\{([^}]*)\})?`)
	matcher  = regexp.MustCompile(`([a-z]+)(=~|=)"([^"]*)"`)
	grouping = regexp.MustCompile(`\b(?:by|ignoring|on) \(([^)]*)\)`)
)

// Guards against an alert that never fires because its expression uses a metric, a label or a
// label value that no node exposes. Prometheus loads such a rule without an error.
func TestAlertsUseExposedMetrics(t *testing.T) {
	families := scrape(t, populatedSet(t))
	rules := readRules(t)
	records := map[string]bool{}
	for _, r := range rules {
		records[r.Record] = true
	}
	exprs := map[string]string{}
	for _, r := range rules {
		exprs[r.Alert+r.Record] = r.Expr
	}
	for _, block := range regexp.MustCompile("(?s)```\n(fuchsiapick_.*?)```").FindAllStringSubmatch(readPage(t, "alerts.md"), -1) {
		exprs["alerts.md: "+block[1]] = block[1]
	}
	for name, expr := range exprs {
		labels := map[string]bool{"instance": true}
		used := 0
		for _, found := range selector.FindAllStringSubmatch(expr, -1) {
			if strings.HasPrefix(found[1], "fuchsiapick_") || found[1] == "up" {
				used++
				checkSelector(t, name, families, found[1], found[2], labels)
			} else if strings.Contains(found[1], ":") {
				used++
				if !records[found[1]] {
					t.Errorf("%s: got %s, want a recording rule of the file", name, found[1])
				}
			}
		}
		for _, list := range grouping.FindAllStringSubmatch(expr, -1) {
			for _, label := range strings.Split(list[1], ", ") {
				if !labels[label] {
					t.Errorf("%s: got label %q in %s, want a label of the metrics in the expression", name, label, list[0])
				}
			}
		}
		if used == 0 {
			t.Errorf("%s: got no metric in %q, want at least one", name, expr)
		}
	}
}

// checkSelector checks that a metric and the label values that it is selected by are exposed,
// and adds the metric's labels to those that the rule may group by.
func checkSelector(t *testing.T, rule string, families map[string]*dto.MetricFamily, name, matchers string, labels map[string]bool) {
	t.Helper()
	exposed := map[string][]string{"job": {"fuchsiapick"}} // Prometheus itself sets up
	if name != "up" {
		if families[name] == nil {
			t.Errorf("%s: got %s, want a metric that is exposed", rule, name)
			return
		}
		exposed = labelsOf(families[name])
	}
	for label := range exposed {
		labels[label] = true
	}
	for _, m := range matcher.FindAllStringSubmatch(matchers, -1) {
		wanted := []string{m[3]}
		if m[2] == "=~" {
			wanted = strings.Split(m[3], "|")
		}
		for _, value := range wanted {
			if !slices.Contains(exposed[m[1]], value) {
				t.Errorf("%s: got %s with %s=%q, want a label and value that is exposed", rule, name, m[1], value)
			}
		}
	}
}

// Guards against a page of alerts that lists one that doesn't exist, and against an alert
// that is missing from the page or whose runbook link has no heading there.
func TestAlertsPageNamesEveryAlert(t *testing.T) {
	page := readPage(t, "alerts.md")
	rows := regexp.MustCompile("(?m)^\\| `(Fuchsiapick[A-Za-z]+)` \\| (page|ticket) \\|").FindAllStringSubmatch(page, -1)
	documented := map[string]burn.Severity{}
	for _, row := range rows {
		documented[row[1]] = burn.Severity(row[2])
	}
	for _, r := range readRules(t) {
		if r.Alert == "" {
			continue
		}
		if got := documented[r.Alert]; got != r.Labels.Severity || got == "" {
			t.Errorf("%s: got severity %q in the page, want %q", r.Alert, got, r.Labels.Severity)
		}
		delete(documented, r.Alert)
		heading := "\n## " + strings.ReplaceAll(strings.TrimPrefix(r.Annotations.Runbook, "alerts.md#"), "-", " ") + "\n"
		if r.Annotations.Summary == "" || !strings.Contains(strings.ToLower(page), heading) {
			t.Errorf("%s: got summary %q and runbook %q, want both, and a heading for the runbook", r.Alert, r.Annotations.Summary, r.Annotations.Runbook)
		}
	}
	if len(documented) > 0 {
		t.Errorf("got rows %v, want none without an alert", documented)
	}
}

// Guards against burn-rate thresholds that differ between the Prometheus rules and the
// report, which are defined in two places.
func TestBurnAlertsMatchReportThresholds(t *testing.T) {
	windows := make([]burn.Window, 0, len(burn.Spans))
	for _, span := range burn.Spans {
		windows = append(windows, burn.Window{Span: span, Covered: span, Total: 1000, Failed: 1000})
	}
	alerts := burn.Evaluate(table.Objective{Availability: 0.99}, windows).Alerts
	spans := map[clock.Millis]string{5 * clock.Minute: "5m", clock.Hour: "1h", 6 * clock.Hour: "6h", 3 * clock.Day: "3d"}
	rules := map[string]rule{}
	for _, r := range readRules(t) {
		rules[r.Alert] = r
	}
	for _, a := range alerts {
		name := "FuchsiapickBurn" + strings.ToUpper(a.Name[:1]) + a.Name[1:]
		want := fmt.Sprintf("service:fuchsiapick_burn:%[1]s >= %[3]g and service:fuchsiapick_burn:%[2]s >= %[3]g"+
			" and sum by (service, promise) (increase(fuchsiapick_objective_bad_total[%[2]s])) >= %[4]d",
			spans[a.Short], spans[a.Long], a.Limit, burn.MinBad)
		if got := rules[name]; got.Expr != want || got.Labels.Severity != a.Severity {
			t.Errorf("%s: got %q, %q; want %q, %q", name, got.Expr, got.Labels.Severity, want, a.Severity)
		}
	}
	if len(alerts) != 3 {
		t.Errorf("got %d alerts of package burn, want 3", len(alerts))
	}
}
