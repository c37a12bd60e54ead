package report_test

import (
	"encoding/json"
	"net"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/report"
)

// listen returns a listener on a free port. The test's cleanup closes it.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// serve starts an HTTP server on a free port and returns its address. The server answers
// with the status and the body, and sends the path and query of each request to requested
// unless that is nil.
func serve(t *testing.T, status int, body []byte, requested chan<- string) string {
	t.Helper()
	l := listen(t)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if requested != nil {
			requested <- string(ctx.Path()) + "?" + string(ctx.QueryArgs().QueryString())
		}
		ctx.SetStatusCode(status)
		ctx.SetBody(body)
	}}
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// Guards against totals that silently lack nodes. One of six nodes answers; the others hang,
// refuse the connection, or answer with an error, another format or no JSON. The report
// must name each with its own fault, and none may delay the report beyond its deadline.
func TestFetchNamesNodesThatDoNotAnswer(t *testing.T) {
	body, err := json.Marshal(palermoNode())
	if err != nil {
		t.Fatal(err)
	}
	requested := make(chan string, 1)
	closed := listen(t)
	_ = closed.Close()
	q := report.Query{
		Nodes: []string{
			serve(t, 200, body, requested), listen(t).Addr().String(), closed.Addr().String(),
			serve(t, 404, nil, nil), serve(t, 200, []byte(`{"format":2}`), nil), serve(t, 200, []byte("<html>"), nil),
		},
		Filter: access.Filter{Service: "bacheca", Since: 10 * clock.Minute},
		// The node that hangs takes the whole timeout, the others about a millisecond.
		Timeout: 500,
	}
	q.Nodes = append(q.Nodes, q.Nodes[0])
	results, err := report.Fetch(t.Context(), q)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := <-requested, "/report?limit=400&service=bacheca&since=10m0s"; got != want {
		t.Errorf("got request %q, want %q", got, want)
	}
	r := report.Merge(results)
	for i, want := range []string{
		"", "did not answer in time", "refused the connection", "status 404", "format 2", "can't be read",
	} {
		if got := r.Nodes[i].Fault; !strings.Contains(got, want) || (want == "") != (got == "") {
			t.Errorf("got fault %q of node %d, want %q", got, i, want)
		}
	}
	if !r.Partial || len(r.Nodes) != 6 || !strings.HasPrefix(r.Findings[0].Text, "5 of 6 nodes gave no account") {
		t.Errorf("got partial %v, %d nodes, first finding %q; want 5 of 6 named", r.Partial, len(r.Nodes), r.Findings[0].Text)
	}
}

// Nodes are queried by IP address and port only.
func TestFetchRejectsHostNames(t *testing.T) {
	for _, address := range []string{"node-1:7302", "127.0.0.1", "", "127.0.0.1:x"} {
		if _, err := report.Fetch(t.Context(), report.Query{Nodes: []string{address}}); !errors.Is(err, report.ErrInvalidAddress) {
			t.Errorf("got error %v for %q, want ErrInvalidAddress", err, address)
		}
	}
}
