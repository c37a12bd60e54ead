// Package cmd implements the command line, with one file for each subcommand.
package cmd

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

// Exit codes of the program.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// command is a subcommand whose arguments have been parsed. Its run method returns the
// exit code.
type command interface {
	run(stdout, stderr io.Writer) int
}

type arguments struct {
	Node    *nodeCmd    `arg:"subcommand:node" help:"run a node beside its backend servers"`
	Report  *reportCmd  `arg:"subcommand:report" help:"ask nodes and say who got what"`
	Demo    *demoCmd    `arg:"subcommand:demo" help:"run a deployment on loopback, with a gray upstream, and report"`
	Account *accountCmd `arg:"subcommand:account" help:"make keys of client accounts"`
	Check   *checkCmd   `arg:"subcommand:check" help:"check tables and settings"`
	Version *versionCmd `arg:"subcommand:version" help:"print the release and the formats it reads"`
}

// Description returns the first lines of the help text.
func (arguments) Description() string {
	return "fuchsiapick is a proxy fleet for backend servers with gray failures."
}

// Epilogue returns the last lines of the help text.
func (arguments) Epilogue() string {
	return "A node leaves on SIGTERM or SIGINT; a SIGINT after that ends it at once.\n\n" +
		"Exit codes: 0 done, 1 failed, 2 wrong usage, 3 a report that lacks nodes."
}

// Main runs the command line, without the program name in args, and returns the exit
// code.
func Main(args []string, stdout, stderr io.Writer) int {
	parser, chosen, err := parse(args, stderr)
	switch {
	case errors.Is(err, arg.ErrHelp):
		return writeHelp(parser, stdout)
	case err != nil:
		fmt.Fprintf(stderr, "fuchsiapick: %v; see fuchsiapick --help\n", err)
		return ExitUsage
	case chosen == nil:
		_ = writeHelp(parser, stderr)
		return ExitUsage
	default:
		return chosen.run(stdout, stderr)
	}
}

// parse parses a command line. The returned command is nil if the arguments name none.
func parse(args []string, out io.Writer) (*arg.Parser, command, error) {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "fuchsiapick", Out: out}, &parsed)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	if err := parser.Parse(args); err != nil {
		return parser, nil, err
	}
	chosen, _ := parser.Subcommand().(command)
	return parser, chosen, nil
}

// writeHelp writes the help text of the subcommand that was named, or of the program, and
// returns the exit code.
func writeHelp(parser *arg.Parser, out io.Writer) int {
	if err := parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...); err != nil {
		return ExitFailure
	}
	return ExitOK
}
