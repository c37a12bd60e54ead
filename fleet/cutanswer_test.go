package fleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/table"
)

// ending is what a backend server does with its connection after an answer.
type ending string

const (
	kept   ending = "kept"
	closed ending = "closed"
	reset  ending = "reset"
)

// cuttingUpstream answers requests whose path ends with "cut" with its text, and others with their own
// path on a connection that it keeps.
type cuttingUpstream struct {
	address string

	mu     sync.Mutex
	text   string
	ending ending         // of the connection after the text
	runs   map[string]int // by request id
}

func startCuttingUpstream(t *testing.T) *cuttingUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	u := &cuttingUpstream{address: listener.Addr().String(), runs: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *cuttingUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		u.mu.Lock()
		u.runs[request.Header.Get(gate.HeaderRequest)]++
		text, after := u.text, u.ending
		u.mu.Unlock()
		if !strings.HasSuffix(request.URL.Path, "cut") {
			after, text = kept, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
		if after == reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		if after != kept {
			return
		}
	}
}

func (u *cuttingUpstream) setText(text string, e ending) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.text, u.ending = text, e
}

func (u *cuttingUpstream) runsOf(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// callerConn is a caller's connection that is kept over many requests.
type callerConn struct {
	net.Conn

	reader *bufio.Reader
}

func dialCaller(t *testing.T, address string) *callerConn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &callerConn{conn, bufio.NewReader(conn)}
}

// send sends a request and returns its answer and the answer's fields.
func (c *callerConn) send(t *testing.T, method, path string) (answer, http.Header) {
	t.Helper()
	if err := c.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", method, path); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		t.Fatalf("%s %s: got error %v, want an answer", method, path, err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("%s %s: got error %v in the body", method, path, err)
	}
	_ = response.Body.Close()
	return answer{
		status:  response.StatusCode,
		outcome: response.Header.Get(entry.HeaderOutcome),
		reason:  response.Header.Get(entry.HeaderReason),
		id:      response.Header.Get(entry.HeaderRequest),
		body:    string(body),
	}, response.Header
}

// startCutFleet starts a node beside a cuttingUpstream and another one, and returns a connection of a caller
// to each, and the member beside the upstream.
func startCutFleet(t *testing.T) (*cuttingUpstream, map[string]*callerConn, *fleet.Member) {
	t.Helper()
	f, far, near, _ := startTwoNodesOf(t, fleet.Config{Table: newTable(1)})
	u := startCuttingUpstream(t)
	if err := f.Publish(func(tt *table.Table) { tt.Services[0].Upstreams[0].Address = u.address }); err != nil {
		t.Fatal(err)
	}
	awaitVersion(t, f)
	return u, map[string]*callerConn{"near": dialCaller(t, near.Caller), "far": dialCaller(t, far.Caller)}, near
}

// Guards against a caller that gets a part of an answer as a whole one, or bytes of it in its next answer,
// and against a request that is run again, or called not run, after its answer was cut.
func TestCutAnswerReachesNoCallerAsAWholeOne(t *testing.T) {
	u, callers, _ := startCutFleet(t)
	unsent, cuts := 0, 0
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 5\r\n\r\nabcde",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nT: v\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
		"HTTP/1.1 204 No Content\r\nX: y\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
	} {
		for cut := range text {
			for _, after := range []ending{closed, reset} {
				u.setText(text[:cut], after)
				for place, c := range callers {
					for _, method := range []string{http.MethodGet, http.MethodPost} {
						got, _ := c.send(t, method, "/conferme/cut")
						runs := u.runsOf(got.id)
						cuts++
						if runs == 0 {
							unsent++
						}
						isUnknown := got.status == http.StatusBadGateway && got.outcome == string(access.Unknown)
						isNotRun := got.status >= 500 && got.outcome == string(access.NotRun)
						if !isUnknown && (!isNotRun || runs > 0) {
							t.Errorf("%s %s, %q, %s: got %d %s %s %q after %d runs, want a failure that is true",
								place, method, text[:cut], after, got.status, got.outcome, got.reason, got.body, runs)
						}
						if method == http.MethodPost && runs > 1 {
							t.Errorf("%s %q: got %d runs of a request that may run once, want 1", place, text[:cut], runs)
						}
						path := fmt.Sprintf("/conferme/next-%d", cuts)
						if got, _ := c.send(t, method, path); got.outcome == string(access.Served) && got.body != path {
							t.Errorf("%s %s after a cut: got %d %q, want %q", place, method, got.status, got.body, path)
						}
					}
				}
			}
		}
	}
	t.Logf("%d of %d requests were refused before they were sent", unsent, cuts)
	if unsent > cuts/2 {
		t.Errorf("got %d of %d requests refused, want most of them sent", unsent, cuts)
	}
}

// Guards against a whole answer that gets another framing on its way: a length where it has none, none
// where a HEAD request asks for it, or a body where none may follow. The next answer on the
// caller's connection must be its own.
func TestWholeAnswerKeepsItsFraming(t *testing.T) {
	u, callers, _ := startCutFleet(t)
	long := strings.Repeat("v", 15_000)
	tests := []struct {
		name, method, text string
		status             int
		length, body       string
		ending             ending
	}{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde", 200, "5", "abcde", kept},
		{"empty", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200, "0", "", kept},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n", 200, "5", "abcde", kept},
		{"to the end", "GET", "HTTP/1.1 200 OK\r\n\r\nabcde", 200, "5", "abcde", closed},
		{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\n\r\nabcde", 200, "5", "abcde", closed},
		{"interim", "GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\nabcde", 201, "5", "abcde", kept},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 200, "5", "", kept},
		{"HEAD in chunks", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200, "", "", kept},
		{"HEAD without a length", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", 200, "", "", closed},
		{"HEAD with a body", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde", 200, "5", "", kept},
		{"204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, "", "", kept},
		{"204 with a length", "GET", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nabcde", 204, "", "", kept},
		{"304", "GET", "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", 304, "", "", kept},
		{"304 with a length", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304, "5", "", kept},
		{"304 with a length of 0", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 0\r\n\r\n", 304, "0", "", kept},
		{"304 to HEAD", "HEAD", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304, "5", "", kept},
		{"304 with a body", "GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\nabcde", 304, "5", "", kept},
		{"long head", "GET", "HTTP/1.1 200 OK\r\nA: " + long + "\r\nB: " + long + "\r\nContent-Length: 5\r\n\r\nabcde", 200, "5", "abcde", kept},
	}
	for _, tt := range tests {
		for place, c := range callers {
			u.setText(tt.text, tt.ending)
			got, header := c.send(t, tt.method, "/conferme/cut")
			if got.status != tt.status || got.body != tt.body || header.Get("Content-Length") != tt.length {
				t.Errorf("%s, %s: got %d %s, length %q, %q; want %d, %q, %q", tt.name, place, got.status, got.reason, header.Get("Content-Length"), got.body, tt.status, tt.length, tt.body)
			}
			if tt.name == "long head" && (header.Get("A") != long || header.Get("B") != long) {
				t.Errorf("%s, %s: got fields of %d and %d bytes, want both whole", tt.name, place, len(header.Get("A")), len(header.Get("B")))
			}
			if next, _ := c.send(t, http.MethodGet, "/conferme/next"); next.body != "/conferme/next" {
				t.Errorf("%s, %s: got %d %q after it, want the next answer", tt.name, place, next.status, next.body)
			}
		}
	}
}
