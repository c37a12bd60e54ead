// Package command is the command line of the program that runs one stand-in.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

type arguments struct {
	Platform *platformCmd `arg:"subcommand:platform" help:"run a configuration service"`
	Backend  *backendCmd  `arg:"subcommand:backend" help:"run a backend server"`
	Relay    *relayCmd    `arg:"subcommand:relay" help:"run a TCP relay"`
}

// subcommand runs one kind of stand-in. Its method start returns the line to print and the
// function that stops the stand-in.
type subcommand interface {
	start(ctx context.Context) (readyLine, func(), error)
}

// readyLine is the JSON line that the program prints once the stand-in listens.
type readyLine struct {
	Kind    string `json:"kind"`
	Address string `json:"address"`
	// Admin is the address of the admin paths, if it differs from Address.
	Admin string `json:"admin,omitempty"`
}

// Main runs one stand-in until SIGINT or SIGTERM and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, args, stdout, stderr)
}

// run starts the stand-in of the subcommand, stops it when ctx ends, and returns the exit
// code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "standin", Out: stderr}, &parsed)
	if err != nil {
		fmt.Fprintf(stderr, "standin: %v\n", err)
		return exitUsage
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		if err := parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...); err != nil {
			return exitFailure
		}
		return exitOK
	case err != nil:
		fmt.Fprintf(stderr, "standin: %v\n", err)
		return exitUsage
	}
	chosen, ok := parser.Subcommand().(subcommand)
	if !ok {
		parser.WriteHelp(stderr)
		return exitUsage
	}
	line, stop, err := chosen.start(ctx)
	if err != nil {
		fmt.Fprintf(stderr, "standin: %v\n", err)
		return exitFailure
	}
	defer stop()
	if err := json.NewEncoder(stdout).Encode(line); err != nil {
		fmt.Fprintf(stderr, "standin: %v\n", err)
		return exitFailure
	}
	<-ctx.Done()
	return exitOK
}
