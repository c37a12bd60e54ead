package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/caller"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/memory"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// bodyFixture is an entry that receives bodies, with a gate that answers with their sizes once
// release is closed.
type bodyFixture struct {
	address string
	budget  *memory.Budget
	release chan struct{}
	begun   chan struct{}
}

const maxTestBody = 1 << 20

func newBodyFixture(t *testing.T, budget *memory.Budget) *bodyFixture {
	t.Helper()
	f := &bodyFixture{budget: budget, release: make(chan struct{}), begun: make(chan struct{}, 64)}
	gate := &fakeGate{name: "sizes", handle: func(_ *fakeGate, m *wire.Dispatch, w link.DispatchObserver) {
		go func() {
			f.begun <- struct{}{}
			<-f.release
			text := fmt.Sprint(len(m.Body), strings.Trim(string(m.Body), "x") == "")
			w.Replied(&wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.Answered, Status: 200, Body: []byte(text), Length: len(text), Upstream: wire.Upstream{Name: "sizes", Share: 1}})
		}()
	}}
	s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Floor: 0.3, Deadline: clock.Minute}
	now := clock.NewSystem().Now
	e := newClockedEntry(t, entry.Config{Now: now, Memory: budget, MaxBody: maxTestBody}, s, []string{table.AnyMethod}, gate)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = inner.Addr().String()
	server := &fasthttp.Server{Handler: e.Serve, ErrorHandler: e.ServeMalformed, StreamRequestBody: true}
	done := make(chan error, 1)
	go func() { done <- server.Serve(caller.Listener{Listener: inner, Now: now}) }()
	t.Cleanup(func() {
		_ = inner.Close()
		if err := <-done; err != nil {
			t.Logf("server ended: %v", err)
		}
	})
	return f
}

// send writes parts of requests to a new connection.
func (f *bodyFixture) send(t *testing.T, parts ...string) *peekedConn {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	for _, part := range parts {
		if _, err := io.WriteString(conn, part); err != nil {
			t.Fatal(err)
		}
	}
	return &peekedConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// peekedConn is a caller's connection on which the first byte of an answer may have been waited for.
type peekedConn struct {
	net.Conn

	reader   *bufio.Reader
	answered <-chan struct{} // closed when the wait has ended; nil without one
}

// endRequests ends the caller's side of the connection.
func (c *peekedConn) endRequests(t *testing.T) {
	t.Helper()
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
}

// headOf returns the head of a request with a body of the given size.
func headOf(size int) string {
	return fmt.Sprintf("POST /turno HTTP/1.1\r\nHost: clinic.example\r\nContent-Length: %d\r\n\r\n", size)
}

// chunked returns a request whose body comes in chunks.
func chunked(sizes ...int) string {
	var b strings.Builder
	b.WriteString("POST /turno HTTP/1.1\r\nHost: clinic.example\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, size := range sizes {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	}
	b.WriteString("0\r\n\r\n")
	return b.String()
}

// summary describes the next answer on a connection.
func summary(t *testing.T, conn *peekedConn) string {
	t.Helper()
	if conn.answered != nil {
		<-conn.answered
	}
	response := readResponse(t, conn, conn.reader)
	if response.StatusCode() == fasthttp.StatusOK {
		return "200 " + string(response.Body())
	}
	return fmt.Sprintf("%d %s %s %s", response.StatusCode(), response.Header.Peek(entry.HeaderOutcome), response.Header.Peek(entry.HeaderReason), response.Header.Peek(fasthttp.HeaderRetryAfter))
}

// Guards against callers that make a node allocate, and be killed for, memory that they announce in
// the heads of requests and never fill.
func TestAnnouncedBodyTakesNoMemory(t *testing.T) {
	f := newBodyFixture(t, nil)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	const callers = 64
	conns := make([]*peekedConn, callers)
	for i := range conns {
		conns[i] = f.send(t, headOf(maxTestBody), strings.Repeat("x", 10_000))
	}
	for _, conn := range conns {
		conn.endRequests(t)
		if got, want := summary(t, conn), "400 not-run caller-fault "; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	runtime.ReadMemStats(&after)
	if got, bound := after.TotalAlloc-before.TotalAlloc, uint64(callers*maxTestBody/4); got > bound {
		t.Errorf("got %d bytes allocated, want %d at most, a quarter of what was announced", got, bound)
	}
}

// Guards against bodies that together take more memory than the instance has, so that the node is
// killed with all requests in flight; and against large ones that leave no room for small ones.
func TestBodiesStayWithinTheBudget(t *testing.T) {
	const large = 200 << 10
	f := newBodyFixture(t, memory.NewBudget(6<<20))
	refusals, accepted := 0, []*peekedConn{}
	for range 6 {
		conn := f.send(t, headOf(large), strings.Repeat("x", large))
		if f.isAccepted(t, conn) {
			accepted = append(accepted, conn)
			continue
		}
		refusals++
		if got, want := summary(t, conn), "503 not-run node-memory 1"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got, bound := f.budget.Held(), f.budget.Bound(); got > bound || refusals == 0 || len(accepted) < 3 {
		t.Errorf("got %d bytes held of %d, %d requests accepted, %d refused; want some of both within the bound", got, bound, len(accepted), refusals)
	}
	small := f.send(t, headOf(1000), strings.Repeat("x", 1000))
	if !f.isAccepted(t, small) {
		t.Fatal("got a small body refused beside large ones, want it accepted")
	}
	close(f.release)
	for _, conn := range accepted {
		if got, want := summary(t, conn), fmt.Sprint("200 ", large, " true"); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if got, want := summary(t, small), "200 1000 true"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	f.awaitReleased(t)
}

// isAccepted reports whether the request on a connection reaches the gate, rather than an answer the
// caller.
func (f *bodyFixture) isAccepted(t *testing.T, conn *peekedConn) bool {
	t.Helper()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		_, _ = conn.reader.Peek(1)
	}()
	select {
	case <-f.begun:
		conn.answered = answered
		return true
	case <-answered:
		return false
	case <-time.After(10 * time.Second):
		t.Fatal("got neither an answer nor a run")
		return false
	}
}

// awaitReleased waits until nothing is held any more.
func (f *bodyFixture) awaitReleased(t *testing.T) {
	t.Helper()
	timeout, tick := time.After(10*time.Second), time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for f.budget.Held() != 0 {
		select {
		case <-tick.C:
		case <-timeout:
			t.Fatalf("got %d bytes held after all answers, want none", f.budget.Held())
		}
	}
}

// Guards against bodies that arrive in another form than they were sent, or pass their bound, now that the
// entry receives them itself.
func TestBodiesArriveWhole(t *testing.T) {
	f := newBodyFixture(t, memory.NewBudget(32<<20))
	close(f.release)
	tests := []struct{ name, text, want string }{
		{"none", "GET /turno HTTP/1.1\r\nHost: clinic.example\r\n\r\n", "200 0 true"},
		{"empty", headOf(0), "200 0 true"},
		{"short", headOf(5) + "xxxxx", "200 5 true"},
		{"of the server's first read", headOf(8<<10) + strings.Repeat("x", 8<<10), "200 8192 true"},
		{"longer than the first buffer", headOf(300_001) + strings.Repeat("x", 300_001), "200 300001 true"},
		{"at the bound", headOf(maxTestBody) + strings.Repeat("x", maxTestBody), "200 1048576 true"},
		{"over the bound", headOf(maxTestBody+1) + strings.Repeat("x", maxTestBody+1), "413 not-run body-too-large "},
		{"no chunk", chunked(), "200 0 true"},
		{"chunks", chunked(1, 4095, 70_000, 3), "200 74099 true"},
		{"chunks at the bound", chunked(maxTestBody/2, maxTestBody/2), "200 1048576 true"},
		{"chunks over the bound", chunked(maxTestBody, 1), "413 not-run body-too-large "},
		{"a cut chunk", strings.TrimSuffix(chunked(100), "\r\n0\r\n\r\n"), "400 not-run caller-fault "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// A pipelined request shows that no byte of a body is taken for the next request.
			conn := f.send(t, tt.text)
			if !strings.HasPrefix(tt.want, "200") {
				conn.endRequests(t)
			} else if _, err := io.WriteString(conn, headOf(3)+"xxx"); err != nil {
				t.Fatal(err)
			}
			if got := summary(t, conn); got != tt.want {
				t.Errorf("got %q, want %q", got, tt.want)
			}
			if strings.HasPrefix(tt.want, "200") {
				if got, want := summary(t, conn), "200 3 true"; got != want {
					t.Errorf("next request: got %q, want %q", got, want)
				}
			}
			f.awaitReleased(t)
		})
	}
}
