package examples_test

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
)

// An operator copies an example from a page, or looks for a key that a fault
// has named, and the page knows neither. The cause: the page and the code were
// not changed together.
func TestPagesNameEveryKeyAndTheirExamplesPass(t *testing.T) {
	pages := map[string]struct {
		parts    []any
		accept   func(text []byte) error
		examples int
	}{
		"table.md": {
			[]any{table.Table{}, table.Service{}, table.Objective{}, table.Upstream{}, table.Route{}, table.Share{}, table.Caller{}, table.Account{}},
			func(text []byte) error { _, err := table.Parse(text); return err }, 2,
		},
		"settings.md": {
			[]any{settings.Settings{}, settings.Listen{}, settings.Platform{}, settings.Limits{}, settings.Policy{}},
			func(text []byte) error { _, err := settings.Parse(text); return err }, 1,
		},
	}
	for name, page := range pages {
		text, err := os.ReadFile("../docs/operators/" + name)
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range page.parts {
			for f := range reflect.TypeOf(part).Fields() {
				key := f.Tag.Get("toml")
				if key == "-" {
					continue // no text fills it: check refuses it as a key, too
				}
				if f.IsExported() && !strings.Contains(string(text), "\n| `"+key+"` | ") {
					t.Errorf("%s: got no row for key %s, want one", name, key)
				}
			}
		}
		found := regexp.MustCompile("(?s)```toml\n(.*?)```").FindAllSubmatch(text, -1)
		for _, example := range found {
			if err := page.accept(example[1]); err != nil {
				t.Errorf("%s: got %v, want an example that is accepted", name, err)
			}
		}
		if len(found) != page.examples {
			t.Errorf("%s: got %d examples, want %d", name, len(found), page.examples)
		}
	}
}
