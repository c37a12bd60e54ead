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

// Kinds of files that the check command accepts.
const (
	kindTable    = "table"
	kindSettings = "settings"
)

type checkCmd struct {
	Files   []string `arg:"positional,required" placeholder:"FILE" help:"tables or settings to check"`
	Kind    string   `arg:"--kind" placeholder:"KIND" help:"table or settings; by default the keys of each file tell"`
	Against string   `arg:"--against" placeholder:"OLD" help:"the table in force: list what the one FILE changes of it"`
}

// run checks all files and writes one line for each fault, or a summary of a file without
// faults. It returns ExitFailure if any file has faults or can't be read.
func (c *checkCmd) run(stdout, stderr io.Writer) int {
	if problem := c.usageProblem(); problem != "" {
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

// usageProblem describes what is wrong with the combination of arguments, or returns "".
func (c *checkCmd) usageProblem() string {
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

// check checks one file, writes the result, and reports whether the file is valid.
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
	var summary string
	switch {
	case err != nil:
	case kind == kindTable:
		summary, err = checkTable(text)
	default:
		summary, err = checkSettings(text)
	}
	if err != nil {
		writeFaults(stdout, file, err)
		return false
	}
	fmt.Fprintf(stdout, "%s: %s\n", file, summary)
	return true
}

// detectKind returns kindTable or kindSettings, by a top-level key that only this kind of
// file has. A file with keys of both counts as a table; for one with neither it returns
// document.Faults.
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

// checkTable parses a table and returns a one-line summary of it.
func checkTable(text []byte) (string, error) {
	t, err := table.Parse(text)
	if err != nil {
		return "", errors.Trace(err)
	}
	upstreams := 0
	for i := range t.Services {
		upstreams += len(t.Services[i].Upstreams)
	}
	summary := fmt.Sprintf("table, version %d, services %d, upstreams %d, routes %d",
		t.Version, len(t.Services), upstreams, len(t.Routes))
	if t.HasKeys() {
		summary += fmt.Sprintf(", accounts %d", len(t.Accounts))
	}
	return summary, nil
}

// checkSettings parses settings and returns a one-line summary of them.
func checkSettings(text []byte) (string, error) {
	s, err := settings.Parse(text)
	if err != nil {
		return "", errors.Trace(err)
	}
	return fmt.Sprintf("settings, node %s, domain %s", s.Node, s.Domain), nil
}

// writeFaults writes one line for each fault in the form "file:line: message" that
// compilers use, so that editors can jump to the line.
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

// compare writes the differences between the table in force and a new table. It returns
// ExitFailure if the new table's version is not above that of the table in force.
func (c *checkCmd) compare(stdout, stderr io.Writer) int {
	current, next := readTable(c.Against, stdout, stderr), readTable(c.Files[0], stdout, stderr)
	if current == nil || next == nil {
		return ExitFailure
	}
	for _, change := range table.Diff(current, next) {
		fmt.Fprintln(stdout, change)
	}
	if next.Version <= current.Version {
		// Nodes ignore a table whose version is not above the one in force, and only
		// write a line to their logs.
		fmt.Fprintf(stdout, "%s: version: %d is not above that in force; allowed: %d or more\n",
			c.Files[0], next.Version, current.Version+1)
		return ExitFailure
	}
	return ExitOK
}

// readTable reads and parses a table. It reports faults itself and then returns nil.
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
