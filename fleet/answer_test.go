package fleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/standin"
)

// Many callers share one link, on which answers of all sizes are sent in frames. Guards
// against a caller that receives another caller's answer, or only a part of its own.
func TestEachCallerGetsItsOwnWholeAnswer(t *testing.T) {
	f, entryNode, _, _ := startTwoNodes(t, 1)
	var group errorGroup
	for caller := range 8 {
		group.Go(func() error {
			for i := range 12 {
				size := []int{0, 10, 65_536, 65_537, 300_000, 1_000_000}[(caller+i)%6]
				got := send(t, "GET", entryNode.Caller, fmt.Sprintf("/conferme/turno?size=%d", size), "")
				if want := string(standin.AnswerBody(got.id, size)); got.outcome != "served" || got.body != want {
					return fmt.Errorf("request %s: got %s, %d bytes; want served, its own %d", got.id, got.outcome, len(got.body), len(want))
				}
			}
			return nil
		})
	}
	group.Wait(t)
	if got := requestTotals(f); got.Received != got.Closed {
		t.Errorf("got %d received and %d closed, want them equal", got.Received, got.Closed)
	}
}

// The link breaks while a large answer is sent over it. The caller must get the whole
// answer from another attempt or a clear failure, never a truncated body with status 200.
func TestBrokenLinkNeverTruncatesAnAnswer(t *testing.T) {
	_, entryNode, gateNode, _ := startTwoNodes(t, 1)
	const size = 4_000_000
	for i := range 6 {
		for send(t, "GET", entryNode.Caller, "/conferme/turno", "").outcome != "served" {
			continue // until the path works again
		}
		passed := gateNode.LinkRelay.Stats().Passed
		done := make(chan answer, 1)
		go func() { done <- send(t, "GET", entryNode.Caller, fmt.Sprintf("/conferme/turno?size=%d", size), "") }()
		waitUntil(t, "part of the answer", func() bool { return gateNode.LinkRelay.Stats().Passed > passed+200_000 })
		gateNode.LinkRelay.SetMode(standin.Refuse)
		gateNode.LinkRelay.SetMode(standin.Pass)
		got := <-done
		if got.status == http.StatusOK && got.body != string(standin.AnswerBody(got.id, size)) {
			t.Errorf("round %d: got 200 with %d bytes, want the whole answer or a failure", i, len(got.body))
		}
	}
}

// One caller closes its connection while its request runs, and another reads its answer
// slowly. Neither may delay other callers, and the node must record each request exactly
// once.
func TestCallersThatHangUpOrReadSlowly(t *testing.T) {
	f := startFleet(t, fleet.Config{Table: newTable(1), ServiceTime: 50})
	m := f.Members[0]
	conn, err := net.Dial("tcp", m.Caller)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("POST /conferme/turno HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")); err != nil {
		t.Fatal(err)
	}
	awaitTotals(t, f.Backends["conferme-1"], begunAtLeast(1))
	_ = conn.Close()
	slow, err := net.Dial("tcp", m.Caller)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slow.Close() }()
	if _, err := slow.Write([]byte("GET /conferme/turno?size=3000000 HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	awaitTotals(t, f.Backends["conferme-1"], begunAtLeast(2))
	if got := send(t, "POST", m.Caller, "/conferme/turno", "x"); got.outcome != "served" {
		t.Errorf("got %s %s beside a slow reader, want served", got.outcome, got.reason)
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(slow, 16), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if want := string(standin.AnswerBody(response.Header.Get(entry.HeaderRequest), 3000000)); err != nil || string(body) != want {
		t.Errorf("got %d bytes and error %v, want the whole answer", len(body), err)
	}
	waitUntil(t, "records of all requests closed", func() bool { s := requestTotals(f); return s.Received == 3 && s.Closed == 3 })
}

// A HEAD request must return the Content-Length that a GET request would return.
func TestHeadReturnsContentLength(t *testing.T) {
	f := startFleet(t, fleet.Config{Table: newTable(1)})
	status, header := sendRaw(t, f.Members[0].Caller, "HEAD /conferme/turno?size=500 HTTP/1.1\r\nHost: hotel.example\r\n\r\n")
	if status != http.StatusOK || header.Get("Content-Length") == "0" || header.Get("Content-Length") == "" {
		t.Errorf("got %d and length %q, want 200 and the length", status, header.Get("Content-Length"))
	}
}

// A slow service must be served: the entry must not cancel an attempt to save time for
// another one.
func TestSlowServiceIsServed(t *testing.T) {
	c := newTable(3)
	f := startFleet(t, fleet.Config{Table: c, ServiceTime: 700, Adjust: func(s *settings.Settings) { s.Limits.Requests = 10 }})
	for i := range 6 {
		if got := send(t, "GET", f.Members[i%3].Caller, "/conferme/turno", ""); got.outcome != string(access.Served) {
			t.Errorf("request %d: got %s %s, want served", i, got.outcome, got.reason)
		}
	}
	for name, b := range f.Backends {
		if got := b.Totals().Cancelled; got != 0 {
			t.Errorf("%s: got %d cancelled, want 0", name, got)
		}
	}
}

func requestTotals(f *fleet.Fleet) access.Snapshot {
	var sum access.Snapshot
	for _, m := range f.Members {
		s := m.Node.Snapshot(access.Filter{Limit: 1})
		sum.Received += s.Received
		sum.Closed += s.Closed
	}
	return sum
}

// errorGroup runs functions concurrently and reports all their errors.
type errorGroup struct {
	errs  chan error
	count int
}

func (g *errorGroup) Go(run func() error) {
	if g.errs == nil {
		g.errs = make(chan error)
	}
	g.count++
	go func() { g.errs <- run() }()
}

func (g *errorGroup) Wait(t *testing.T) {
	t.Helper()
	for range g.count {
		select {
		case err := <-g.errs:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(waitTimeout):
			t.Fatal("got callers that still run, want all ended")
		}
	}
}
