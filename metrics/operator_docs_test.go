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

const pages = "../docs/operators/"

// ruleFile is the part of Prometheus's rule format that the alerts use.
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
	text, err := os.ReadFile(pages + name)
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

// labelsOf returns a metric's labels and the values they were seen with.
func labelsOf(f *dto.MetricFamily) map[string][]string {
	labels := map[string][]string{}
	for _, m := range f.GetMetric() {
		for _, l := range m.GetLabel() {
			labels[l.GetName()] = append(labels[l.GetName()], l.GetValue())
		}
	}
	return labels
}

// names returns a metric's labels as the page writes them.
func names(f *dto.MetricFamily) string {
	return strings.Join(slices.Sorted(maps.Keys(labelsOf(f))), " ")
}

// An operator looks for a metric that the page names and the store has none, or
// finds one that no page explains.
func TestLogsPageNamesWhatIsExposed(t *testing.T) {
	families := scrape(t, wholeSet(t))
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
		if labels, ok := documented[name]; !ok || labels != names(family) {
			t.Errorf("%s: got a row %v with labels %q, want one with %q", name, ok, labels, names(family))
		}
	}
	for name := range documented {
		if families[name] == nil {
			t.Errorf("%s: got a row, want none: nothing exposes it", name)
		}
	}
}

var (
	selector = regexp.MustCompile(`\b([a-z][a-z0-9_:]*)\b(?:\{([^}]*)\})?`)
	matcher  = regexp.MustCompile(`([a-z]+)(=~|=)"([^"]*)"`)
	grouping = regexp.MustCompile(`\b(?:by|ignoring|on) \(([^)]*)\)`)
)

// An alert never fires, for it asks for a metric, a label or a value of a label
// that no node exposes. A store takes such a rule without a word.
func TestAlertsAskForWhatIsExposed(t *testing.T) {
	families := scrape(t, wholeSet(t))
	rules := readRules(t)
	records := map[string]bool{}
	for _, r := range rules {
		records[r.Record] = true
	}
	texts := map[string]string{}
	for _, r := range rules {
		texts[r.Alert+r.Record] = r.Expr
	}
	for _, block := range regexp.MustCompile("(?s)```\n(fuchsiapick_.*?)```").FindAllStringSubmatch(readPage(t, "alerts.md"), -1) {
		texts["alerts.md: "+block[1]] = block[1]
	}
	for name, expr := range texts {
		labels := map[string]bool{"instance": true}
		asked := 0
		for _, found := range selector.FindAllStringSubmatch(expr, -1) {
			if strings.HasPrefix(found[1], "fuchsiapick_") || found[1] == "up" {
				asked++
				checkSelector(t, name, families, found[1], found[2], labels)
			} else if strings.Contains(found[1], ":") {
				asked++
				if !records[found[1]] {
					t.Errorf("%s: got %s, want a record of the file", name, found[1])
				}
			}
		}
		for _, list := range grouping.FindAllStringSubmatch(expr, -1) {
			for _, label := range strings.Split(list[1], ", ") {
				if !labels[label] {
					t.Errorf("%s: got label %q in %s, want one of the metrics asked for", name, label, list[0])
				}
			}
		}
		if asked == 0 {
			t.Errorf("%s: got no metric in %q, want one", name, expr)
		}
	}
}

// checkSelector adds the metric's labels to those that the rule may group by.
func checkSelector(t *testing.T, rule string, families map[string]*dto.MetricFamily, name, matchers string, labels map[string]bool) {
	t.Helper()
	exposed := map[string][]string{"job": {"fuchsiapick"}} // up is the store's own
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
		for _, one := range wanted {
			if !slices.Contains(exposed[m[1]], one) {
				t.Errorf("%s: got %s with %s=%q, want a label and value that is exposed", rule, name, m[1], one)
			}
		}
	}
}

// The page says what to do about an alert that there isn't, or an alert sends a
// person to a page that says nothing of it.
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
			t.Errorf("%s: got summary %q and runbook %q, want both, and a heading", r.Alert, r.Annotations.Summary, r.Annotations.Runbook)
		}
	}
	if len(documented) > 0 {
		t.Errorf("got rows %v, want none without an alert", documented)
	}
}

// The store pages at one burn and the report at another: the thresholds stand
// in two places.
func TestBurnAlertsHaveTheReportsThresholds(t *testing.T) {
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
