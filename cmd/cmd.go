// Package cmd is the command line: one file per subcommand, each with its
// arguments beside its run.
package cmd

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit codes of the program.
const (
	ExitOK    = 0
	ExitFault = 1
	ExitUsage = 2
)

type arguments struct {
	Check   *checkCmd   `arg:"subcommand:check" help:"check tables and settings"`
	Version *versionCmd `arg:"subcommand:version" help:"print the release and the formats it reads"`
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "fuchsiapick", Out: stderr}, &parsed)
	if err != nil {
		fmt.Fprintf(stderr, "fuchsiapick: %v\n", err)
		return ExitUsage
	}
	if err := parser.Parse(args); err != nil {
		fmt.Fprintf(stderr, "fuchsiapick: %v\n", err)
		return ExitUsage
	}
	switch {
	case parsed.Check != nil:
		return parsed.Check.run(stdout, stderr)
	case parsed.Version != nil:
		return parsed.Version.run(stdout)
	default:
		parser.WriteHelp(stderr)
		return ExitUsage
	}
}
