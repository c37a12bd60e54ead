// Command slopes measures how the cost of a node's parts grows with their size, and
// writes the fitted lines as a Markdown table for docs/CAPACITY.md.
//
// With an argument it runs only the measures whose role or name contains the argument.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/capacity"
)

type args struct {
	Part string `arg:"positional" help:"measure only what has this in its role or name"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(os.Stdout, a.Part); err != nil {
		logrus.WithError(err).Fatal("measuring failed; the table is incomplete")
	}
}

// run measures the costs whose role or name contains part, and writes a table row for
// each. It returns an error if there are none.
func run(out io.Writer, part string) error {
	fmt.Fprintln(out, "| role | cost | against | points | base | slope | residual | at the size designed for |")
	fmt.Fprintln(out, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	rows := 0
	for _, m := range capacity.All() {
		if !strings.Contains(m.Role+" "+m.Name, part) {
			continue
		}
		r, err := m.Run()
		if err != nil {
			return errors.Trace(err)
		}
		fmt.Fprintln(out, row(r))
		rows++
	}
	if rows == 0 {
		return errors.NotFoundf("measure with %q in its role or name", part)
	}
	return nil
}

// row returns the row of the table for a result.
func row(r capacity.Result) string {
	points := make([]string, 0, len(r.Points))
	for _, p := range r.Points {
		points = append(points, fmt.Sprintf("%.0f: %s", p.Size, formatFigure(p.Cost)))
	}
	if r.Curve {
		return fmt.Sprintf("| %s | %s, %s | %s | %s | | | | |",
			r.Role, r.Name, r.Unit, r.Against, strings.Join(points, "; "))
	}
	targetCost := ""
	if r.Target > 0 {
		targetCost = fmt.Sprintf("%.0f: %s %s", r.Target, formatFigure(r.Line.At(r.Target)), r.Unit)
	}
	return fmt.Sprintf("| %s | %s, %s | %s | %s | %s | %s | %.1f%% | %s |",
		r.Role, r.Name, r.Unit, r.Against, strings.Join(points, "; "),
		formatFigure(r.Line.Base), formatFigure(r.Line.Slope), 100*r.Line.Residual, targetCost)
}

// formatFigure formats a number with three significant digits, or as a whole number if its
// magnitude is at least 1000.
func formatFigure(x float64) string {
	if x >= 1000 || x <= -1000 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}
