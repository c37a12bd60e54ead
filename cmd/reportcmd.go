package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/report"
)

// ExitPartial is the exit code of report if some nodes answered and some did not.
const ExitPartial = 3

type reportCmd struct {
	Node     []string     `arg:"--node,separate" placeholder:"ADDR" help:"admin address of a node to ask, IP number and port; more may follow"`
	More     []string     `arg:"positional" placeholder:"ADDR" help:"admin addresses of more nodes"`
	Service  string       `arg:"--service" help:"only this service"`
	Caller   string       `arg:"--caller" help:"only this caller"`
	Upstream string       `arg:"--upstream" help:"only this upstream"`
	Since    clock.Millis `arg:"--since" placeholder:"SPAN" help:"only what ended within this span, for example 10m [default: all that is kept]"`
	Format   string       `arg:"--format" default:"text" help:"text, json or html"`
	Timeout  clock.Millis `arg:"--timeout" placeholder:"SPAN" default:"3s" help:"how long all nodes together have to answer"`
	Output   string       `arg:"--output" placeholder:"FILE" help:"write here and not to standard output"`
}

// run returns ExitOK for a complete report, ExitPartial if some nodes did not answer,
// ExitFailure if none did or the report can't be written, and ExitUsage for wrong
// arguments.
func (c *reportCmd) run(stdout, stderr io.Writer) int {
	if err := c.check(); err != nil {
		fmt.Fprintf(stderr, "fuchsiapick report: %v\n", err)
		return ExitUsage
	}
	results, err := report.Fetch(context.Background(), report.Query{
		Nodes:   slices.Concat(c.Node, c.More),
		Filter:  access.Filter{Service: c.Service, Caller: c.Caller, Upstream: c.Upstream, Since: c.Since},
		Timeout: c.Timeout,
	})
	if err != nil {
		fmt.Fprintf(stderr, "fuchsiapick report: %v\n", err)
		return ExitUsage
	}
	merged := report.Merge(results)
	merged.AsOf = time.Now()
	if err := c.write(&merged, stdout); err != nil {
		fmt.Fprintf(stderr, "fuchsiapick report: %v\n", err)
		return ExitFailure
	}
	switch {
	case merged.Answered() == 0:
		fmt.Fprintln(stderr, "fuchsiapick report: no node answered")
		return ExitFailure
	case merged.Partial:
		return ExitPartial
	default:
		return ExitOK
	}
}

// check returns an error for arguments whose values are not allowed.
func (c *reportCmd) check() error {
	switch {
	case len(c.Node)+len(c.More) == 0:
		return errors.New("no node is named; give --node and an admin address")
	case c.Format != "text" && c.Format != "json" && c.Format != "html":
		return errors.Errorf("--format %q is none of text, json and html", c.Format)
	case c.Since < 0:
		return errors.Errorf("--since %v is below 0", c.Since)
	case c.Timeout <= 0:
		return errors.Errorf("--timeout %v isn't above 0", c.Timeout)
	default:
		return nil
	}
}

func (c *reportCmd) write(r *report.Report, stdout io.Writer) error {
	if c.Output == "" {
		return c.format(r, stdout)
	}
	file, err := os.Create(c.Output)
	if err != nil {
		return errors.Annotate(err, "creating the report's file")
	}
	err = c.format(r, file)
	if closeErr := file.Close(); err == nil {
		err = errors.Annotate(closeErr, "closing the report's file")
	}
	return err
}

func (c *reportCmd) format(r *report.Report, w io.Writer) error {
	switch c.Format {
	case "json":
		return r.JSON(w)
	case "html":
		return r.HTML(w)
	default:
		return r.Text(w)
	}
}
