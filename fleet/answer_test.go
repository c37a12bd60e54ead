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

// Many callers share one link, and answers of all sizes cross it in frames.
// A site manager must never see the roster of another hotel, nor half of one.
func TestEachCallerGetsItsOwnWholeAnswer(t *testing.T) {
	f, far, _, _ := two(t, 1)
	var group errorGroup
	for caller := range 8 {
		group.Go(func() error {
			for i := range 12 {
				size := []int{0, 10, 65_536, 65_537, 300_000, 1_000_000}[(caller+i)%6]
				got := send(t, "GET", far.Caller, fmt.Sprintf("/conferme/turno?size=%d", size), "")
				if want := string(standin.AnswerBody(got.id, size)); got.outcome != "served" || got.body != want {
					return fmt.Errorf("request %s: got %s, %d bytes; want served, its own %d", got.id, got.outcome, len(got.body), len(want))
				}
			}
			return nil
		})
	}
	group.Wait(t)
	if got := totals(f); got.Received != got.Closed {
		t.Errorf("got %d received and %d closed, want them equal", got.Received, got.Closed)
	}
}

// The link breaks while a large answer crosses it. The caller must get all of
// it from another try, or a clear failure, never a torn page with status 200.
func TestTornLinkNeverTearsAnAnswer(t *testing.T) {
	_, far, beside, _ := two(t, 1)
	const size = 4_000_000
	for i := range 6 {
		for send(t, "GET", far.Caller, "/conferme/turno", "").outcome != "served" {
			continue // until the path is back
		}
		passed := beside.LinkRelay.Stats().Passed
		done := make(chan answer, 1)
		go func() { done <- send(t, "GET", far.Caller, fmt.Sprintf("/conferme/turno?size=%d", size), "") }()
		until(t, "part of the answer", func() bool { return beside.LinkRelay.Stats().Passed > passed+200_000 })
		beside.LinkRelay.SetMode(standin.Refuse)
		beside.LinkRelay.SetMode(standin.Pass)
		got := <-done
		if got.status == http.StatusOK && got.body != string(standin.AnswerBody(got.id, size)) {
			t.Errorf("try %d: got 200 with %d bytes, want the whole answer or a failure", i, len(got.body))
		}
	}
}

// A caller hangs up while its confirmation runs, and another reads a byte at a
// time. Neither may hold up others, and each request keeps its one account.
func TestCallersThatHangUpOrReadSlowly(t *testing.T) {
	f := start(t, fleet.Config{Table: deployment(1), ServiceTime: 50})
	m := f.Members[0]
	conn, err := net.Dial("tcp", m.Caller)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("POST /conferme/turno HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")); err != nil {
		t.Fatal(err)
	}
	await(t, f.Backends["conferme-1"], ran(1))
	_ = conn.Close()
	slow, err := net.Dial("tcp", m.Caller)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = slow.Close() }()
	if _, err := slow.Write([]byte("GET /conferme/turno?size=3000000 HTTP/1.1\r\nHost: a\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	await(t, f.Backends["conferme-1"], ran(2))
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
	until(t, "all accounts closed", func() bool { s := totals(f); return s.Received == 3 && s.Closed == 3 })
}

// A HEAD request learns the length of what a GET would bring.
func TestHeadKeepsLength(t *testing.T) {
	f := start(t, fleet.Config{Table: deployment(1)})
	status, header := raw(t, f.Members[0].Caller, "HEAD /conferme/turno?size=500 HTTP/1.1\r\nHost: hotel.example\r\n\r\n")
	if status != http.StatusOK || header.Get("Content-Length") == "0" || header.Get("Content-Length") == "" {
		t.Errorf("got %d and length %q, want 200 and the length", status, header.Get("Content-Length"))
	}
}

// A service that is slow by nature is served: the entry must not cut a try off
// to leave time for another.
func TestSlowServiceIsServed(t *testing.T) {
	c := deployment(3)
	f := start(t, fleet.Config{Table: c, ServiceTime: 700, Adjust: func(s *settings.Settings) { s.Limits.Requests = 10 }})
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

func totals(f *fleet.Fleet) access.Snapshot {
	var sum access.Snapshot
	for _, m := range f.Members {
		s := m.Node.Snapshot(access.Filter{Limit: 1})
		sum.Received += s.Received
		sum.Closed += s.Closed
	}
	return sum
}

// errorGroup runs functions at once and reports the errors of all.
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
		case <-time.After(patience):
			t.Fatal("got no end of all callers")
		}
	}
}
