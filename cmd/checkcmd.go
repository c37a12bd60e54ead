package cmd

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/document"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
)

// Kinds of text that the check command tells apart.
const (
	kindTable    = "table"
	kindSettings = "settings"
)

type checkCmd struct {
	Files   []string `arg:"positional,required" placeholder:"FILE" help:"tables or settings to check"`
	Kind    string   `arg:"--kind" placeholder:"KIND" help:"table or settings; by default the keys of each file tell"`
	Against string   `arg:"--against" placeholder:"OLD" help:"the table in force: list what the one FILE changes of it"`
}

// run checks each file and writes a line for each fault, or one that says what
// the file holds. It goes on after a file with faults.
func (c *checkCmd) run(stdout, stderr io.Writer) int {
	if problem := c.usage(); problem != "" {
		fmt.Fprintf(stderr, "fuchsiapick: check: %s\n", problem)
		return ExitUsage
	}
	if c.Against != "" {
		return c.compare(stdout, stderr)
	}
	code := ExitOK
	for _, file := range c.Files {
		if !c.check(file, stdout, stderr) {
			code = ExitFailure
		}
	}
	return code
}

func (c *checkCmd) usage() string {
	switch {
	case !slices.Contains([]string{"", kindTable, kindSettings}, c.Kind):
		return fmt.Sprintf("--kind %s: allowed: %s, %s", c.Kind, kindTable, kindSettings)
	case c.Against != "" && len(c.Files) != 1:
		return "--against takes one FILE"
	case c.Against != "" && c.Kind == kindSettings:
		return "--against is for tables"
	default:
		return ""
	}
}

func (c *checkCmd) check(file string, stdout, stderr io.Writer) bool {
	text, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintf(stderr, "fuchsiapick: check: %v\n", err)
		return false
	}
	kind := c.Kind
	if kind == "" {
		kind, err = detectKind(text)
	}
	var found string
	switch {
	case err != nil:
	case kind == kindTable:
		found, err = checkTable(text)
	default:
		found, err = checkSettings(text)
	}
	if err != nil {
		writeFaults(stdout, file, err)
		return false
	}
	fmt.Fprintf(stdout, "%s: %s\n", file, found)
	return true
}

// detectKind tells a table from settings by the first key that only one of
// them has.
func detectKind(text []byte) (string, error) {
	doc, err := document.Parse(text, table.MaxBytes)
	if err != nil {
		return "", errors.Trace(err)
	}
	kinds := []struct {
		name string
		keys []string
	}{
		{kindTable, []string{"format", "version", "service", "route"}},
		{kindSettings, []string{"node", "listen", "platform", "secret", "secretfile", "domain"}},
	}
	for _, kind := range kinds {
		if slices.ContainsFunc(kind.keys, doc.Root.Has) {
			return kind.name, nil
		}
	}
	return "", document.Faults{{
		Problem: "neither a table nor settings",
		Allowed: "a table begins with format and version, settings with node and domain; or give --kind",
	}}
}

func checkTable(text []byte) (string, error) {
	t, err := table.Parse(text)
	if err != nil {
		return "", errors.Trace(err)
	}
	upstreams := 0
	for i := range t.Services {
		upstreams += len(t.Services[i].Upstreams)
	}
	found := fmt.Sprintf("table, version %d, services %d, upstreams %d, routes %d",
		t.Version, len(t.Services), upstreams, len(t.Routes))
	if t.HasKeys() {
		found += fmt.Sprintf(", accounts %d", len(t.Accounts))
	}
	return found, nil
}

func checkSettings(text []byte) (string, error) {
	s, err := settings.Parse(text)
	if err != nil {
		return "", errors.Trace(err)
	}
	return fmt.Sprintf("settings, node %s, domain %s", s.Node, s.Domain), nil
}

// writeFaults writes faults as compilers do, so that editors find the line.
func writeFaults(w io.Writer, file string, err error) {
	var faults document.Faults
	if !errors.As(err, &faults) {
		faults = document.Faults{{Problem: err.Error()}}
	}
	for _, f := range faults {
		line := ""
		if f.Line > 0 {
			line = fmt.Sprintf("%d:", f.Line)
		}
		f.Line = 0
		fmt.Fprintf(w, "%s:%s %s\n", file, line, f)
	}
}

// compare lists what a new table changes of the one in force.
func (c *checkCmd) compare(stdout, stderr io.Writer) int {
	older, newer := readTable(c.Against, stdout, stderr), readTable(c.Files[0], stdout, stderr)
	if older == nil || newer == nil {
		return ExitFailure
	}
	for _, change := range table.Diff(older, newer) {
		fmt.Fprintln(stdout, change)
	}
	if newer.Version <= older.Version {
		// Nodes pass over a version that is not above the one in force, and
		// the operator sees no more of it than a line in their logs.
		fmt.Fprintf(stdout, "%s: version: %d is not above that in force; allowed: %d or more\n",
			c.Files[0], newer.Version, older.Version+1)
		return ExitFailure
	}
	return ExitOK
}

func readTable(file string, stdout, stderr io.Writer) *table.Table {
	text, err := os.ReadFile(file)
	if err != nil {
		fmt.Fprintf(stderr, "fuchsiapick: check: %v\n", err)
		return nil
	}
	t, err := table.Parse(text)
	if err != nil {
		writeFaults(stdout, file, err)
		return nil
	}
	return t
}
