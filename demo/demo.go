// Package demo shows a whole deployment at work on loopback: callers, one gray
// upstream in the middle, one instance that leaves, and then the report.
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

// Faults of a demo.
const (
	ErrDeployment = errors.ConstError("unknown deployment; there are sicily and kingston")
	// ErrNotEjected means that the gray upstream was not set aside in time.
	ErrNotEjected = errors.ConstError("the gray upstream was not set aside")
)

// Config configures a Demo.
type Config struct {
	// Deployment is sicily or kingston.
	Deployment string
	Out        io.Writer
	// Log takes the nodes' logs; nil drops them.
	Log io.Writer
}

const (
	// serviceTime is what a healthy backend server takes.
	serviceTime = clock.Millis(5)
	// warmupDelay is how long callers come before anything fails.
	warmupDelay = 2 * time.Second
	// ejectionTimeout bounds the wait for the gray upstream to be set aside.
	ejectionTimeout = 10 * time.Second
	// grayShare is the share of requests that the gray upstream fails, while
	// its probes go on to say that it is well.
	grayShare     = 0.4
	reportTimeout = 3 * clock.Second
	// cooldownDelay is how long callers go on afterwards.
	cooldownDelay = time.Second
)

// Run shows the deployment and writes the report.
func Run(ctx context.Context, c Config) error {
	t, err := deployment(c.Deployment)
	if err != nil {
		return errors.Trace(err)
	}
	f, err := fleet.Start(ctx, fleet.Config{Table: t, ServiceTime: serviceTime, Log: c.Log})
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	d := &session{config: c, fleet: f}
	return errors.Trace(d.run(ctx))
}

func deployment(name string) (*table.Table, error) {
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
	departedResults []report.NodeResult // the account of the node that left
}

func (d *session) printf(format string, args ...any) {
	fmt.Fprintf(d.config.Out, format+"\n", args...)
}

func (d *session) run(ctx context.Context) error {
	nodes := d.fleet.Members
	d.printf("%s: %d services, %d upstreams, a node beside each; callers come in through all of them.",
		d.config.Deployment, len(d.fleet.Table.Services), len(nodes))
	traffic := startTraffic(ctx, d.fleet)
	defer traffic.stop()
	if err := sleep(ctx, warmupDelay); err != nil {
		return errors.Trace(err)
	}
	gray := d.grayUpstream()
	if err := d.injectFault(ctx, gray); err != nil {
		return errors.Trace(err)
	}
	if err := d.leave(ctx, traffic); err != nil {
		return errors.Trace(err)
	}
	if err := sleep(ctx, cooldownDelay); err != nil {
		return errors.Trace(err)
	}
	traffic.stop()
	d.printf("%s\n", traffic.summary())
	return errors.Trace(d.report())
}

// grayUpstream names the upstream in the middle of the second service, whose
// requests may not be repeated.
func (d *session) grayUpstream() string {
	upstreams := d.fleet.Table.Services[1].Upstreams
	return upstreams[len(upstreams)/2].Name
}

func (d *session) injectFault(ctx context.Context, gray string) error {
	d.printf("%s turns gray: it fails %.0f%% of its requests, yet answers every probe.", gray, grayShare*100)
	began := time.Now()
	d.fleet.Backends[gray].SetFault(standin.Fault{Kind: standin.Fails, Share: grayShare})
	if err := d.awaitState(ctx, gray, access.StateEjected); err != nil {
		return errors.Trace(err)
	}
	d.printf("%s was set aside by its gate %s later.", gray, time.Since(began).Round(time.Millisecond))
	return nil
}

// awaitState waits until the node beside an upstream sees it in a state.
func (d *session) awaitState(ctx context.Context, upstream, state string) error {
	bound, cancel := context.WithTimeout(ctx, ejectionTimeout)
	defer cancel()
	m, ok := d.member(upstream)
	if !ok {
		return errors.NotFoundf("node beside %s", upstream)
	}
	for {
		for _, u := range m.Node.States() {
			if u.Name == upstream && u.State == state {
				return nil
			}
		}
		if err := sleep(bound, 10*time.Millisecond); err != nil {
			return errors.Annotatef(ErrNotEjected, "waiting %s for %s", ejectionTimeout, upstream)
		}
	}
}

func (d *session) member(name string) (*fleet.Member, bool) {
	for _, m := range d.fleet.Members {
		if m.Name == name {
			return m, true
		}
	}
	return nil, false
}

// leave shuts one node of the third service down while callers go on.
// Its account goes with it, so it is asked for it first.
func (d *session) leave(ctx context.Context, t *traffic) error {
	name := d.fleet.Table.Services[2].Upstreams[0].Name
	m, ok := d.member(name)
	if !ok {
		return errors.NotFoundf("node beside %s", name)
	}
	d.printf("%s leaves: no new work for it, what it has begun is finished.", name)
	t.removeNode(m)
	var err error
	if d.departedResults, err = report.Fetch(report.Query{Nodes: []string{m.Admin}, Timeout: reportTimeout}); err != nil {
		return errors.Annotate(err, "asking the leaving node")
	}
	m.Node.Leave()
	select {
	case <-m.Done():
		d.printf("%s has left.", name)
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}

// report asks the nodes that are still there, as the report command does.
func (d *session) report() error {
	addresses := make([]string, 0, len(d.fleet.Members))
	for _, m := range d.fleet.Members {
		select {
		case <-m.Done():
		default:
			addresses = append(addresses, m.Admin)
		}
	}
	results, err := report.Fetch(report.Query{Nodes: addresses, Timeout: reportTimeout})
	if err != nil {
		return errors.Annotate(err, "asking the nodes")
	}
	merged := report.Merge(append(results, d.departedResults...))
	merged.AsOf = time.Now()
	return errors.Annotate(merged.Text(d.config.Out), "writing the report")
}

func sleep(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
}
