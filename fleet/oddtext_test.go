package fleet_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/fleet"
)

// Guards against links that end, with every request in flight on them, because one request carries
// bytes that are no UTF-8 text: the gate's node took the frame for malformed and closed the link.
func TestBytesThatAreNotTextEndNoLink(t *testing.T) {
	tests := []struct {
		name, text string
		want       int
	}{
		{"target", "GET /conferme/caf\xe9 HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusOK},
		{"query", "POST /conferme/x?q=caf\xe9 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", http.StatusOK},
		{"request id", "GET /conferme/x HTTP/1.1\r\nHost: a\r\nFuchsiapick-Request: caf\xe9\r\n\r\n", http.StatusOK},
		{"caller", "GET /conferme/x HTTP/1.1\r\nHost: a\r\nFuchsiapick-Caller: caf\xe9\r\n\r\n", http.StatusOK},
		{"host", "GET /conferme/x HTTP/1.1\r\nHost: caf\xe9\r\n\r\n", http.StatusOK},
		{"method", "CAF\xe9 /conferme/x HTTP/1.1\r\nHost: a\r\n\r\n", http.StatusBadRequest},
		{"header", "GET /conferme/x HTTP/1.1\r\nHost: a\r\nX-Text: caf\xe9\r\n\r\n", http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var log logBuffer
			f := startFleet(t, fleet.Config{Table: newTable(3), Log: &log})
			for i := range 12 {
				status, header := sendRaw(t, f.Members[0].Caller, tt.text)
				if status != tt.want {
					t.Fatalf("got %s for request %d, want %d", fmt.Sprint(status, header.Get(entry.HeaderOutcome), header.Get(entry.HeaderReason)), i, tt.want)
				}
			}
			if lines := log.String(); strings.Contains(lines, "malformed frame") {
				t.Error("a link ended because of a malformed frame, want all links to stay open")
			}
			for _, m := range f.Members {
				if status, _ := sendRaw(t, m.Admin, "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"); status != http.StatusOK {
					t.Errorf("got status %d for the metrics of %s, want 200", status, m.Name)
				}
			}
		})
	}
}
