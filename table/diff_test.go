package table_test

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/table"
)

// Guards against a change of the table that the log doesn't show: operators then can't
// find out why, for example, an upstream gets no work since a certain day.
func TestDiffNamesEachChange(t *testing.T) {
	older := mustParse(t, small)
	text := strings.NewReplacer(
		"version = 7", "version = 8",
		"floor = 0.4", "floor = 0.6\n[service.objective]\nlatency = \"250ms\"",
		"slots = 3", "slots = 3\nweight = 0",
		`"b2"`, `"b3"`,
		"rate = 5", "rate = 6",
		"[[caller]]", "[[route]]\nprefix = \"/van\"\nservice = \"bacheca\"\nrepeatable = [\"PUT\"]\n[[caller]]",
	).Replace(small)
	newer := mustParse(t, text)
	want := []string{
		"changed version: 7 to 8",
		"changed service bacheca: floor: 0.4 to 0.6",
		"changed service bacheca: objective: latency: 500ms to 250ms",
		"changed service bacheca: upstream b1: weight: 100 to 0",
		"added service bacheca: upstream b3: address 10.0.0.2:8080, node 10.0.0.2:7000, domain catania, weight 100, slots 5, connections 400",
		"removed service bacheca: upstream b2: address 10.0.0.2:8080, node 10.0.0.2:7000, domain catania, weight 100, slots 5, connections 400",
		"added route /van: service bacheca, repeatable [PUT]",
		"changed caller van-1: rate: 5 to 6",
	}
	changes := table.Diff(older, newer)
	got := make([]string, 0, len(changes))
	for _, c := range changes {
		got = append(got, c.String())
	}
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func TestDiffIgnoresOrder(t *testing.T) {
	older := mustParse(t, small)
	newer := mustParse(t, small)
	slices.Reverse(newer.Services[0].Upstreams)
	if got := table.Diff(older, newer); len(got) != 0 {
		t.Errorf("got %v, want no change", got)
	}
	if got := table.Diff(nil, older); len(got) == 0 || got[0].Path != "format" {
		t.Errorf("got %v, want the whole table as new", got)
	}
}

// Guards against changes that the shortcuts of Diff lose when one edit moves, adds and
// removes parts. Diff with swapped tables must return the same changes, with Added and
// Removed swapped.
func TestDiffReversedSwapsAddedAndRemoved(t *testing.T) {
	caller := rapid.Custom(func(t *rapid.T) table.Caller {
		return table.Caller{Name: rapid.StringMatching(`[a-f]`).Draw(t, "name"), Rate: float64(rapid.IntRange(0, 2).Draw(t, "rate"))}
	})
	lists := rapid.SliceOfDistinct(caller, func(c table.Caller) string { return c.Name })
	rapid.Check(t, func(t *rapid.T) {
		a := table.Table{Callers: lists.Draw(t, "older")}
		b := table.Table{Callers: lists.Draw(t, "newer")}
		want := make(map[table.Change]bool)
		for _, c := range table.Diff(&b, &a) {
			switch c.Kind {
			case table.Added:
				c.Kind = table.Removed
			case table.Removed:
				c.Kind = table.Added
			default:
			}
			c.From, c.To = c.To, c.From
			want[c] = true
		}
		got := table.Diff(&a, &b)
		for _, c := range got {
			if !want[c] {
				t.Errorf("got %v, want only changes that the reversed Diff has too", c)
			}
		}
		if len(got) != len(want) {
			t.Errorf("got %d changes, want %d", len(got), len(want))
		}
		if same := len(a.Callers) == len(b.Callers) && !slices.ContainsFunc(a.Callers, func(c table.Caller) bool { return !slices.Contains(b.Callers, c) }); same != (len(got) == 0) {
			t.Errorf("got %v for tables that are the same: %v", got, same)
		}
	})
}
