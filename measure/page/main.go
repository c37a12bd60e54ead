// Command page runs all scenarios of package measure and writes their figures to a
// Markdown page.
package main

import (
	"bytes"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

type arguments struct {
	Out  string `arg:"--out" default:"docs/MEASURES.md" help:"page to write"`
	Runs int    `arg:"--runs" default:"200" help:"seeds for each detection"`
}

// Description is the first line of the help.
func (arguments) Description() string {
	return "Measures detection and false ejections in virtual time and writes docs/MEASURES.md."
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if err := write(args); err != nil {
		parser.Fail(err.Error())
	}
}

func write(args arguments) error {
	var page bytes.Buffer
	writePage(&page, args.Runs)
	if err := os.WriteFile(args.Out, page.Bytes(), 0o600); err != nil {
		return errors.Annotatef(err, "writing %s", args.Out)
	}
	return nil
}
