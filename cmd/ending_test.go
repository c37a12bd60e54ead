package cmd_test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/standin"
)

// checkLastLine implements "lastline NAME TEXT...": the last log line of a process that has ended
// contains all the texts.
func checkLastLine(ts *testscript.TestScript, _ bool, args []string) {
	line := lastLine(processOf(ts, args[0]).stdout.String())
	if !containsAll(line, args[1:]) {
		ts.Fatalf("last line of %s: got %q, want it to contain %q", args[0], line, args[1:])
	}
}

func lastLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return lines[len(lines)-1]
}

// writeNodeSettings writes settings with the given addresses for callers and links, and returns
// the file's path.
func writeNodeSettings(t *testing.T, caller, link string) string {
	t.Helper()
	const anyPort = "127.0.0.1:0"
	text := fmt.Sprintf(settingsTemplate, "n1", "palermo", "1s", "0s", "", caller, link, "127.0.0.1:1", anyPort, "127.0.0.1:2", "5s")
	path := filepath.Join(t.TempDir(), "n1.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against an end that leaves no line which says why, so that it looks like a kill.
func TestLastLineSaysThatSettingsAreRefused(t *testing.T) {
	path := writeNodeSettings(t, "127.0.0.1:0", "127.0.0.1:0")
	if err := os.WriteFile(path, []byte("node = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var output standin.Output
	node := exec.CommandContext(t.Context(), "fuchsiapick", "node", "--settings", path)
	node.Stdout, node.Stderr = &output, &output
	_ = node.Run() // the state tells how it ended
	if got := node.ProcessState.ExitCode(); got != 1 {
		t.Errorf("got exit code %d, want 1", got)
	}
	var line struct {
		Message, Reason, Ran string
		Code                 *int `json:"exit_code"`
	}
	text := lastLine(output.String())
	if err := json.Unmarshal([]byte(text), &line); err != nil {
		t.Fatalf("got %q, want a JSON line: %v", text, err)
	}
	if line.Message != "process ends" || line.Reason != "error" || line.Code == nil || *line.Code != 1 || line.Ran == "" {
		t.Errorf("got %s, want the end of the process by its settings", text)
	}
}

// crashed starts a node whose outputs are the given files, and makes the Go runtime end it with the
// stacks of its goroutines. It returns how the process ended.
func crashed(t *testing.T, stdout, stderr *os.File, started func() bool) *os.ProcessState {
	t.Helper()
	node := exec.Command("fuchsiapick", "node", "--settings", writeNodeSettings(t, "127.0.0.1:0", "127.0.0.1:0"))
	node.Stdout, node.Stderr = stdout, stderr
	node.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = node.Wait() // the state tells how it ended
	}()
	t.Cleanup(func() {
		_ = node.Process.Kill() // fails if it has ended
		<-ended
	})
	for deadline := time.After(waitTimeout); !started(); {
		select {
		case <-deadline:
			t.Fatal("got no start of the node, want one")
		case <-time.After(10 * time.Millisecond):
		}
	}
	if err := node.Process.Signal(syscall.SIGQUIT); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
		return node.ProcessState
	case <-time.After(waitTimeout):
		t.Fatal("got a process that doesn't end after its crash, want an end")
		return nil
	}
}

// newUnreadPipe returns the writing end of a pipe of the smallest size, which nobody reads.
func newUnreadPipe(t *testing.T) *os.File {
	t.Helper()
	var ends [2]int
	if err := syscall.Pipe2(ends[:], syscall.O_CLOEXEC); err != nil {
		t.Fatal(err)
	}
	reader, writer := os.NewFile(uintptr(ends[0]), "reader"), os.NewFile(uintptr(ends[1]), "writer")
	t.Cleanup(func() { _, _ = reader.Close(), writer.Close() })
	const setPipeSize, pageSize = 1031, 4096 // F_SETPIPE_SZ
	if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, uintptr(ends[1]), setPipeSize, pageSize); errno != 0 {
		t.Fatal(errno)
	}
	return writer
}

func openOutput(t *testing.T) *os.File {
	t.Helper()
	f, err := os.OpenFile(filepath.Join(t.TempDir(), "output"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	return f
}

func contentOf(t *testing.T, f *os.File) string {
	t.Helper()
	text, err := os.ReadFile(f.Name())
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against a crashed node that never ends and keeps its ports, because nobody reads its
// standard error and the stacks that the runtime prints don't fit the pipe.
func TestCrashEndsTheNodeWhileNobodyReadsItsErrors(t *testing.T) {
	stdout := openOutput(t)
	stderr := newUnreadPipe(t)
	state := crashed(t, stdout, stderr, func() bool { return strings.Contains(contentOf(t, stdout), "node started") })
	if got := state.ExitCode(); got != 2 {
		t.Errorf("got exit code %d, want 2", got)
	}
}

// Guards against the same with the log, which nobody reads either.
func TestCrashEndsTheNodeWhileNobodyReadsAnyOutput(t *testing.T) {
	stdout := newUnreadPipe(t)
	stderr := newUnreadPipe(t)
	begun := time.Now()
	state := crashed(t, stdout, stderr, func() bool { return time.Since(begun) > 2*time.Second })
	if got := state.ExitCode(); got != 2 {
		t.Errorf("got exit code %d, want 2", got)
	}
}

// Guards against a crash that leaves nothing in the log, where operators look first: standard error
// is often kept elsewhere, or nowhere.
func TestCrashLeavesItsStackInTheLog(t *testing.T) {
	stdout, stderr := openOutput(t), openOutput(t)
	crashed(t, stdout, stderr, func() bool { return strings.Contains(contentOf(t, stdout), "node started") })
	for name, f := range map[string]*os.File{"the log": stdout, "standard error": stderr} {
		if got := contentOf(t, f); !strings.Contains(got, "SIGQUIT") || !strings.Contains(got, "goroutine ") {
			t.Errorf("got %q in %s, want the cause and a stack", got, name)
		}
	}
}

// Guards against a node that serves no requests, or doesn't end on a signal, while its outputs are full
// pipes that nobody reads.
func TestNodeServesAndLeavesWhileNobodyReadsItsOutputs(t *testing.T) {
	const requests = 300
	port, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := port.Addr().String()
	_ = port.Close()
	node := exec.Command("fuchsiapick", "node", "--settings", writeNodeSettings(t, address, "127.0.0.1:0"))
	node.Stdout, node.Stderr = newUnreadPipe(t), newUnreadPipe(t)
	node.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = node.Wait() // the state tells how it ended
	}()
	defer func() {
		_ = node.Process.Kill() // fails if it has ended
		<-ended
	}()
	served := 0
	for deadline := time.After(waitTimeout); served < requests; {
		// Each request is refused for want of a table, and leaves a line.
		status, _, err := fasthttp.Get(nil, "http://"+address+"/conferme")
		if err == nil && status == fasthttp.StatusServiceUnavailable {
			served++
			continue
		}
		select {
		case <-deadline:
			t.Fatalf("got %d answers, then %d, %v; want %d", served, status, err, requests)
		case <-time.After(10 * time.Millisecond):
		}
	}
	if err := node.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Fatal("got a node that doesn't end on a signal, want its end")
	}
	if got := node.ProcessState.ExitCode(); got != 0 {
		t.Errorf("got exit code %d, want 0", got)
	}
}
