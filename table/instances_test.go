package table_test

import (
	"strings"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/table"
)

func TestParseInstances(t *testing.T) {
	const (
		instance = "[[instance]]\nnode = \"10.0.0.1:7000\"\ndomain = \"palermo\"\nstate = \"live\"\n"
		one      = "version = 3\n" + instance
	)
	tests := []struct {
		name, body string
		nodes      int
		err        error
	}{
		{"empty", "version = 1", 0, nil},
		{"one", one, 1, nil},
		{"unknown key", one + "rack = 7\n", 1, nil},
		{"twice", one + instance, 0, table.ErrInstances},
		{"name for an address", strings.Replace(one, "10.0.0.1", "node-1", 1), 0, table.ErrInstances},
		{"no domain", strings.Replace(one, "palermo", "", 1), 0, table.ErrInstances},
		{"unknown state", strings.Replace(one, "live", "asleep", 1), 0, table.ErrInstances},
		{"no TOML", "<html>", 0, table.ErrInstances},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := table.ParseInstances([]byte(tt.body))
			if !errors.Is(err, tt.err) || len(got.List) != tt.nodes {
				t.Errorf("got %+v, error %v, want %d nodes, error %v", got, err, tt.nodes, tt.err)
			}
		})
	}
}

// FuzzParseInstances checks that no list makes the parser panic, and that no parsed list
// names a node twice.
func FuzzParseInstances(f *testing.F) {
	f.Add([]byte("version = 3\n[[instance]]\nnode = \"10.0.0.1:7000\"\ndomain = \"palermo\"\nstate = \"live\"\n"))
	f.Add([]byte("version = -1\ninstance = 7"))
	f.Add([]byte("[[instance]]\n[instance.node]\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		list, err := table.ParseInstances(body)
		if err != nil && !errors.Is(err, table.ErrInstances) {
			t.Errorf("got error %v, want ErrInstances", err)
		}
		seen := make(map[string]bool)
		for _, instance := range list.List {
			if seen[instance.Node] {
				t.Errorf("got %s twice, want each node once", instance.Node)
			}
			seen[instance.Node] = true
		}
	})
}
