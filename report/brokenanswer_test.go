package report_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/report"
)

// serveText starts a server on a free port that writes the text to its first caller and closes.
func serveText(t *testing.T, text string) string {
	t.Helper()
	l := listen(t)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write([]byte(text)) // the client may have closed already
		}
		_ = conn.Close()
	}()
	return l.Addr().String()
}

// Guards against a report that counts an answer which isn't one in HTTP: with a status that is none, with a
// broken field name, or with a cut body.
func TestBrokenAnswerIsNoSnapshot(t *testing.T) {
	body, err := json.Marshal(palermoNode())
	if err != nil {
		t.Fatal(err)
	}
	const ok = "HTTP/1.1 200 OK\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	whole := ok + length + "X: y\r\n\r\n" + string(body)
	names := []string{" X", "X Y", "X ", "\tX", "X\t", "X\x00", "\nX", "X\nY", "\rX", "X\x7f", "", "X\xe9"}
	heads := append(make([]string, 0, 3+3*len(names)), "HTTP/1.1 000 None\r\n"+length, "HTTP/1.2 200 OK\r\n"+length, "HTTP/1.1 200 OK\n"+length)
	for _, name := range names {
		heads = append(heads, ok+length+name+": y\r\n", ok+name+": y\r\n"+length, "HTTP/1.1 103 Early Hints\r\n"+name+": y\r\n\r\n"+ok+length)
	}
	q := report.Query{Nodes: []string{serveText(t, whole), serveText(t, whole[:len(whole)-1])}, Timeout: 10 * clock.Second}
	for _, head := range heads {
		q.Nodes = append(q.Nodes, serveText(t, head+"\r\n"+string(body)))
	}
	results, err := report.Fetch(t.Context(), q)
	if err != nil {
		t.Fatal(err)
	}
	if results[0].Err != nil || results[0].Snapshot == nil {
		t.Errorf("got error %v for a whole answer, want none", results[0].Err)
	}
	for i, got := range results[1:] {
		if isCut := i == 0; got.Err == nil || got.Snapshot != nil || !isCut && !errors.Is(got.Err, report.ErrInvalidAnswer) {
			t.Errorf("answer %d of the cut one and %q: got a snapshot %v and error %v, want %v", i, heads, got.Snapshot != nil, got.Err, report.ErrInvalidAnswer)
		}
	}
}
