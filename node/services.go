package node

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/admin"
	"fuchsiapick.example/fuchsiapick/caller"
	"fuchsiapick.example/fuchsiapick/settings"
)

const (
	// callerIdleTimeout closes a caller's connection that sends nothing.
	callerIdleTimeout = 75 * time.Second
	// callerReadTimeout and callerWrite bound a caller that sends or reads slowly.
	callerReadTimeout  = 30 * time.Second
	callerWriteTimeout = 60 * time.Second
	// maxCallerHeaders bounds the headers of a request in bytes: twice what
	// today's callers may send, 16 KB.
	maxCallerHeaders = 32 << 10
)

// Listeners are a node's open ports.
type Listeners struct {
	Caller net.Listener
	Link   net.Listener
	Admin  net.Listener
	// Metrics is nil without an address of its own for metrics.
	Metrics net.Listener
}

// Listen opens the ports that the settings name.
func Listen(ctx context.Context, addresses settings.Listen) (*Listeners, error) {
	l := &Listeners{}
	var err error
	for _, one := range []struct {
		name    string
		address string
		into    *net.Listener
	}{
		{"caller", addresses.Caller, &l.Caller},
		{"link", addresses.Link, &l.Link},
		{"admin", addresses.Admin, &l.Admin},
		{"metrics", addresses.Metrics, &l.Metrics},
	} {
		if one.address == "" {
			continue
		}
		*one.into, err = (&net.ListenConfig{}).Listen(ctx, "tcp", one.address)
		if err != nil {
			l.Close()
			return nil, errors.Annotatef(err, "listening on the %s address %s", one.name, one.address)
		}
	}
	return l, nil
}

// Close closes the ports.
func (l *Listeners) Close() {
	for _, one := range []net.Listener{l.Caller, l.Link, l.Admin, l.Metrics} {
		if one != nil {
			_ = one.Close() // closed already by its service, or no longer wanted
		}
	}
}

// service adapts a function to the supervisor.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve runs until the context ends.
func (s service) Serve(ctx context.Context) error {
	err := s.run(ctx)
	if ctx.Err() != nil {
		return errors.Trace(ctx.Err())
	}
	return errors.Trace(err)
}

// String names the service in the supervisor's events.
func (s service) String() string {
	return s.name
}

// buildSupervisors lays out the supervisors. A part that fails is restarted beside the
// others: a platform that can't be read stops no request, and peers that come
// and go hold up neither.
func (n *Node) buildSupervisors(l *Listeners) {
	n.root = n.newSupervisor("node")
	serving := n.newSupervisor("serving")
	reading := n.newSupervisor("platform")
	n.peerSupervisor = n.newSupervisor("peers")
	for _, branch := range []*suture.Supervisor{serving, reading, n.peerSupervisor} {
		n.root.Add(branch)
	}
	n.addServing(serving, l)
	n.addPlatformReader(reading)
}

// restart policy of each branch: more than failures within a minute or so make
// it pause before it tries again.
const (
	failureThreshold = 5
	failureDecay     = 30 // seconds
	failureBackoff   = 2 * time.Second
)

func (n *Node) newSupervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		EventHook:        n.logSupervisorEvent,
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecay,
		FailureBackoff:   failureBackoff,
	})
}

func (n *Node) addServing(tree *suture.Supervisor, l *Listeners) {
	n.callerServer = &fasthttp.Server{
		Handler:                       n.entry.Serve,
		ErrorHandler:                  n.entry.ServeMalformed,
		Name:                          "fuchsiapick",
		NoDefaultServerHeader:         true,
		DisableHeaderNamesNormalizing: true,
		MaxRequestBodySize:            n.settings.Limits.Body,
		ReadBufferSize:                maxCallerHeaders,
		Concurrency:                   n.settings.Limits.Requests * 2,
		ReadTimeout:                   callerReadTimeout,
		WriteTimeout:                  callerWriteTimeout,
		IdleTimeout:                   callerIdleTimeout,
		CloseOnShutdown:               true,
		Logger:                        discardLogger{},
	}
	tree.Add(n.serveHTTP("callers", n.callerServer, caller.Listener{Listener: l.Caller}))
	tree.Add(service{"links", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = l.Link.Close() })
		defer stop()
		return n.links.Serve(l.Link)
	}})
	adminServer := admin.New(admin.Config{Node: n, Log: n.log, Metrics: n.metrics.Handler()})
	tree.Add(n.serveHTTP("admin", adminServer.HTTP(), l.Admin))
	if l.Metrics != nil {
		tree.Add(n.serveHTTP("metrics", adminServer.MetricsHTTP(), l.Metrics))
	}
	tree.Add(service{"news", n.sendRequestedHeartbeats})
	tree.Add(service{"crashes", n.runCrashUpdates})
	tree.Add(service{"probes", every(probeInterval, n.probe)})
}

// probeInterval is the interval of probes: a probe may end a hold-off of 5 s or
// more, and takes 25 ms of an upstream's time.
const probeInterval = 2 * time.Second

// probe asks the health endpoints of the upstreams beside this node.
func (n *Node) probe() {
	for _, g := range n.allGates() {
		_ = n.gatePool.Submit(g.ProbeHealth) // a busy node probes at the next tick
	}
}

// every runs an action at an interval until the context ends.
func every(span time.Duration, act func()) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		ticker := time.NewTicker(span)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return errors.Trace(ctx.Err())
			case <-ticker.C:
				act()
			}
		}
	}
}

// discardLogger drops what the HTTP library logs: malformed requests are accounted
// for, and a caller must not be able to fill the log.
type discardLogger struct{}

// Printf drops a line.
func (discardLogger) Printf(string, ...any) {}

// serveHTTP runs an HTTP server that finishes what it has begun before it
// stops.
func (n *Node) serveHTTP(name string, server *fasthttp.Server, l net.Listener) suture.Service {
	return service{name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() {
			bound, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			_ = server.ShutdownWithContext(bound) // what is left is cut by the exit
		})
		defer stop()
		err := server.Serve(l)
		if n.isLeaving() {
			return suture.ErrDoNotRestart
		}
		return err
	}}
}
