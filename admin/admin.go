// Package admin implements the HTTP server on a node's admin address. It serves metrics,
// liveness, readiness, quarantined requests and the snapshots that reports are made from.
package admin

import (
	"encoding/json"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
)

// Node provides the data that the admin address serves.
type Node interface {
	// Ready reports whether the node accepts requests: it has a table in force and its ports
	// open, and isn't leaving.
	Ready() bool
	// Snapshot returns the part of the access log that matches the filter.
	Snapshot(f access.Filter) access.Snapshot
	// Quarantine returns the requests that are suspected of crashing backend servers, or
	// quarantined for it.
	Quarantine() []access.Suspect
}

// Config configures a Server.
type Config struct {
	Node Node
	Log  logrus.FieldLogger
	// Metrics serves /metrics.
	Metrics fasthttp.RequestHandler
	// Connections is how many connections may be open to each address; 0 means that they have no
	// bound.
	Connections int
}

// Server creates the HTTP servers of the admin and metrics addresses.
type Server struct {
	config Config
}

// New returns a server; the caller listens with the servers from HTTP and MetricsHTTP.
func New(c Config) *Server {
	return &Server{config: c}
}

// maxRequestSize bounds the body of a request to the admin address in bytes. Requests there
// need no body.
const maxRequestSize = 16 << 10

const (
	// readTimeout and writeTimeout bound how long a client may take to send a request and to read the
	// answer. A report of a busy node takes seconds over a slow network.
	readTimeout  = 5 * clock.Second
	writeTimeout = clock.Minute
	// idleTimeout is longer than the usual interval of scrapers.
	idleTimeout = 75 * clock.Second
)

// discardLogger drops the log lines of the HTTP library, which any client could write.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// HTTP returns the HTTP server of the admin address. It accepts only GET and HEAD requests.
func (s *Server) HTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               s.serve,
		Name:                  "fuchsiapick",
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxRequestSize,
		GetOnly:               true,
		CloseOnShutdown:       true,
		Concurrency:           s.config.Connections,
		ReadTimeout:           readTimeout.Duration(),
		WriteTimeout:          writeTimeout.Duration(),
		IdleTimeout:           idleTimeout.Duration(),
		Logger:                discardLogger{},
	}
}

// MetricsHTTP returns the HTTP server of an address that serves only /metrics.
func (s *Server) MetricsHTTP() *fasthttp.Server {
	server := s.HTTP()
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != "/metrics" {
			ctx.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		s.config.Metrics(ctx)
	}
	return server
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		s.serveReadiness(ctx)
	case "/metrics":
		s.config.Metrics(ctx)
	case "/report":
		s.serveReport(ctx)
	case "/quarantine":
		s.writeJSON(ctx, s.config.Node.Quarantine())
	default:
		ctx.Error("not found; there are /healthz, /readyz, /metrics, /report and /quarantine\n", fasthttp.StatusNotFound)
	}
}

// serveReadiness answers with status 200 if the node is ready, otherwise with 503.
func (s *Server) serveReadiness(ctx *fasthttp.RequestCtx) {
	if s.config.Node.Ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.Error("no table in force, a port not open, not serving, or leaving\n", fasthttp.StatusServiceUnavailable)
}

// serveReport answers with the snapshot that matches the filter in the query, or with status
// 400 if the filter is invalid.
func (s *Server) serveReport(ctx *fasthttp.RequestCtx) {
	filter, err := access.ParseFilter(func(name string) string { return string(ctx.QueryArgs().Peek(name)) })
	if err != nil {
		ctx.Error(err.Error()+"\n", fasthttp.StatusBadRequest)
		return
	}
	s.writeJSON(ctx, s.config.Node.Snapshot(filter))
}

// writeJSON answers with the value as JSON.
func (s *Server) writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		s.config.Log.WithError(err).WithField("path", string(ctx.Path())).Error("response not encoded; answering with status 500")
		ctx.Error("not written\n", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
