// Package admin serves a node's admin address: metrics, health, readiness and
// what reports read.
package admin

import (
	"encoding/json"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
)

// Node is what the admin address tells about.
type Node interface {
	Ready() bool
	Snapshot(f access.Filter) access.Snapshot
	// Quarantine lists the requests under which backend servers crash.
	Quarantine() []access.Suspect
}

// Config configures a Server.
type Config struct {
	Node Node
	Log  logrus.FieldLogger
	// Metrics serves /metrics.
	Metrics fasthttp.RequestHandler
}

// Server answers on the admin address.
type Server struct {
	config Config
}

// New returns a server that isn't listening yet.
func New(c Config) *Server {
	return &Server{config: c}
}

// maxRequest bounds a request to the admin address, which has no body.
const maxRequest = 16 << 10

// HTTP returns the HTTP server.
func (s *Server) HTTP() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               s.serve,
		Name:                  "fuchsiapick",
		NoDefaultServerHeader: true,
		MaxRequestBodySize:    maxRequest,
		GetOnly:               true,
		CloseOnShutdown:       true,
	}
}

// MetricsHTTP returns the HTTP server of an address for metrics alone.
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
		s.ready(ctx)
	case "/metrics":
		s.config.Metrics(ctx)
	case "/report":
		s.report(ctx)
	case "/quarantine":
		s.writeJSON(ctx, s.config.Node.Quarantine())
	default:
		ctx.Error("not found; there are /healthz, /readyz, /metrics, /report and /quarantine\n", fasthttp.StatusNotFound)
	}
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if s.config.Node.Ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.Error("no table in force, or leaving\n", fasthttp.StatusServiceUnavailable)
}

func (s *Server) report(ctx *fasthttp.RequestCtx) {
	filter, err := access.ParseFilter(func(name string) string { return string(ctx.QueryArgs().Peek(name)) })
	if err != nil {
		ctx.Error(err.Error()+"\n", fasthttp.StatusBadRequest)
		return
	}
	s.writeJSON(ctx, s.config.Node.Snapshot(filter))
}

func (s *Server) writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		s.config.Log.WithError(err).WithField("path", string(ctx.Path())).Error("answer not written")
		ctx.Error("not written\n", fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
