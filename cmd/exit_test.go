package cmd_test

import (
	"fmt"
	"os"
	"strings"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiapick.example/fuchsiapick/cmd"
)

// lastLines is how many lines of a process that ended by itself are shown.
const lastLines = 5

// recordSignal notes that the script asks the process to end.
func (p *process) recordSignal(signal os.Signal) {
	switch signal {
	case syscall.SIGTERM, syscall.SIGINT:
		p.isToEnd = true
	case syscall.SIGKILL:
		p.isToEnd, p.isKilled = true, true
	}
}

// unexpectedEnd describes the end of a node's process that no signal of the script explains, and is
// empty if there is none. An exit that the script has checked is explained. A node that was asked
// to leave exits with ExitOK, or with ExitFailure if it has cut requests. A SIGTERM that arrives before
// the program handles it ends the process.
func (p *process) unexpectedEnd(name string) string {
	if !p.isNode || !p.hasEnded() || p.isExitChecked {
		return ""
	}
	state := p.cmd.ProcessState
	switch code := state.ExitCode(); {
	case p.isKilled:
		return ""
	case p.isToEnd && (code == cmd.ExitOK || code == cmd.ExitFailure || endedBySIGTERM(state)):
		return ""
	default:
		return fmt.Sprintf("process %s ended by itself: %s; its last lines:\n%s%s", name, state, tail(p.stdout.String()), tail(p.stderr.String()))
	}
}

func endedBySIGTERM(state *os.ProcessState) bool {
	status, ok := state.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM
}

// tail returns the last lines of a text.
func tail(text string) string {
	lines := strings.SplitAfter(text, "\n")
	return strings.Join(lines[max(len(lines)-lastLines-1, 0):], "")
}

func (s *session) addUnexpectedEnd(end string) {
	s.unexpectedEnds = append(s.unexpectedEnds, end)
}

// checkEnds fails the script if a node's process has ended by itself. It is called after all
// processes were killed that still ran.
func (s *session) checkEnds(t testscript.T) {
	if len(s.unexpectedEnds) > 0 {
		t.Fatal(strings.Join(s.unexpectedEnds, "\n"))
	}
}
