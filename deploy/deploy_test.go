package deploy_test

import (
	"maps"
	"os"
	"regexp"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
)

// fields are what the platform fills in for one node.
var fields = map[string]string{
	"node": "sidecar-palermo-1", "zone": "palermo", "service": "wuno96b",
	"listen.outbound": "10.1.0.8:8304", "listen.inbound": "10.1.0.8:8300", "listen.ready": "10.1.0.8:8302",
	"platform.address": "10.200.1.7:8309", "ip": "10.1.0.8",
	"bounds.grace": "6s", "bounds.configApply": "2000ms", "bounds.retryBudgetRatio": "0.2", "bounds.budgetExtra": "62", "bounds.budgetWindow": "10s",
}

// A slip in the template shows at the start of every node at once, on the day of the
// roll-out.
func TestTemplateMakesSettings(t *testing.T) {
	s := filledWith(t, fields)
	if s.Platform.Form != settings.FormStore || s.Policy.Caution != table.ShortEpisodes || s.Policy.Extra != 62 || s.Service != "wuno96b" {
		t.Errorf("got %+v, want the store, caution brief, 62 extra retries and the service", s)
	}
}

// A platform scales its bounds with the size of a deployment, and a fleet whose extra
// retries come out as no whole number did not start at all.
func TestTemplateTakesFractionsOfRetries(t *testing.T) {
	changed := maps.Clone(fields)
	changed["bounds.budgetExtra"] = "28.395061728395063"
	if got := filledWith(t, changed).Policy.Extra; got != 28.395061728395063 {
		t.Errorf("got %v extra retries, want 28.395061728395063", got)
	}
}

// filledWith returns the template's settings with the platform's fields.
func filledWith(t *testing.T, fields map[string]string) *settings.Settings {
	t.Helper()
	text, err := os.ReadFile("settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	filled := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(text), func(place string) string {
		name := place[2 : len(place)-2]
		value, ok := fields[name]
		if !ok {
			t.Errorf("got placeholder %s, want one that the platform fills in", place)
		}
		return value
	})
	s, err := settings.Parse([]byte(filled))
	if err != nil {
		t.Fatalf("got %v, want settings that are accepted\n%s", err, filled)
	}
	return s
}

func TestDeployFileNamesTheTemplate(t *testing.T) {
	text, err := os.ReadFile("system.toml")
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Build string `toml:"build"`
		Roles map[string]struct {
			Template string   `toml:"template"`
			On       string   `toml:"on"`
			Serves   []string `toml:"serves"`
		} `toml:"roles"`
	}
	if err := toml.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	node, ok := file.Roles["node"]
	if !ok || node.Template != "deploy/settings.toml" || node.On != "sidecar" || file.Build == "" {
		t.Errorf("got %+v, want a role node with its template on each instance", file)
	}
}
