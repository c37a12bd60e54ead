package cmd

import (
	"io"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/node"
)

// Reasons for which the process of a node ends, in its last line.
const (
	reasonSignal     = "signal"
	reasonCut        = "requests cut"
	reasonPort       = "port"
	reasonSupervisor = "supervisor ended"
	reasonPanic      = "panic"
	reasonError      = "error"
)

// memoryLimitFile has the memory limit of a container, on Linux with control groups.
const memoryLimitFile = "/sys/fs/cgroup/memory.max"

// ending announces why the process of a node ends. An end without its line was a kill, an error of
// the runtime or a lack of memory.
type ending struct {
	log     *logrus.Logger
	node    string
	started time.Time
	signal  atomic.Value // the name of the last signal that asks for the end; unset before
}

// newEnding logs the start of the process. A node keeps nothing of the process before.
func newEnding(log *logrus.Logger) *ending {
	fields := logrus.Fields{"release": Release, "pid": os.Getpid(), "cores": runtime.GOMAXPROCS(0), "predecessor": "not known, nothing is kept"}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil {
		fields["descriptors"] = files.Cur
	}
	if limit := debug.SetMemoryLimit(-1); limit < 1<<62 {
		fields["memory_limit"] = limit
	}
	if limit, err := os.ReadFile(memoryLimitFile); err == nil {
		fields["container_memory"] = strings.TrimSpace(string(limit))
	}
	log.WithFields(fields).Info("process started")
	return &ending{log: log, started: time.Now()}
}

// recordSignal records a signal that asks for the end of the process.
func (e *ending) recordSignal(s os.Signal) {
	e.signal.Store(s.String())
}

// announce logs the last line of the process, and returns its exit code. The line is written at each
// level of the log, and lines that goroutines log after it are dropped.
func (e *ending) announce(err error, held node.Held) int {
	code, level := ExitOK, logrus.InfoLevel
	if err != nil {
		code, level = ExitFailure, logrus.ErrorLevel
	}
	last := logrus.New()
	last.SetFormatter(e.log.Formatter)
	last.SetOutput(e.log.Out)
	e.log.SetOutput(io.Discard)
	log := last.WithFields(logrus.Fields{
		"node": e.node, "reason": reasonOf(err), "exit_code": code, "ran": time.Since(e.started).Round(time.Millisecond).String(),
		"requests": held.Requests, "links": held.Links, "connections": held.Connections,
	})
	if signal := e.signal.Load(); signal != nil {
		log = log.WithField("signal", signal)
	}
	if err != nil {
		log = log.WithError(err)
	}
	log.Log(level, "process ends")
	return code
}

// reasonOf returns the reason of an end, by the error with which the node stopped.
func reasonOf(err error) string {
	var failed *net.OpError
	switch {
	case err == nil:
		return reasonSignal
	case errors.Is(err, node.ErrRequestsCut):
		return reasonCut
	case errors.Is(err, node.ErrSupervisorEnded):
		return reasonSupervisor
	case errors.Is(err, node.ErrLockHeld), errors.Is(err, node.ErrPanic), errors.Is(err, errPanic):
		return reasonPanic
	case errors.Is(err, node.ErrPortClosed):
		return reasonPort
	case errors.As(err, &failed) && failed.Op == "listen":
		return reasonPort
	default:
		return reasonError
	}
}

// errPanic means that the command itself has panicked.
const errPanic = errors.ConstError("the command panicked")

// guarded runs a node and returns its error, or errPanic after a panic.
func guarded(run func() error, recordPanic func(value any, stack []byte)) (err error) {
	defer func() {
		if value := recover(); value != nil {
			recordPanic(value, debug.Stack())
			err = errors.Trace(errPanic)
		}
	}()
	return run()
}
