package standin

import (
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/table"
)

// maxRequestBody is the largest request body, in bytes, that a stand-in accepts. The size of
// answers has the same bound.
const maxRequestBody = 16 << 20

// serve serves the listener until it is closed.
func serve(ln *listener, handle fasthttp.RequestHandler) {
	server := &fasthttp.Server{
		Handler:               handle,
		Name:                  "standin",
		MaxRequestBodySize:    maxRequestBody,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	// Serve always returns an error once the listener is closed.
	_ = server.Serve(ln)
}

// pathOf returns the path of a request as it was sent, by which nodes choose routes as well.
func pathOf(ctx *fasthttp.RequestCtx) string {
	return table.ParseTarget(string(ctx.RequestURI())).Path
}

// discardLogger keeps errors of connections that tests break on purpose out of the output.
type discardLogger struct{}

// Printf drops the message.
func (discardLogger) Printf(string, ...any) {}
