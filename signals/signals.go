// Package signals catches the signals of a node from the first milliseconds of its process. Until a
// signal is caught, it ends the process without a line in the log. The package depends on few others
// and is therefore initialised before the libraries, which take most of the time until main runs.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// nodeCommand is the subcommand for which signals are caught. Other commands end on them.
const nodeCommand = "node"

// Caught are the channels of the signals that were caught.
type Caught struct {
	// Stops receives SIGTERM and SIGINT.
	Stops chan os.Signal
	// Hangups receives SIGHUP.
	Hangups chan os.Signal
}

// queueSize is the number of signals of each kind that wait for their reader. Those that follow
// ask for nothing else.
const queueSize = 4

var early = catchEarly(os.Args)

func catchEarly(args []string) *Caught {
	if len(args) < 2 || args[1] != nodeCommand {
		return nil
	}
	return catch()
}

func catch() *Caught {
	c := &Caught{
		Stops:   make(chan os.Signal, queueSize),
		Hangups: make(chan os.Signal, queueSize),
	}
	signal.Notify(c.Stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(c.Hangups, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // otherwise the process ends when the reader of its log ends
	return c
}

// Catch returns the signals of this process, those included that came since it started. They stay caught
// until the process is gone: a signal that is repeated must not change its exit code.
func Catch() *Caught {
	if early == nil {
		return catch()
	}
	return early
}
