package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/settings"
)

type nodeCmd struct {
	Settings string `arg:"--settings,required,env:FUCHSIAPICK_CONFIG" placeholder:"FILE" help:"the node's settings, TOML"`
}

// run serves until a termination signal. The first one starts a graceful
// shutdown, a second one ends it at once. A node that cut requests in flight
// ends with ExitFault, so that a release that does it shows.
func (c *nodeCmd) run(_, stderr io.Writer) int {
	s, err := settings.Load(c.Settings)
	if err != nil {
		fmt.Fprintf(stderr, "fuchsiapick: %v\n", err)
		return ExitFault
	}
	log, err := newLog(stderr, s.Log)
	if err != nil {
		fmt.Fprintf(stderr, "fuchsiapick: %v\n", err)
		return ExitFault
	}
	config, source, err := nodeConfig(s, log)
	if err != nil {
		log.WithError(err).Error("node not built")
		return ExitFault
	}
	n, err := node.New(config)
	if err != nil {
		log.WithError(err).Error("node not built")
		return ExitFault
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	r := &reloader{path: c.Settings, inForce: s, log: log, source: source}
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
		return ExitFault
	}
	return ExitOK
}

func newLog(out io.Writer, level string) (*logrus.Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.JSONFormatter{FieldMap: logrus.FieldMap{logrus.FieldKeyMsg: "message"}})
	return log, nil
}
