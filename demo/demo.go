// Package demo runs a whole deployment on loopback. Callers send requests while one upstream
// has a gray failure and one node shuts down; then the demo writes the report.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/examples"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/report"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// Errors of Run.
const (
	// ErrDeployment means that Config.Deployment names no deployment.
	ErrDeployment = errors.ConstError("unknown deployment; there are sicily and kingston")
	// ErrNotEjected means that the gray upstream was not ejected within ejectionTimeout.
	ErrNotEjected = errors.ConstError("the gray upstream was not ejected")
)

// Config configures a run of the demo.
type Config struct {
	// Deployment is sicily or kingston.
	Deployment string
	// Out receives the progress messages and the report.
	Out io.Writer
	// Log receives the nodes' logs; nil discards them.
	Log io.Writer
}

const (
	// serviceTime is the service time of a healthy backend server.
	serviceTime = clock.Millis(5)
	// warmupDelay is how long callers send requests before the fault is injected.
	warmupDelay = 2 * time.Second
	// ejectionTimeout bounds the wait for the ejection of the gray upstream.
	ejectionTimeout = 10 * time.Second
	// grayShare is the share of requests that the gray upstream fails, while its health
	// probes still succeed.
	grayShare = 0.4
	// reportTimeout bounds the wait for the answers of all nodes.
	reportTimeout = 3 * clock.Second
	// cooldownDelay is how long callers send requests after the node has shut down.
	cooldownDelay = time.Second
)

// Run runs the demo and writes the report to c.Out. It takes a few seconds, and returns an
// error if the deployment is unknown, can't start or misses a timeout, or if ctx ends.
func Run(ctx context.Context, c Config) error {
	t, err := parseDeployment(c.Deployment)
	if err != nil {
		return errors.Trace(err)
	}
	f, err := fleet.Start(ctx, fleet.Config{Table: t, ServiceTime: serviceTime, Log: c.Log})
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	s := &session{config: c, fleet: f}
	return errors.Trace(s.run(ctx))
}

// parseDeployment returns the example table of the deployment.
func parseDeployment(name string) (*table.Table, error) {
	texts := map[string][]byte{"sicily": examples.Sicily, "kingston": examples.Kingston}
	text, ok := texts[name]
	if !ok {
		return nil, errors.Annotatef(ErrDeployment, "reading %q", name)
	}
	t, err := table.Parse(text)
	return t, errors.Annotatef(err, "reading the table of %s", name)
}

// session is one run of the demo.
type session struct {
	config          Config
	fleet           *fleet.Fleet
	departedResults []report.NodeResult // report of the node that was shut down
}

func (s *session) printf(format string, args ...any) {
	fmt.Fprintf(s.config.Out, format+"\n", args...)
}

func (s *session) run(ctx context.Context) error {
	nodes := s.fleet.Members
	s.printf("%s: %d services, %d upstreams, a node beside each; callers come in through all of them.",
		s.config.Deployment, len(s.fleet.Table.Services), len(nodes))
	traffic := startTraffic(ctx, s.fleet)
	defer traffic.stop()
	if err := sleep(ctx, warmupDelay); err != nil {
		return errors.Trace(err)
	}
	gray := s.grayUpstream()
	if err := s.injectFault(ctx, gray); err != nil {
		return errors.Trace(err)
	}
	if err := s.shutDownNode(ctx, traffic); err != nil {
		return errors.Trace(err)
	}
	if err := sleep(ctx, cooldownDelay); err != nil {
		return errors.Trace(err)
	}
	traffic.stop()
	s.printf("%s\n", traffic.summary())
	return errors.Trace(s.writeReport(ctx))
}

// grayUpstream returns the name of the middle upstream of the second service. Requests to that
// service other than GET and HEAD may not be repeated.
func (s *session) grayUpstream() string {
	upstreams := s.fleet.Table.Services[1].Upstreams
	return upstreams[len(upstreams)/2].Name
}

// injectFault makes the upstream fail a share of its requests, and waits until its gate
// ejects it.
func (s *session) injectFault(ctx context.Context, gray string) error {
	s.printf("%s turns gray: it fails %.0f%% of its requests, yet answers every probe.", gray, grayShare*100)
	start := time.Now()
	s.fleet.Backends[gray].SetFault(standin.Fault{Kind: standin.Fails, Share: grayShare})
	if err := s.awaitState(ctx, gray, access.StateEjected); err != nil {
		return errors.Trace(err)
	}
	s.printf("%s was set aside by its gate %s later.", gray, time.Since(start).Round(time.Millisecond))
	return nil
}

// awaitState waits until the node beside the upstream reports the state. It returns
// ErrNotEjected after ejectionTimeout.
func (s *session) awaitState(ctx context.Context, upstream, state string) error {
	timeoutCtx, cancel := context.WithTimeout(ctx, ejectionTimeout)
	defer cancel()
	m, ok := s.findMember(upstream)
	if !ok {
		return errors.NotFoundf("node beside %s", upstream)
	}
	for {
		for _, u := range m.Node.States() {
			if u.Name == upstream && u.State == state {
				return nil
			}
		}
		if err := sleep(timeoutCtx, 10*time.Millisecond); err != nil {
			return errors.Annotatef(ErrNotEjected, "waiting %s for %s", ejectionTimeout, upstream)
		}
	}
}

// findMember returns the node beside an upstream.
func (s *session) findMember(name string) (*fleet.Member, bool) {
	for _, m := range s.fleet.Members {
		if m.Name == name {
			return m, true
		}
	}
	return nil, false
}

// shutDownNode shuts down a node of the third service while callers send requests. It
// fetches the node's report first, because the node's records are lost when it ends.
func (s *session) shutDownNode(ctx context.Context, t *traffic) error {
	name := s.fleet.Table.Services[2].Upstreams[0].Name
	m, ok := s.findMember(name)
	if !ok {
		return errors.NotFoundf("node beside %s", name)
	}
	s.printf("%s leaves: no new work for it, what it has begun is finished.", name)
	t.removeNode(m)
	var err error
	if s.departedResults, err = report.Fetch(ctx, report.Query{Nodes: []string{m.Admin}, Timeout: reportTimeout}); err != nil {
		return errors.Annotate(err, "asking the leaving node")
	}
	m.Node.Leave()
	select {
	case <-m.Done():
		s.printf("%s has left.", name)
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// writeReport fetches the reports of the running nodes, as the report command does, merges
// them with the report of the node that was shut down, and writes the result.
func (s *session) writeReport(ctx context.Context) error {
	addresses := make([]string, 0, len(s.fleet.Members))
	for _, m := range s.fleet.Members {
		select {
		case <-m.Done():
		default:
			addresses = append(addresses, m.Admin)
		}
	}
	results, err := report.Fetch(ctx, report.Query{Nodes: addresses, Timeout: reportTimeout})
	if err != nil {
		return errors.Annotate(err, "asking the nodes")
	}
	merged := report.Merge(append(results, s.departedResults...))
	merged.AsOf = time.Now()
	return errors.Annotate(merged.Text(s.config.Out), "writing the report")
}

// sleep waits for the delay. It returns an error if ctx ends before.
func sleep(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
