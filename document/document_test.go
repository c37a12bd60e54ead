package document_test

import (
	"strings"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/document"
)

type inner struct {
	Name  string `toml:"name"`
	Count int    `toml:"count"`
}

type outer struct {
	Plain bool     `toml:"plain"`
	Share float64  `toml:"share"`
	Words []string `toml:"words"`
	Inner inner    `toml:"inner"`
	Items []inner  `toml:"item"`
}

// Guards against a fault that hides other faults or keeps valid keys from being decoded,
// for each way in which TOML writes a value.
func TestDecodeSkipsFaultsAndKeepsTheRest(t *testing.T) {
	tests := map[string]struct {
		text, faults string
		want         outer
	}{
		"unknown table":       {"share = 1\n[other]\nx = 1\n[other.deep]\ny = 2\n[inner]\ncount = 3", "line 2: other: unknown key", outer{Share: 1, Inner: inner{Count: 3}}},
		"unknown table twice": {"[[other]]\nx = 1\n[[other]]\nx = 2\n[inner]\ncount = 3", "line 1: other: unknown key", outer{Inner: inner{Count: 3}}},
		"table for array":     {"share = 1\n[item]\ncount = 1", "line 2: item: is a table; allowed: tables that each begin with [[item]]", outer{Share: 1}},
		"array for table":     {"share = 1\n[[inner]]\ncount = 1", "line 2: inner: is an array; allowed: a table", outer{Share: 1}},
		"inline":              {"inner = {name = \"n\", cuont = 1}\nshare = 1", "line 1: inner: cuont: unknown key", outer{Share: 1}},
		"within inline array": {"share = 1\nitem = [{name = \"n\", count = 'x'}, {count = 1}]", `line 2: item n: count: is the text "x"`, outer{Share: 1}},
		"dotted":              {"inner.count = 1.5\ninner.name = \"n\"", "line 1: inner: count: is 1.5", outer{Inner: inner{Name: "n"}}},
		"twice":               {"share = 1\nshare = 2", "line 2: share: given twice", outer{Share: 1}},
		"twice inline":        {"share = 1\ninner = {count = 1, count = 2}", "line 2: inner: count: given twice", outer{Share: 1}},
		"array of one text":   {"words = [\"a\",\n 2]\nplain = true", "line 1: words 2: is 2; allowed: a text in quotes", outer{Plain: true}},
		"text over lines":     {"plain = \"\"\"a\nb\"\"\"\nshare = 1_6", "line 1: plain: is the text", outer{Share: 16}},
		"hexadecimal share":   {"plain = true\nshare = 0x10", "line 2: share: is 0x10; allowed: a decimal number", outer{Plain: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			doc, err := document.Parse([]byte(test.text), 1000)
			if err != nil {
				t.Fatal(err)
			}
			var got outer
			decoded := doc.Decode(&got)
			if !decoded || got.Share != test.want.Share || got.Plain != test.want.Plain || got.Inner != test.want.Inner {
				t.Errorf("got %+v, %v, want %+v", got, decoded, test.want)
			}
			err = doc.Err()
			if err == nil || !strings.HasPrefix(err.Error(), test.faults) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one fault %q", err, test.faults)
			}
		})
	}
}

func TestErrorOfVeryManyFaultsIsBounded(t *testing.T) {
	faults := make(document.Faults, 5000)
	got := faults.Error()
	if lines := strings.Count(got, "\n") + 1; lines != 101 || !strings.HasSuffix(got, "and 4900 more") {
		t.Errorf("got %d lines, want 100 faults and a line with the number of others", lines)
	}
	if !errors.Is(errors.Annotate(faults, "reading"), document.ErrInvalid) {
		t.Error("got an error that isn't ErrInvalid, want ErrInvalid")
	}
}
