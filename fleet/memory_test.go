package fleet_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/standin"
)

// Guards against a gate that is killed for its memory by the bodies that several entries send it: each of
// them is within the bound of its own node. What doesn't fit is refused, and isn't run.
func TestGateRefusesBodiesThatItHasNoMemoryFor(t *testing.T) {
	const size = 200 << 10
	_, entryNode, _, backend := startTwoNodesOf(t, fleet.Config{Table: newTable(1), ServiceTime: 5, Adjust: func(s *settings.Settings) {
		if s.Node != "far" {
			s.Limits.Memory = 2 << 20 // room for one body
		}
	}})
	backend.SetFault(standin.Fault{Kind: standin.Hangs})
	post := func() (status int, header http.Header, err error) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+entryNode.Caller+"/conferme/x", strings.NewReader(strings.Repeat("x", size)))
		if err != nil {
			return 0, nil, err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, nil, err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return response.StatusCode, response.Header, err
	}
	first := make(chan int, 1)
	go func() {
		status, _, err := post()
		if err != nil {
			t.Errorf("first request: %v", err)
		}
		first <- status
	}()
	awaitTotals(t, backend, begunAtLeast(1))
	status, header, err := post()
	if err != nil {
		t.Fatal(err)
	}
	if got := header.Get(entry.HeaderOutcome); status != http.StatusServiceUnavailable || got != "not-run" {
		t.Errorf("got %d %s (%s) while another body takes the memory, want 503 not-run", status, got, header.Get(entry.HeaderReason))
	}
	if got := backend.Totals().Begun; got != 1 {
		t.Errorf("got %d requests begun, want only the first", got)
	}
	backend.SetFault(standin.Fault{Kind: standin.Healthy})
	if got := <-first; got != http.StatusGatewayTimeout {
		t.Errorf("first request: got %d from an upstream that hangs, want 504", got)
	}
	waitUntil(t, "a body that has room again", func() bool {
		status, _, err := post()
		return err == nil && status == http.StatusOK
	})
}
