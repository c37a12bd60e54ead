package gate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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

// serveChunks starts an upstream that sends each answer in chunks with pauses between them.
func serveChunks(t *testing.T, chunks, size int) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				for range chunks {
					_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
					<-time.After(10 * time.Millisecond)
				}
				_, _ = io.WriteString(conn, "0\r\n\r\n")
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against answers of unknown length that wait for each other's memory until their deadlines, so that
// all of them are lost.
func TestResponsesOfUnknownLengthDoNotWaitForEachOther(t *testing.T) {
	const chunks, size, count = 8, 1 << 18, 4
	answers := memory.NewAnswers(32 << 20) // three eighths hold three of the answers, each counted twice
	h := gate.NewHTTP(gate.HTTPConfig{Address: serveChunks(t, chunks, size), MaxConnections: count, MaxBody: 2 * chunks * size, Answers: answers})
	defer h.Close()
	var whole atomic.Int64
	var group sync.WaitGroup
	for range count {
		group.Go(func() {
			response, err := h.Do(t.Context(), &gate.Call{Method: "GET", URI: "/x", Deadline: 10 * clock.Second, Repeatable: true})
			if err == nil && len(response.Body) == chunks*size {
				whole.Add(1)
			}
		})
	}
	group.Wait()
	if got := whole.Load(); got < 1 {
		t.Errorf("got %d whole answers, want some", got)
	}
}
