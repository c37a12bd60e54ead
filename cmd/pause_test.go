package cmd_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// statePollInterval is how often pauseChild checks for a change.
	statePollInterval = time.Millisecond
	// resumeTimeout is how long after the end of the shell the kernel may resume a process.
	resumeTimeout = 200 * time.Millisecond
)

// pauseChild pauses a child, prints its state, waits for the end of the shell that started this
// program, and prints the child's state again.
func pauseChild() {
	shell := os.Getppid()
	child := newCommand("sleep", waitTimeout.String())
	must(child.Start())
	defer func() { _ = child.Process.Kill() }() // it ends by itself otherwise
	must(child.Process.Signal(syscall.SIGSTOP))
	state := awaitState(child.Process.Pid, func(state string) bool { return state == stoppedState }, waitTimeout)
	fmt.Fprintln(os.Stdout, state)
	for deadline := time.Now().Add(waitTimeout); os.Getppid() == shell && time.Now().Before(deadline); {
		<-time.After(statePollInterval)
	}
	fmt.Fprintln(os.Stdout, awaitState(child.Process.Pid, func(state string) bool { return state != stoppedState }, resumeTimeout))
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// awaitState waits until the process has a wanted state, at most for the timeout, and returns its
// last state.
func awaitState(pid int, isWanted func(state string) bool, timeout time.Duration) string {
	for deadline := time.Now().Add(timeout); ; <-time.After(statePollInterval) {
		state, err := processState(pid)
		must(err)
		if isWanted(state) || time.Now().After(deadline) {
			return state
		}
	}
}

// Guards against a paused node that runs again when the shell that started the tests ends.
func TestPausedProcessStaysPausedWhenTheShellEnds(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reader.Close() }() // nothing is read any more
	shell := exec.Command("sh", "-c", `trap "" HUP; pausechild & read line`)
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // its end must not concern the group of the test
	shell.Stdout, shell.Stderr = writer, os.Stderr
	stdin, err := shell.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := shell.Start(); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewReader(reader)
	before, err := lines.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	if err := stdin.Close(); err != nil {
		t.Fatal(err)
	}
	_ = shell.Wait() // read fails at the end of its input
	after, err := lines.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	before, after = strings.TrimSpace(before), strings.TrimSpace(after)
	if want := stoppedState; before != want || after != want {
		t.Errorf("got states %s and %s, want %s in both", before, after, want)
	}
}
