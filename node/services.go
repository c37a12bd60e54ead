package node

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/admin"
	"fuchsiapick.example/fuchsiapick/caller"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/port"
	"fuchsiapick.example/fuchsiapick/settings"
)

const (
	// callerIdleTimeout is how long an idle caller's connection stays open.
	callerIdleTimeout = 75 * time.Second
	// callerReadTimeout and callerWriteTimeout bound how long a slow caller may take to send a
	// request and to read the response.
	callerReadTimeout  = 30 * time.Second
	callerWriteTimeout = clock.Minute
	// maxCallerHeaders bounds the headers of a request in bytes. It is twice the 16 KB that
	// current callers may send.
	maxCallerHeaders = 32 << 10
	// connectionsPerRequest is how many connections callers may keep open for each request that the
	// settings allow.
	connectionsPerRequest = 2
)

// Listener is one of a node's ports. It returns net.ErrClosed from Accept once it is closed.
type Listener interface {
	net.Listener
	// IsOpen reports whether others can connect to the port.
	IsOpen() bool
}

// Listeners are a node's ports.
type Listeners struct {
	Caller Listener
	Link   Listener
	Admin  Listener
	// Metrics is nil if metrics have no address of their own.
	Metrics Listener
}

// Listen opens the ports that the settings name and skips empty addresses. A port that can't be
// opened now, but later, is tried again when it is served. So is each port that serves neither
// callers nor other nodes, whatever the error: the node is of use without it. After an error no port
// is open.
func Listen(ctx context.Context, addresses settings.Listen, log logrus.FieldLogger) (*Listeners, error) {
	l := &Listeners{}
	for _, port := range []struct {
		name    string
		address string
		isVital bool
		port    *Listener
	}{
		{"caller", addresses.Caller, true, &l.Caller},
		{"link", addresses.Link, true, &l.Link},
		{"admin", addresses.Admin, false, &l.Admin},
		{"metrics", addresses.Metrics, false, &l.Metrics},
	} {
		if port.address == "" {
			continue
		}
		opened, err := openPort(ctx, port.name, port.address, log)
		*port.port = opened
		if err != nil && port.isVital && !mayPass(err) {
			l.Close()
			return nil, errors.Trace(err)
		}
	}
	return l, nil
}

// AreOpen reports whether the ports for callers and for links are open.
func (l *Listeners) AreOpen() bool {
	return l.Caller.IsOpen() && l.Link.IsOpen()
}

// Close closes the ports.
func (l *Listeners) Close() {
	for _, port := range []Listener{l.Caller, l.Link, l.Admin, l.Metrics} {
		if port != nil {
			_ = port.Close() // its service may have closed it already
		}
	}
}

// service adapts a function to the supervisor's interface of services.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve runs the function and returns its error, or the context's error once the context has
// ended.
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

// buildSupervisors builds a supervisor each for serving, for the platform and for the peers.
// A part that fails is restarted without an effect on the others: an unreadable platform
// doesn't stop requests, and peers that come and go affect neither requests nor the platform
// reader.
func (n *Node) buildSupervisors(l *Listeners) {
	n.root = n.newSupervisor("node")
	serving := n.newSupervisor("serving")
	reading := n.newSupervisor("platform")
	n.peerSupervisor = n.newSupervisor("peers")
	for _, child := range []*suture.Supervisor{serving, reading, n.peerSupervisor} {
		n.root.Add(child)
	}
	n.addServing(serving, l)
	n.addPlatformReader(reading)
}

// Restart policy of each supervisor: more than failureThreshold failures within about a
// minute make it wait for failureBackoff before the next restart.
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

// addServing adds the servers for callers, links, admin requests and metrics, and the
// services that send heartbeats, exchange crashes and probe upstreams.
func (n *Node) addServing(tree *suture.Supervisor, l *Listeners) {
	shares := n.shares()
	n.callerServer = &fasthttp.Server{
		Handler:                       n.entry.Serve,
		ErrorHandler:                  n.entry.ServeMalformed,
		Name:                          "fuchsiapick",
		NoDefaultServerHeader:         true,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true, // a parsed body is written again in another form
		StreamRequestBody:             true, // the entry bounds what it holds
		ReadBufferSize:                maxCallerHeaders,
		Concurrency:                   shares.Callers,
		ReadTimeout:                   callerReadTimeout,
		WriteTimeout:                  callerWriteTimeout.Duration(),
		IdleTimeout:                   callerIdleTimeout,
		CloseOnShutdown:               true,
		Logger:                        discardLogger{},
	}
	tree.Add(n.serveHTTP("callers", n.callerServer, caller.Listener{Listener: l.Caller, Now: n.clock.Now}))
	tree.Add(service{"links", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = l.Link.Close() })
		defer stop()
		err := n.serving.while(func() error { return n.links.Serve(l.Link) })
		if err == nil && ctx.Err() == nil {
			return n.portClosed("links", true)
		}
		return err
	}})
	adminServer := admin.New(admin.Config{Node: n, Log: n.log, Metrics: n.metrics.Handler(), Connections: shares.Admin})
	tree.Add(n.serveHTTP("admin", n.guard(adminServer.HTTP()), l.Admin))
	if l.Metrics != nil {
		tree.Add(n.serveHTTP("metrics", n.guard(adminServer.MetricsHTTP()), l.Metrics))
	}
	tree.Add(service{"news", n.sendRequestedHeartbeats})
	tree.Add(service{"crashes", n.runCrashUpdates})
	tree.Add(service{"probes", every(probeInterval, n.probe)})
}

// probeInterval is the interval of health checks, the probes. A probe may end a hold-off of 5 s or more
// early, and costs an upstream 25 ms.
const probeInterval = 2 * time.Second

// probe starts a health check of each upstream beside this node.
func (n *Node) probe() {
	for _, g := range n.allGates() {
		_ = n.gatePool.Submit(g.ProbeHealth) // if the pool is full, the next tick probes again
	}
}

// every returns a service function that runs an action at an interval until the context ends.
func every(interval time.Duration, action func()) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return errors.Trace(ctx.Err())
			case <-ticker.C:
				action()
			}
		}
	}
}

// discardLogger discards what the HTTP library logs: the entry records malformed requests,
// and a caller must not be able to fill the log.
type discardLogger struct{}

// Printf discards a log line.
func (discardLogger) Printf(string, ...any) {}

// shares returns how many connections others may have open to this node.
func (n *Node) shares() port.Shares {
	descriptors := port.Descriptors()
	if limit := int(n.settings.Limits.Descriptors); limit > 0 && (descriptors == 0 || limit < descriptors) {
		descriptors = limit
	}
	return port.NewShares(descriptors, n.settings.Limits.Requests*connectionsPerRequest)
}

// serveHTTP returns a service that runs an HTTP server. When the context ends, requests in
// progress have one second to finish.
func (n *Node) serveHTTP(name string, server *fasthttp.Server, l net.Listener) suture.Service {
	return service{name, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() {
			shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			_ = server.ShutdownWithContext(shutdownCtx) // the exit of the process cuts remaining requests
		})
		defer stop()
		isVital := server == n.callerServer
		run := func() error { return server.Serve(l) }
		var err error
		if isVital {
			err = n.serving.while(run)
		} else {
			err = run()
		}
		switch {
		case n.isLeaving():
			return suture.ErrDoNotRestart
		case err == nil && ctx.Err() == nil:
			return n.portClosed(name, isVital)
		default:
			return err
		}
	}}
}
