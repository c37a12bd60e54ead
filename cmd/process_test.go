package cmd_test

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiapick.example/fuchsiapick/standin"
)

// process is a program that a script has started. Scripts signal it by the name they gave
// it.
type process struct {
	cmd    *exec.Cmd
	stdout processOutput
	stderr standin.Output
	done   chan struct{}
	// terminated is when the script sent SIGTERM, zero if it didn't. ended may be read once
	// done is closed.
	started, terminated, ended time.Time
	// isNode means that the program is a node. isToEnd means that the script has sent a signal that
	// ends the process, isKilled that it was SIGKILL, and isExitChecked that the script has checked the
	// exit code.
	isNode, isToEnd, isKilled, isExitChecked bool
	// pauses are the spans between SIGSTOP and SIGCONT.
	pauses []timeSpan
}

// pause records that the process gets SIGSTOP, and resume that it has got SIGCONT.
func (p *process) pause() {
	p.pauses = append(p.pauses, timeSpan{from: time.Now()})
}

func (p *process) resume() {
	if last := len(p.pauses) - 1; last >= 0 {
		p.pauses[last].to = time.Now()
	}
}

// processOutput collects the output of a process until it is set to unread. The pipe to the process
// is closed then, after what the process writes next.
type processOutput struct {
	standin.Output

	isUnread atomic.Bool
}

const errUnread = errors.ConstError("nobody reads the output")

func (o *processOutput) Write(p []byte) (int, error) {
	if o.isUnread.Load() {
		return 0, errUnread
	}
	return o.Output.Write(p)
}

// stopReading implements "unread NAME": nobody reads the standard output of a process any more.
func stopReading(ts *testscript.TestScript, _ bool, args []string) {
	processOf(ts, args[0]).stdout.isUnread.Store(true)
}

// startProcess implements "start NAME PROGRAM ARG...": it starts a program that runs at
// most until the script ends.
func startProcess(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	if old, ok := s.processes[args[0]]; ok && !old.hasEnded() {
		ts.Fatalf("process %s still runs", args[0])
	}
	path, err := exec.LookPath(args[1])
	ts.Check(err)
	p := &process{
		cmd: newCommand(path, args[2:]...), done: make(chan struct{}), started: time.Now(),
		isNode: args[1] == "fuchsiapick" && slices.Contains(args[2:], "node"),
	}
	p.cmd.Dir = ts.MkAbs(".")
	p.cmd.Stdout, p.cmd.Stderr = &p.stdout, &p.stderr
	ts.Check(p.cmd.Start())
	s.processes[args[0]] = p
	s.history[args[0]] = append(s.history[args[0]], p)
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // scripts check the exit code
		p.ended = time.Now()
	}()
	ts.Defer(func() { p.killAndLog(ts, args[0]) })
}

// newCommand returns a command whose process has a group of its own and ends with the test. If it
// were in the group of the test, the kernel would resume it when the shell that started the tests
// ends while the process is paused.
func newCommand(path string, args ...string) *exec.Cmd {
	c := exec.Command(path, args...)
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return c
}

// killAndLog kills the process unless it has ended, also while SIGSTOP suspends it, and adds its
// output to the script's log, which is shown if the script fails.
func (p *process) killAndLog(ts *testscript.TestScript, name string) {
	state := "ended"
	if end := p.unexpectedEnd(name); end != "" {
		sessionOf(ts).addUnexpectedEnd(end)
	}
	if !p.hasEnded() {
		if s, err := processState(p.cmd.Process.Pid); err == nil {
			state = s
		}
		_ = p.cmd.Process.Kill() // fails if the process has ended meanwhile
	}
	<-p.done
	ts.Logf("[%s, state %s]\n%s%s", name, state, p.stdout.String(), p.stderr.String())
}

func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func processOf(ts *testscript.TestScript, name string) *process {
	p, ok := sessionOf(ts).processes[name]
	if !ok {
		ts.Fatalf("no process is named %s", name)
	}
	return p
}

// sendSignals returns a command that sends a signal to each named process, such as
// "sigterm NAME...".
func sendSignals(signal os.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			p := processOf(ts, name)
			if signal == syscall.SIGTERM && p.terminated.IsZero() {
				p.terminated = time.Now()
			}
			if signal == syscall.SIGSTOP {
				p.pause()
			}
			p.recordSignal(signal)
			ts.Check(p.cmd.Process.Signal(signal))
			switch signal {
			case syscall.SIGSTOP:
				p.awaitStopped(ts, name)
			case syscall.SIGCONT:
				p.resume()
			}
		}
	}
}

// awaitStopped waits until the kernel has stopped the process, as a stop signal takes
// effect some time after it is sent.
func (p *process) awaitStopped(ts *testscript.TestScript, name string) {
	poll(ts, "stopped process "+name, func() (string, bool) {
		state, err := processState(p.cmd.Process.Pid)
		ts.Check(err)
		return state, state == stoppedState
	})
}

// stoppedState is the state of a process that a stop signal has suspended.
const stoppedState = "T"

// processState returns the letter by which the kernel names the state of a process.
func processState(pid int) (string, error) {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return "", err
	}
	_, state, _ := strings.Cut(string(stat), ") ")
	return state[:1], nil
}

// awaitExit implements "ended NAME CODE": it waits until a process ends, and checks its
// exit code or the name of the signal that ended it, such as "killed". The output of the
// process is then available to stdout and stderr.
func awaitExit(ts *testscript.TestScript, _ bool, args []string) {
	p := processOf(ts, args[0])
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		ts.Fatalf("process %s: still running, want exit %s", args[0], args[1])
	}
	code := strconv.Itoa(p.cmd.ProcessState.ExitCode())
	if status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		code = status.Signal().String()
	}
	p.isExitChecked = true
	if code != args[1] {
		ts.Fatalf("process %s: got exit %s, want %s\n%s", args[0], code, args[1], p.stderr.String())
	}
	fmt.Fprint(ts.Stdout(), p.stdout.String())
	fmt.Fprint(ts.Stderr(), p.stderr.String())
}

// awaitLogLine implements "logged NAME[,NAME...] TEXT...": it waits for a log line of any
// of the processes that contains all the texts.
func awaitLogLine(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, "log line of "+args[0]+" with "+strings.Join(args[1:], " and "), func() (string, bool) {
		text := ""
		for _, name := range strings.Split(args[0], ",") {
			text += processOf(ts, name).stdout.String()
		}
		for line := range strings.Lines(text) {
			if containsAll(line, args[1:]) {
				ts.Logf("%s", line)
				return line, true
			}
		}
		return text, false
	})
}

func containsAll(line string, texts []string) bool {
	for _, text := range texts {
		if !strings.Contains(line, text) {
			return false
		}
	}
	return true
}

// poll calls check every 10 ms until it returns true, and fails the script after
// waitTimeout with the last value that check returned.
func poll(ts *testscript.TestScript, want string, check func() (got string, ok bool)) {
	last := ""
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		got, ok := check()
		if ok {
			return
		}
		last = got
		<-time.After(10 * time.Millisecond)
	}
	ts.Fatalf("got %s, want %s", last, want)
}
