package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/memory"
	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/signals"
)

type nodeCmd struct {
	Settings string `arg:"--settings,required,env:FUCHSIAPICK_CONFIG" placeholder:"FILE" help:"the node's settings, TOML"`
}

// run serves until a termination signal, which starts a graceful shutdown. A SIGINT after it ends
// the process immediately. If the node cut requests in flight, run returns ExitFailure, so that a
// release procedure notices.
func (c *nodeCmd) run(stdout, stderr io.Writer) int {
	caught := signals.Catch()
	log, drops, closeLog, err := newLogger(stdout, settings.DefaultLog)
	if err != nil {
		fmt.Fprintf(stderr, "fuchsiapick: %v\n", err)
		return ExitFailure
	}
	defer closeLog()
	end := newEnding(log)
	if err := keepCrashOutput(stdout, stderr); err != nil {
		log.WithError(err).Warn("a crash may leave no line in the log")
	}
	s, err := c.awaitSettings(log, caught.Stops)
	if errors.Is(err, errStopped) {
		log.Info("asked to stop before the settings were read; the process ends")
		return end.announce(nil, node.Held{})
	}
	if err != nil {
		fmt.Fprintf(stderr, "fuchsiapick: %v\n", err)
		log.WithError(err).Error("settings refused; the process ends")
		return end.announce(err, node.Held{})
	}
	setLevel(log, s.Log)
	logWarnings(log, s)
	end.node = s.Node
	config, builder, err := nodeConfig(s, log)
	if err != nil {
		return end.announce(errors.Annotate(err, "node not created"), node.Held{})
	}
	config.LogDrops = drops
	config.Panics = logging.NewPanics(log.WithField("node", s.Node), node.Parts...)
	n, err := node.New(config)
	if err != nil {
		return end.announce(errors.Annotate(err, "node not created"), node.Held{})
	}
	if limit := memory.RuntimeLimit(int64(s.Limits.Memory)); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &reloader{path: c.Settings, inForce: s, log: log, tableBuilder: builder}
	go r.runGuarded(ctx, caught.Hangups, config.Panics)
	go func() {
		defer config.Panics.Recover(node.PartCommand)
		defer cancel()
		leaveOnSignal(caught.Stops, n, end, log.WithField("node", s.Node))
	}()
	err = guarded(func() error { return n.Run(ctx) }, func(value any, stack []byte) {
		config.Panics.Record(node.PartCommand, value, stack)
	})
	return end.announce(err, n.Held())
}

// errStopped means that a termination signal came before the settings were read.
const errStopped = errors.ConstError("asked to stop")

// awaitSettings loads the settings. It returns errStopped at the first signal from stops.
func (c *nodeCmd) awaitSettings(log logrus.FieldLogger, stops <-chan os.Signal) (*settings.Settings, error) {
	ctx, cancel := context.WithCancel(context.Background())
	isStopped := false
	var group sync.WaitGroup
	group.Go(func() {
		select {
		case <-stops:
			isStopped = true
			cancel()
		case <-ctx.Done():
		}
	})
	s, err := settings.Await(ctx, c.Settings, func(err error) {
		log.WithError(err).WithField("settings", c.Settings).Warn("settings not read yet; they are tried again")
	})
	cancel()
	group.Wait() // a signal that it has taken must not be lost
	if isStopped {
		return nil, errStopped
	}
	return s, err
}

// logWarnings logs what the settings say and the node doesn't follow.
func logWarnings(log logrus.FieldLogger, s *settings.Settings) {
	for _, w := range s.Warnings {
		log.WithField("setting", w.String()).Warn("setting out of its bounds; the node starts all the same")
	}
}

// leaveOnSignal starts the node's shutdown at the first signal and returns when the node is to end
// immediately. Only a SIGINT asks for that: supervisors repeat SIGTERM, as do plans that overlap.
func leaveOnSignal(signals <-chan os.Signal, n *node.Node, end *ending, log logrus.FieldLogger) {
	end.recordSignal(<-signals)
	n.Leave()
	for s := range signals {
		end.recordSignal(s)
		if s == syscall.SIGINT {
			log.Warn("second signal: requests in flight are cut")
			return
		}
		log.Info("SIGTERM repeated; the node is leaving already")
	}
}

// logCloseTimeout is how long the process waits at exit for the log to be written.
const logCloseTimeout = time.Second

// setLevel sets the lowest level that is logged. The settings were checked and have a known one.
func setLevel(log *logrus.Logger, level string) {
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
}

// newLogger returns a logger that writes JSON lines and never blocks, the counters of
// lines that it drops, and a function that closes the logger.
func newLogger(out io.Writer, level string) (*logrus.Logger, logging.DropCounts, func(), error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, logging.DropCounts{}, nil, err
	}
	writer := logging.NewWriter(out)
	limiter := logging.NewLimiter(
		&logrus.JSONFormatter{FieldMap: logrus.FieldMap{logrus.FieldKeyMsg: "message"}, TimestampFormat: time.RFC3339Nano},
		logging.DefaultRate, time.Now)
	log := logrus.New()
	log.SetOutput(writer)
	log.SetLevel(parsed)
	log.SetFormatter(limiter)
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { logging.Report(done, log, writer, limiter) })
	return log, logging.DropCounts{Writer: writer, Limiter: limiter}, func() {
		close(done)
		group.Wait()
		log.SetOutput(io.Discard) // lines that are logged later are lost
		writer.Close(logCloseTimeout)
	}, nil
}
