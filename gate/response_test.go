package gate_test

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/memory"
)

const largeResponse = 300_000

func newLargeBackend(t *testing.T, answers *memory.Answers) *gate.HTTP {
	t.Helper()
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", largeResponse, strings.Repeat("x", largeResponse))
	backend := gate.NewHTTP(gate.HTTPConfig{Address: startRawServer(t, text, false), MaxConnections: 32, MaxBody: 1 << 20, Answers: answers})
	t.Cleanup(backend.Close)
	return backend
}

// Guards against responses that together take more memory than the instance has, so that the node is
// killed with all requests in flight.
func TestResponsesStayWithinTheMemory(t *testing.T) {
	const requests, room = 8, 3
	answers := memory.NewAnswers(8 * (memory.Copies*largeResponse*room/3 + 8))
	backend := newLargeBackend(t, answers)
	responses, failures := make([]gate.Response, requests), make([]error, requests)
	var group sync.WaitGroup
	for i := range requests {
		group.Go(func() {
			responses[i], failures[i] = backend.Do(t.Context(), &gate.Call{Method: "GET", URI: "/x", Deadline: 2 * clock.Second, Repeatable: true})
		})
	}
	group.Wait()
	held := 0
	for i, response := range responses {
		if failures[i] != nil && !errors.Is(failures[i], gate.ErrTooLarge) {
			t.Errorf("request %d: got error %v, want %v or none", i, failures[i], gate.ErrTooLarge)
		}
		held += len(response.Body)
	}
	if want := room * largeResponse; held != want || answers.Held() > answers.Bound() {
		t.Errorf("got %d bytes held, %d counted of %d, want %d held", held, answers.Held(), answers.Bound(), want)
	}
	runtime.KeepAlive(responses)
	clear(responses)
	last, err := backend.Do(t.Context(), &gate.Call{Method: "GET", URI: "/x", Deadline: clock.Minute, Repeatable: true})
	if err != nil || len(last.Body) != largeResponse {
		t.Errorf("got %d bytes and error %v once the others are dropped, want the whole response", len(last.Body), err)
	}
}

// Guards against a response that is cut, mixed up or too long now that the gate reads its body itself.
func TestResponseBodiesArriveWhole(t *testing.T) {
	chunk := func(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, text string
		size       int
		want       error
	}{
		{"length", head + "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 200_000), 200_000, nil},
		{"cut length", head + "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 199_999), 0, gate.ErrTruncated},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(1) + chunk(70_000) + chunk(4096) + "0\r\n\r\n", 74_097, nil},
		{"cut chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(1) + chunk(70_000), 0, gate.ErrTruncated},
		{"no last line", head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(1) + "0\r\n", 0, gate.ErrTruncated},
		{"chunks over the bound", head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(200_000) + chunk(1) + "0\r\n\r\n", 0, gate.ErrTooLarge},
		{"empty", head + "Content-Length: 0\r\n\r\n", 0, nil},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", 0, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			backend := gate.NewHTTP(gate.HTTPConfig{
				Address: startRawServer(t, tt.text, false), MaxConnections: 1, MaxBody: 200_000, Answers: memory.NewAnswers(16 << 20),
			})
			defer backend.Close()
			got, err := backend.Do(t.Context(), &gate.Call{Method: "GET", URI: "/x", Deadline: 10 * clock.Second, Repeatable: true})
			if !errors.Is(err, tt.want) || len(got.Body) != tt.size || strings.Trim(string(got.Body), "x") != "" {
				t.Errorf("got %d bytes and error %v, want %d and %v", len(got.Body), err, tt.size, tt.want)
			}
		})
	}
}
