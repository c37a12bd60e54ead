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

// The operators' pages must list every key, and their examples must be valid. If the code
// changes and a page doesn't, an operator copies an invalid example or can't look up a key
// that an error names.
func TestOperatorPagesListEveryKeyAndValidExamples(t *testing.T) {
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
					continue // not read from the file: the check command rejects it as a key
				}
				if f.IsExported() && !strings.Contains(string(text), "\n| `"+key+"` | ") {
					t.Errorf("%s: got no row for key %s, want one", name, key)
				}
			}
		}
		found := regexp.MustCompile("(?s)```toml\n(.*?)```").FindAllSubmatch(text, -1)
		for _, example := range found {
			if err := page.accept(example[1]); err != nil {
				t.Errorf("%s: got %v, want a valid example", name, err)
			}
		}
		if len(found) != page.examples {
			t.Errorf("%s: got %d examples, want %d", name, len(found), page.examples)
		}
	}
}
