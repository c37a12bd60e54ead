package fleet_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// Guards against a metric that is documented and implemented in package metrics, but not
// exposed by a running node, so that an alert on it never fires.
func TestNodesExposeEveryDocumentedMetric(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/logs.md")
	if err != nil {
		t.Fatal(err)
	}
	placed := newTable(1)
	placed.Services[0].Placement = table.PlaceByCost // the gate exports what it learns for that
	f := startFleet(t, fleet.Config{Table: placed})
	f.Backends["conferme-1"].SetFault(standin.Fault{Kind: standin.Limits, Rate: 1000}) // the gate exports the limit
	if status, _, err := fasthttp.GetTimeout(nil, "http://"+f.Members[0].Caller+"/conferme/1", waitTimeout); err != nil || status != fasthttp.StatusOK {
		t.Fatalf("got %d, %v, want %d", status, err, fasthttp.StatusOK)
	}
	_, body, err := fasthttp.GetTimeout(nil, "http://"+f.Members[0].Admin+"/metrics", waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	names := regexp.MustCompile("(?m)^\\| `(fuchsiapick_[a-z_]+)`").FindAllStringSubmatch(string(page), -1)
	for _, name := range names {
		// gate_refusals_total has no series before the first refusal.
		if name[1] != "fuchsiapick_gate_refusals_total" && !strings.Contains(string(body), "# TYPE "+name[1]+" ") {
			t.Errorf("%s: got none from a node, want it as documented", name[1])
		}
	}
	if len(names) < 20 {
		t.Errorf("got %d documented metrics, want 20 or more: does the expression still match them?", len(names))
	}
}
