package table_test

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"fuchsiapick.example/fuchsiapick/table"
)

// An operator copies an example from the page, or looks for a key that a fault
// has named, and the page knows neither. The cause: the page and the code were
// not changed together.
func TestPageNamesEveryKeyAndItsExamplesPass(t *testing.T) {
	page, err := os.ReadFile("../docs/operators/table.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []any{table.Table{}, table.Service{}, table.Objective{}, table.Upstream{}, table.Route{}, table.Caller{}} {
		for f := range reflect.TypeOf(part).Fields() {
			key := f.Tag.Get("toml")
			if f.IsExported() && !strings.Contains(string(page), "\n| `"+key+"` | ") {
				t.Errorf("got no row for key %s, want one", key)
			}
		}
	}
	examples := regexp.MustCompile("(?s)```toml\n(.*?)```").FindAllSubmatch(page, -1)
	for _, example := range examples {
		if _, err := table.Parse(example[1]); err != nil {
			t.Errorf("got %v, want an example that is accepted", err)
		}
	}
	if len(examples) != 2 {
		t.Errorf("got %d examples, want 2", len(examples))
	}
}
