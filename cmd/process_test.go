package cmd_test

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiapick.example/fuchsiapick/standin"
)

// process is a program that a session started and signals by its own id.
type process struct {
	cmd    *exec.Cmd
	stdout standin.Output
	stderr standin.Output
	done   chan struct{}
}

// start NAME PROGRAM ARG... runs a program until the session ends it.
func start(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	if old, ok := s.processes[args[0]]; ok && !old.ended() {
		ts.Fatalf("process %s still runs", args[0])
	}
	path, err := exec.LookPath(args[1])
	ts.Check(err)
	p := &process{cmd: exec.Command(path, args[2:]...), done: make(chan struct{})}
	p.cmd.Dir = ts.MkAbs(".")
	p.cmd.Stdout, p.cmd.Stderr = &p.stdout, &p.stderr
	ts.Check(p.cmd.Start())
	s.processes[args[0]] = p
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // the session looks at the exit code
	}()
	ts.Defer(func() { p.clear(ts, args[0]) })
}

// clear ends a process that the session left running, a stopped one too, and
// shows what it wrote if the session failed.
func (p *process) clear(ts *testscript.TestScript, name string) {
	if !p.ended() {
		_ = p.cmd.Process.Kill() // it may end on its own meanwhile
	}
	<-p.done
	ts.Logf("[%s]\n%s%s", name, p.stdout.String(), p.stderr.String())
}

func (p *process) ended() bool {
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
		ts.Fatalf("no process %s was started", name)
	}
	return p
}

// signals sends one signal to each named process: sigterm NAME...
func signals(signal os.Signal) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, name := range args {
			p := processOf(ts, name)
			ts.Check(p.cmd.Process.Signal(signal))
			if signal == syscall.SIGSTOP {
				p.awaitStopped(ts, name)
			}
		}
	}
}

// awaitStopped waits until the kernel has stopped the process: the signal is
// sent before it takes effect.
func (p *process) awaitStopped(ts *testscript.TestScript, name string) {
	poll(ts, "stopped process "+name, func() (string, bool) {
		stat, err := os.ReadFile("/proc/" + strconv.Itoa(p.cmd.Process.Pid) + "/stat")
		ts.Check(err)
		_, state, _ := strings.Cut(string(stat), ") ")
		return state[:1], state[:1] == "T"
	})
}

// ended NAME CODE waits for the end of a process and checks its exit code, or
// "killed". What it wrote is there for stdout and stderr.
func ended(ts *testscript.TestScript, _ bool, args []string) {
	p := processOf(ts, args[0])
	select {
	case <-p.done:
	case <-time.After(patience):
		ts.Fatalf("process %s: got no end, want %s", args[0], args[1])
	}
	code := strconv.Itoa(p.cmd.ProcessState.ExitCode())
	if status, ok := p.cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() {
		code = status.Signal().String()
	}
	if code != args[1] {
		ts.Fatalf("process %s: got exit %s, want %s\n%s", args[0], code, args[1], p.stderr.String())
	}
	fmt.Fprint(ts.Stdout(), p.stdout.String())
	fmt.Fprint(ts.Stderr(), p.stderr.String())
}

// logged NAME[,NAME...] TEXT... waits for one log line with all the texts, of
// any of the processes.
func logged(ts *testscript.TestScript, _ bool, args []string) {
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

// poll looks again and again until what is awaited has come.
func poll(ts *testscript.TestScript, want string, look func() (got string, ok bool)) {
	last := ""
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); {
		got, ok := look()
		if ok {
			return
		}
		last = got
		<-time.After(10 * time.Millisecond)
	}
	ts.Fatalf("got %s, want %s", last, want)
}
