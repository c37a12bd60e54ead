package cmd_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/standin"
)

// startedNode is a node that a test has started as a process of its own.
type startedNode struct {
	cmd            *exec.Cmd
	stdout, stderr standin.Output
	ended          chan struct{}
}

func startNode(t *testing.T, settingsPath string) *startedNode {
	t.Helper()
	path, err := exec.LookPath("fuchsiapick")
	if err != nil {
		t.Fatal(err)
	}
	n := &startedNode{cmd: newCommand(path, "node", "--settings", settingsPath), ended: make(chan struct{})}
	n.cmd.Stdout, n.cmd.Stderr = &n.stdout, &n.stderr
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(n.ended)
		_ = n.cmd.Wait() // the state tells how it ended
	}()
	t.Cleanup(func() {
		_ = n.cmd.Process.Kill() // fails if the process has ended
		<-n.ended
	})
	return n
}

// awaitEnd returns how the process ended, such as "exit status 1" or "signal: killed".
func (n *startedNode) awaitEnd(t *testing.T) string {
	t.Helper()
	select {
	case <-n.ended:
		return n.cmd.ProcessState.String()
	case <-time.After(waitTimeout):
		t.Fatalf("got a node that still runs, want its end\n%s%s", n.stdout.String(), n.stderr.String())
		return ""
	}
}

// awaitLine waits until the log has a text.
func (n *startedNode) awaitLine(t *testing.T, text string) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		<-time.After(5 * time.Millisecond)
		if strings.Contains(n.stdout.String(), text) {
			return
		}
		select {
		case <-n.ended:
			t.Fatalf("got %s, want a line with %s\n%s%s", n.cmd.ProcessState, text, n.stdout.String(), n.stderr.String())
		default:
		}
	}
	t.Fatalf("got no line with %s\n%s%s", text, n.stdout.String(), n.stderr.String())
}

// awaitCatch waits until the process catches signals. It ignores SIGPIPE from then on.
func (n *startedNode) awaitCatch(t *testing.T) {
	t.Helper()
	const ignoredPipe = 1 << (syscall.SIGPIPE - 1)
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		<-time.After(100 * time.Microsecond)
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
		if err != nil {
			t.Errorf("got %v, want the state of the process", err)
			return
		}
		_, ignored, _ := strings.Cut(string(status), "SigIgn:")
		ignored, _, _ = strings.Cut(ignored, "\n")
		mask, err := strconv.ParseUint(strings.TrimSpace(ignored), 16, 64)
		if err == nil && mask&ignoredPipe != 0 {
			return
		}
	}
	t.Error("got a process that doesn't catch signals")
}

// cpuInfo is a library that has an initializer on x86-64 alone. It depends on no other package, so that Go
// initialises it before every package that does.
const cpuInfo = "init github.com/klauspost/compress/internal/cpuinfo "

// Guards against a node that a signal ends while its libraries are initialised, which takes most of the
// time from the start of the process to its main function.
func TestSignalsAreCaughtBeforeTheLibrariesStart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n1.toml")
	writeFile(t, path, nodeSettings())
	t.Setenv("GODEBUG", "inittrace=1")
	n := startNode(t, path)
	n.awaitLine(t, "node started")
	trace := strings.Replace(n.stderr.String(), cpuInfo, "", 1)
	caught := strings.Index(trace, "init fuchsiapick.example/fuchsiapick/signals ")
	first := strings.Index(trace, "init github.com/")
	if caught < 0 || first < 0 || caught > first {
		t.Errorf("got signals caught at %d and the first library at %d, want them caught before\n%s", caught, first, trace)
	}
}

// nodeSettings returns settings of a node on any free ports, beside a platform that doesn't answer.
func nodeSettings() string {
	const anyPort = "127.0.0.1:0"
	return fmt.Sprintf(settingsTemplate, "n1", "palermo", "1s", "0s", "", anyPort, anyPort, "127.0.0.1:1", anyPort, "127.0.0.1:2", "5s")
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// signalStarts is how many starts a test signals, signalBatch how many at once, and maxSignalDelay how
// long after the start of the process. The first signals reach it before its main function.
const (
	signalStarts   = 120
	signalBatch    = 4
	maxSignalDelay = 40 * time.Millisecond
)

// signalAtRandom starts nodes, sends each the signals at a moment of its own, and calls check with it.
func signalAtRandom(t *testing.T, seed uint64, signals []syscall.Signal, check func(n *startedNode, delay time.Duration)) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "n1.toml")
	writeFile(t, path, nodeSettings())
	random := rand.New(rand.NewPCG(seed, 0))
	for range signalStarts / signalBatch {
		var batch sync.WaitGroup
		for range signalBatch {
			n, delay := startNode(t, path), time.Duration(random.Int64N(int64(maxSignalDelay)))
			batch.Go(func() {
				n.awaitCatch(t)
				<-time.After(delay)
				for _, s := range signals {
					_ = n.cmd.Process.Signal(s) // fails if the process has ended, which check notices
				}
				check(n, delay)
				_ = n.cmd.Process.Kill() // fails if the process has ended
				<-n.ended
			})
		}
		batch.Wait()
	}
}

// Guards against a node that ends on signals that don't ask it to, in any part of its start.
func TestSignalsDuringTheStartDoNotEndTheNode(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"hangup": {syscall.SIGHUP},
		"series": {syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGPIPE, syscall.SIGALRM, syscall.SIGHUP},
	} {
		t.Run(name, func(t *testing.T) {
			signalAtRandom(t, 1, signals, func(n *startedNode, delay time.Duration) {
				for deadline := time.Now().Add(waitTimeout); !strings.Contains(n.stdout.String(), "node started"); {
					<-time.After(time.Millisecond)
					select {
					case <-n.ended:
						t.Errorf("got %s after a signal at %s, want the node started", n.cmd.ProcessState, delay)
						return
					default:
					}
					if time.Now().After(deadline) {
						t.Errorf("got a node that didn't start after a signal at %s", delay)
						return
					}
				}
			})
		})
	}
}

// Guards against a node that a termination signal ends like a failure while it starts: whoever restarts
// nodes that fail would start it again.
func TestTerminationDuringTheStartIsAnExitAsAsked(t *testing.T) {
	for name, signals := range map[string][]syscall.Signal{
		"term":   {syscall.SIGTERM},
		"int":    {syscall.SIGINT},
		"series": {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP},
	} {
		t.Run(name, func(t *testing.T) {
			signalAtRandom(t, 2, signals, func(n *startedNode, delay time.Duration) {
				select {
				case <-n.ended:
				case <-time.After(waitTimeout):
					t.Errorf("got a node that still runs after a signal at %s, want its end", delay)
					return
				}
				if got := n.cmd.ProcessState.String(); got != "exit status 0" {
					t.Errorf("got %s after a signal at %s, want exit status 0\n%s", got, delay, n.stderr.String())
				}
			})
		})
	}
}

// Guards against a node that ends while it serves on a signal that doesn't ask it to, and against a change
// of what the signals do that end it.
func TestSignalsOfARunningNode(t *testing.T) {
	strays := []syscall.Signal{syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGALRM, syscall.SIGPIPE, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGUSR1}
	for name, test := range map[string]struct {
		last syscall.Signal
		want string
	}{
		"term": {syscall.SIGTERM, "exit status 0"},
		"int":  {syscall.SIGINT, "exit status 0"},
		"quit": {syscall.SIGQUIT, "exit status 2"},
		"kill": {syscall.SIGKILL, "signal: killed"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "n1.toml")
			writeFile(t, path, nodeSettings())
			n := startNode(t, path)
			n.awaitLine(t, `"message":"node started"`)
			for _, s := range strays {
				mustDo(t, n.cmd.Process.Signal(s))
			}
			n.awaitLine(t, `"message":"settings reloaded"`)
			mustDo(t, n.cmd.Process.Signal(test.last))
			if got := n.awaitEnd(t); got != test.want {
				t.Errorf("got %s after %s, want %s", got, test.last, test.want)
			}
		})
	}
}

func mustDo(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
