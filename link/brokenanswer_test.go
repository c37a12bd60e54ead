package link_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/link"
)

// startAnswering starts a server that has nothing to do with links: it answers with the first text, and then
// with the second until the connection ends, after each pause.
func startAnswering(t *testing.T, first, endless string, pause time.Duration) string {
	t.Helper()
	l := listen(t)
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
				for _, err = conn.Write([]byte(first)); err == nil && endless != ""; _, err = conn.Write([]byte(endless)) {
					<-time.After(pause)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a node that keeps all bytes which another program sends without end in answer to the
// handshake, at an address that was a node's.
func TestEndlessAnswerToTheHandshakeIsRefused(t *testing.T) {
	piece := strings.Repeat("v", 1<<20)
	for _, tt := range []struct{ name, first, endless string }{
		{"no answer", "", piece},
		{"status line", "HTTP/1.1 101 ", piece},
		{"field", "HTTP/1.1 101 Switching Protocols\r\nX: ", piece},
		{"fields", "HTTP/1.1 101 Switching Protocols\r\n", strings.Repeat("X: y\r\n", 1<<16)},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", piece},
		{"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1<<20)},
	} {
		address := startAnswering(t, tt.first, tt.endless, 0)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		started := time.Now()
		if conn, _, err := link.Dial(t.Context(), address, identity("10.0.0.1:7000", secret), limit); err == nil {
			conn.Close()
			t.Errorf("%s: got a link, want an error", tt.name)
		}
		runtime.ReadMemStats(&after)
		const bound = 8 << 20
		if got := after.TotalAlloc - before.TotalAlloc; got > bound {
			t.Errorf("%s: got %d bytes allocated in %s, want at most %d", tt.name, got, time.Since(started), bound)
		}
	}
}

// startInserting starts a relay to an address that inserts a line into the response to the handshake.
func startInserting(t *testing.T, address, line string) string {
	t.Helper()
	l := listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		server, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		defer func() { _ = server.Close() }()
		go func() { _, _ = io.Copy(server, conn) }() // ends with the connections
		reader := bufio.NewReader(server)
		statusLine, err := reader.ReadString('\n')
		if err == nil {
			_, err = io.WriteString(conn, statusLine+line)
		}
		if err == nil {
			_, _ = io.Copy(conn, reader) // ends with the connections
		}
	}()
	return l.Addr().String()
}

// Guards against a link that is opened by a response to the handshake with a field name that none may have.
func TestBrokenAnswerToTheHandshakeOpensNoLink(t *testing.T) {
	for _, tt := range []struct {
		line string
		want bool
	}{
		{"X: y\r\n", true},
		{"X Y: z\r\n", false},
		{" X: y\r\n", false},
		{"X : y\r\n", false},
		{"X\t: y\r\n", false},
		{"\nX: y\r\n", false},
		{"X: y\n", false},
		{"X\x00: y\r\n", false},
		{": y\r\n", false},
		{"X\r\n", false},
	} {
		l := listen(t)
		relay := startInserting(t, l.Addr().String(), tt.line)
		serveOn(t, l, relay)
		conn, _, err := link.Dial(t.Context(), relay, identity("10.0.0.1:7000", secret), limit)
		if (err == nil) != tt.want {
			t.Errorf("%q: got error %v, want a link %v", tt.line, err, tt.want)
		}
		if err == nil {
			conn.Close()
		}
	}
}
