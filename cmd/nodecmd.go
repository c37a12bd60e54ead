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

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/settings"
)

type nodeCmd struct {
	Settings string `arg:"--settings,required,env:FUCHSIAPICK_CONFIG" placeholder:"FILE" help:"the node's settings, TOML"`
}

// run serves until a termination signal. The first one starts a graceful
// shutdown, a second one ends it at once. A node that cut requests in flight
// ends with ExitFault, so that a release that does it shows.
func (c *nodeCmd) run(stdout, stderr io.Writer) int {
	s, err := settings.Load(c.Settings)
	if err != nil {
		fmt.Fprintf(stderr, "fuchsiapick: %v\n", err)
		return ExitFailure
	}
	log, losses, closeLog, err := newLog(stdout, s.Log)
	if err != nil {
		fmt.Fprintf(stderr, "fuchsiapick: %v\n", err)
		return ExitFailure
	}
	defer closeLog()
	config, tables, err := nodeConfig(s, log)
	if err != nil {
		log.WithError(err).Error("node not built")
		return ExitFailure
	}
	config.LogDrops = losses
	n, err := node.New(config)
	if err != nil {
		log.WithError(err).Error("node not built")
		return ExitFailure
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	r := &reloader{path: c.Settings, inForce: s, log: log, tableBuilder: tables}
	go r.run(ctx)
	go func() {
		<-signals
		n.Leave()
		<-signals
		log.WithField("node", s.Node).Warn("second signal: requests in flight are cut")
		cancel()
	}()
	if err := n.Run(ctx); err != nil {
		log.WithError(err).WithField("node", s.Node).Error("node failed")
		return ExitFailure
	}
	return ExitOK
}

// logCloseTimeout bounds how long the end of the process waits for the log's output.
const logCloseTimeout = time.Second

// newLog returns a log in JSON lines that never blocks, what it leaves out, and what
// ends it.
func newLog(out io.Writer, level string) (*logrus.Logger, logging.DropCounts, func(), error) {
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
		log.SetOutput(io.Discard) // what still logs comes too late
		writer.Close(logCloseTimeout)
	}, nil
}
