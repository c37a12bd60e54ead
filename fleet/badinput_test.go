package fleet_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/settings"
)

// sendRaw writes the text to a new connection unchanged and reads one answer, whose
// status and headers it returns.
func sendRaw(t *testing.T, address, text string) (status int, header http.Header) {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	method, _, _ := strings.Cut(text, " ")
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header
}

// Malformed and oversized requests must get a clear answer with the right outcome. The
// node must continue to serve, and must record each of these requests.
func TestBadInputIsRefusedAndAccounted(t *testing.T) {
	f := startFleet(t, fleet.Config{Table: newTable(1), Adjust: func(s *settings.Settings) {
		s.Limits.Body = 1000
		s.Limits.Answer = 5000
	}})
	node := f.Members[0]
	tests := []struct {
		name, text string
		status     int
		outcome    access.Outcome
		reason     string
	}{
		{"no HTTP", "hello\r\n\r\n", 400, access.NotRun, access.ReasonCallerFault},
		{"bad length", "POST /conferme/x HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n", 400, access.NotRun, access.ReasonCallerFault},
		{
			"body over the bound", "POST /conferme/x HTTP/1.1\r\nHost: a\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000),
			413, access.NotRun, access.ReasonBodyTooLarge,
		},
		{"unknown route", "GET /orari HTTP/1.1\r\nHost: a\r\n\r\n", 404, access.NotRun, access.ReasonNoRoute},
		{"prefix of a segment", "GET /confermeX HTTP/1.1\r\nHost: a\r\n\r\n", 404, access.NotRun, access.ReasonNoRoute},
		{"answer over the limit", "GET /conferme/x?size=9000 HTTP/1.1\r\nHost: a\r\n\r\n", 502, access.Unknown, "answer-too-large"},
		{"long caller", "GET /conferme/x HTTP/1.1\r\nHost: a\r\nFuchsiapick-Caller: " + strings.Repeat("c", 3000) + "\r\n\r\n", 200, access.Served, ""},
		{"no deadline", "GET /conferme/x HTTP/1.1\r\nHost: a\r\nFuchsiapick-Deadline: -3\r\n\r\n", 200, access.Served, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, header := sendRaw(t, node.Caller, tt.text)
			got := fmt.Sprint(status, header.Get(entry.HeaderOutcome), header.Get(entry.HeaderReason))
			if want := fmt.Sprint(tt.status, tt.outcome, tt.reason); got != want {
				t.Errorf("got %s, want %s", got, want)
			}
		})
	}
	s := node.Node.Snapshot(access.Filter{})
	if want := uint64(len(tests)); s.Received != want || s.Closed != want || s.Open != 0 {
		t.Errorf("got %d received, %d closed, %d open; want %d, %d, 0", s.Received, s.Closed, s.Open, want, want)
	}
}
