package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/settings"
)

type nodeCmd struct {
	Settings string `arg:"--settings,required,env:FUCHSIAPICK_CONFIG" placeholder:"FILE" help:"the node's settings, TOML"`
}

// run serves until a termination signal, which starts a graceful shutdown. A SIGINT after it ends
// the process immediately. If the node cut requests in flight, run returns ExitFailure, so that a
// release procedure notices.
func (c *nodeCmd) run(stdout, stderr io.Writer) int {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP) // first, since SIGHUP ends a process without a handler
	defer signal.Stop(hangups)
	signal.Ignore(syscall.SIGPIPE) // otherwise the process ends when the reader of its log ends
	s, err := settings.Load(c.Settings)
	if err != nil {
		fmt.Fprintf(stderr, "fuchsiapick: %v\n", err)
		return ExitFailure
	}
	log, drops, closeLog, err := newLogger(stdout, s.Log)
	if err != nil {
		fmt.Fprintf(stderr, "fuchsiapick: %v\n", err)
		return ExitFailure
	}
	defer closeLog()
	end := newEnding(log, s.Node)
	if err := keepCrashOutput(stdout, stderr); err != nil {
		log.WithError(err).WithField("node", s.Node).Warn("a crash may leave no line in the log")
	}
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
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	r := &reloader{path: c.Settings, inForce: s, log: log, tableBuilder: builder}
	go r.runGuarded(ctx, hangups, config.Panics)
	go func() {
		defer config.Panics.Recover(node.PartCommand)
		leaveOnSignal(signals, n, end, log.WithField("node", s.Node))
		cancel()
	}()
	err = guarded(func() error { return n.Run(ctx) }, func(value any, stack []byte) {
		config.Panics.Record(node.PartCommand, value, stack)
	})
	return end.announce(err, n.Held())
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
