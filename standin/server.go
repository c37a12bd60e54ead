package standin

import "github.com/valyala/fasthttp"

// maxRequestBody bounds the bodies that stand-ins accept, in bytes.
const maxRequestBody = 16 << 20

func serve(ln *listener, handle fasthttp.RequestHandler) {
	server := &fasthttp.Server{
		Handler:               handle,
		Name:                  "standin",
		MaxRequestBodySize:    maxRequestBody,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
	// Serve ends with an error of the closed listener, which is no fault.
	_ = server.Serve(ln)
}

// discardLogger keeps the errors of connections that were broken on purpose from the
// output of tests.
type discardLogger struct{}

// Printf drops the message.
func (discardLogger) Printf(string, ...any) {}
