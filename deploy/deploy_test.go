package deploy_test

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
)

// platformFields are example values of the placeholders that the platform fills in per node.
var platformFields = map[string]string{
	"node": "sidecar-palermo-1", "zone": "palermo", "service": "wuno96b",
	"listen.outbound": "10.1.0.8:8304", "listen.inbound": "10.1.0.8:8300", "listen.ready": "10.1.0.8:8302",
	"platform.address": "10.200.1.7:8309", "ip": "10.1.0.8",
	"limits.memoryMb": "284", "limits.maxFds": "4100", "bounds.grace": "6s", "bounds.configApply": "2000ms", "bounds.retryBudgetRatio": "0.2", "bounds.budgetExtra": "62", "bounds.budgetWindow": "10s",
}

// An error in the template would stop every node from starting, and would show only at the
// rollout.
func TestTemplateGivesValidSettings(t *testing.T) {
	s := parseTemplate(t, platformFields)
	if s.Platform.Form != settings.FormStore || s.Policy.Caution != table.ShortEpisodes || s.Policy.Extra != 62 || s.Service != "wuno96b" {
		t.Errorf("got %+v, want the store, caution brief, 62 extra retries and the service", s)
	}
}

// The memory of an instance reaches the node in megabytes, which may have a fraction. A node that doesn't
// know it takes what callers send until it is killed.
func TestTemplateGivesTheMemory(t *testing.T) {
	for megabytes, want := range map[string]float64{"284": 284e6, "0": 0, "95.5": 95.5e6} {
		changed := maps.Clone(platformFields)
		changed["limits.memoryMb"] = megabytes
		if got := parseTemplate(t, changed).Limits.Memory; got != want {
			t.Errorf("%s MB: got %v bytes, want %v", megabytes, got, want)
		}
	}
}

// The number of descriptors may be scaled with the deployment as well. A value that isn't whole must not keep
// nodes from starting.
func TestTemplateGivesTheDescriptors(t *testing.T) {
	for text, want := range map[string]float64{"4100": 4100, "0": 0, "95.5": 95.5} {
		changed := maps.Clone(platformFields)
		changed["limits.maxFds"] = text
		if got := parseTemplate(t, changed).Limits.Descriptors; got != want {
			t.Errorf("%s descriptors: got %v, want %v", text, got, want)
		}
	}
}

// The platform scales its limits with the size of a deployment. A fleet once failed to start
// because its number of extra retries wasn't an integer.
func TestTemplateAcceptsFractionalRetries(t *testing.T) {
	changed := maps.Clone(platformFields)
	changed["bounds.budgetExtra"] = "28.395061728395063"
	if got := parseTemplate(t, changed).Policy.Extra; got != 28.395061728395063 {
		t.Errorf("got %v extra retries, want 28.395061728395063", got)
	}
}

// A platform that names no seeds, or three, must not keep nodes from starting.
func TestTemplateListsSeeds(t *testing.T) {
	if got := parseTemplate(t, platformFields).Peers; len(got) != 0 {
		t.Errorf("got peers %v without seeds, want none", got)
	}
	changed := maps.Clone(platformFields)
	changed["seeds"] = "10.1.0.8:8300,10.2.0.8:8300"
	if got, want := parseTemplate(t, changed).Peers, []string{"10.1.0.8:8300", "10.2.0.8:8300"}; !slices.Equal(got, want) {
		t.Errorf("got peers %v, want %v", got, want)
	}
}

// expandSections replaces the template's sections over lists by one copy for each element. The
// elements of a list are joined by commas in fields.
func expandSections(text string, fields map[string]string) string {
	return regexp.MustCompile(`\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`).ReplaceAllStringFunc(text, func(section string) string {
		parts := regexp.MustCompile(`\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`).FindStringSubmatch(section)
		if fields[parts[1]] == "" {
			return ""
		}
		var expanded strings.Builder
		elements := strings.Split(fields[parts[1]], ",")
		for i, element := range elements {
			separator := ","
			if i == len(elements)-1 {
				separator = ""
			}
			expanded.WriteString(strings.NewReplacer("{{.}}", element, "{{,}}", separator).Replace(parts[2]))
		}
		return expanded.String()
	})
}

// parseTemplate returns the settings of the template, filled in with the values of fields.
func parseTemplate(t *testing.T, fields map[string]string) *settings.Settings {
	t.Helper()
	filled := fillTemplate(t, fields)
	s, err := settings.Parse([]byte(filled))
	if err != nil {
		t.Fatalf("got %v, want valid settings\n%s", err, filled)
	}
	return s
}

// fillTemplate returns the text of the template, filled in with the values of fields.
func fillTemplate(t *testing.T, fields map[string]string) string {
	t.Helper()
	text, err := os.ReadFile("settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	filled := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(expandSections(string(text), fields), func(placeholder string) string {
		name := placeholder[2 : len(placeholder)-2]
		value, ok := fields[name]
		if !ok {
			t.Errorf("got placeholder %s, want one that the platform fills in", placeholder)
		}
		return value
	})
	return filled
}

// Guards against a node that doesn't start, like all others of its deployment, because its platform has
// other figures than those of today, or none.
func TestNodesStartWithAnyFiguresOfThePlatform(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	rapid.Check(t, func(rt *rapid.T) {
		fields := maps.Clone(platformFields)
		draw := func(name string, value *rapid.Generator[string]) {
			if delete(fields, name); rapid.Bool().Draw(rt, name+" given") {
				fields[name] = value.Draw(rt, name)
			}
		}
		span := rapid.Custom(func(rt *rapid.T) string {
			unit := rapid.SampledFrom([]string{"us", "ms", "s", "m", "h"}).Draw(rt, "unit")
			return strconv.FormatFloat(rapid.Float64Range(0, 1000).Draw(rt, "span"), 'f', rapid.IntRange(0, 6).Draw(rt, "digits"), 64) + unit
		})
		number := rapid.Custom(func(rt *rapid.T) string {
			return strconv.FormatFloat(rapid.Float64Range(0, 1e9).Draw(rt, "number"), 'f', rapid.IntRange(0, 12).Draw(rt, "digits"), 64)
		})
		seed := rapid.Custom(func(rt *rapid.T) string {
			return rapid.SampledFrom([]string{"", "10.1.0.8:8300", "10.2.0.8:8300", "10.1.0.8", "sidecar-1:8300", "10.1.0.8:0", "[::1]:8300"}).Draw(rt, "seed")
		})
		draw("bounds.grace", span)
		draw("bounds.configApply", span)
		draw("bounds.budgetWindow", span)
		draw("bounds.retryBudgetRatio", number)
		draw("bounds.budgetExtra", number)
		fields["seeds"] = strings.Join(rapid.SliceOfN(seed, 0, 70).Draw(rt, "seeds"), ",")
		name := rapid.StringMatching("[a-zA-Z0-9 :/_.é-]{0,80}")
		fields["node"], fields["service"] = name.Draw(rt, "node"), name.Draw(rt, "service")
		fields["zone"] = rapid.StringMatching("[a-zA-Z0-9 :/_.é-]{1,80}").Draw(rt, "zone")
		text := fillTemplate(t, fields)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			rt.Fatal(err)
		}
		s, err := settings.Load(path)
		if err != nil {
			rt.Fatalf("got %v, want settings\n%s", err, text)
		}
		if s.Linger > s.Grace/2 || s.Policy.Window > settings.MaxWindow || s.Policy.Retries > 1 {
			rt.Errorf("got %+v, want values within their bounds", s)
		}
	})
}

func TestSystemFileNamesTemplate(t *testing.T) {
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
		t.Errorf("got %+v, want a build command and a role node with deploy/settings.toml on sidecar", file)
	}
}
