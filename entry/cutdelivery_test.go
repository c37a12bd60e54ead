package entry_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/caller"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// failingListener accepts connections on each of which one write fails, after a number of bytes. All
// writes after it pass.
type failingListener struct {
	net.Listener

	after int
}

func (l failingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &failingConn{Conn: conn, after: l.after}, nil
}

type failingConn struct {
	net.Conn

	after     int
	hasFailed bool
}

func (c *failingConn) Write(p []byte) (int, error) {
	if c.hasFailed || len(p) <= c.after {
		c.after -= len(p)
		return c.Conn.Write(p)
	}
	c.hasFailed = true
	n, err := c.Conn.Write(p[:c.after])
	if err != nil {
		return n, err
	}
	return n, fasthttp.ErrTimeout
}

// Guards against a caller that takes a part of an answer for a whole one, or the answer behind it for
// the rest, because the entry couldn't write all of it and uses the connection further.
func TestAnswerThatCannotBeWrittenEndsItsConnection(t *testing.T) {
	const wholeAnswers = 1 << 20 // more than all bytes of the answers
	for _, size := range []int{0, 5, 9_000} {
		body := bytes.Repeat([]byte{'b'}, size)
		now := clock.NewSystem().Now
		e := newSlowRouteEntry(t, now, func(_ int, m *wire.Dispatch) *wire.Reply {
			return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.Answered, Status: 200, Body: body, Length: len(body)}
		})
		// receive returns what a caller receives that sends two requests at once.
		receive := func(after int) []byte {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := &fasthttp.Server{Handler: e.Serve, Logger: silentLogger{}}
			done := make(chan error, 1)
			go func() { done <- server.Serve(caller.Listener{Listener: failingListener{inner, after}, Now: now}) }()
			conn, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
				t.Fatal(err)
			}
			last := strings.Replace(twoRequests[len(twoRequests)/2:], "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
			if _, err := io.WriteString(conn, twoRequests[:len(twoRequests)/2]+last); err != nil {
				t.Fatal(err)
			}
			received, err := io.ReadAll(conn)
			if err != nil {
				t.Errorf("%d bytes, write fails after %d: got error %v, want the connection closed", size, after, err)
			}
			_, _ = conn.Close(), inner.Close()
			if err := <-done; err != nil {
				t.Logf("server ended: %v", err)
			}
			return received
		}
		whole := receive(wholeAnswers)
		if got := countAnswers(whole, len(body)); got != 2 {
			t.Fatalf("%d bytes: got %d whole answers on a connection without a fault, want 2", size, got)
		}
		second := bytes.LastIndex(whole, []byte("HTTP/1.1 "))
		for after := 0; after < len(whole); after += step(after, second, len(whole)) {
			received := receive(after)
			if len(received) != after {
				t.Errorf("%d bytes, write fails after %d: got %d bytes, want none after the fault", size, after, len(received))
			}
			if got, want := countAnswers(received, len(body)), countWritten(received, len(body)); got != want {
				t.Errorf("%d bytes, write fails after %d: got %d whole answers, want %d", size, after, got, want)
			}
		}
	}
}

// step returns the distance to the next byte to test: each byte of the heads and around the ends of the
// answers, and some in long bodies.
func step(after, second, whole int) int {
	const near, far = 400, 331
	for _, end := range []int{second, whole} {
		if end > after && end-after > near && end-after < 9_000-near {
			return far
		}
	}
	return 1
}

// countAnswers returns the number of answers in the bytes that a caller takes for whole ones.
func countAnswers(received []byte, size int) int {
	reader := bufio.NewReader(bytes.NewReader(received))
	for count := 0; ; count++ {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return count
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || len(body) != size {
			return count
		}
	}
}

// countWritten returns the number of answers of which all bytes were received, whatever length they state.
func countWritten(received []byte, size int) int {
	for count := 0; ; count++ {
		_, rest, ok := bytes.Cut(received, []byte("\r\n\r\n"))
		if !ok || len(rest) < size {
			return count
		}
		received = rest[size:]
	}
}

// silentLogger drops the HTTP server's lines about writes that fail.
type silentLogger struct{}

func (silentLogger) Printf(string, ...any) {}
