package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at an upstream.
type run struct {
	ID       string
	Upstream string
	Path     string
	Caller   string
	Began    time.Time
	Ended    time.Time
	Status   int
}

// upstream is the stand-in of an application upstream.
type upstream struct {
	id, service, zone, address string
	slots                      int
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration
	// sheds reports whether a request is rejected although there is room.
	sheds func(r *http.Request) bool
	// doubles reports whether the answer to a request is followed by a late second copy.
	doubles func(r *http.Request, isShed bool) bool
	journal *journal
	// raw answers a request in place of the usual answer and reports whether it did; it closes the connection.
	raw func(r *http.Request, conn net.Conn) bool

	mu      sync.Mutex
	running int
	state   string
	seq     int
}

// journal records what the upstreams ran.
type journal struct {
	mu   sync.Mutex
	runs []*run
	// doubled counts the answers with a late second copy, answers all answers.
	doubled, answers, shed int
}

func (j *journal) begin(r *run) *run {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
	return r
}

func (u *upstream) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go u.serveConn(conn)
	}
}

// register keeps the upstream's entry in the store current, as PROTOCOL.md tells.
func (u *upstream) register(s *store, every time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		u.write(s)
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

func (u *upstream) write(s *store) {
	u.mu.Lock()
	u.seq++
	entry := map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "slots": u.slots,
		"state": u.state, "coldRemaining": "0ms", "seq": u.seq,
	}
	u.mu.Unlock()
	s.put("servers/"+u.id, entry)
}

// maxQueue is how many requests wait for a slot at an upstream.
const maxQueue = 24

func (u *upstream) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late []byte // a second copy of the last answer, sent where the next answer is due
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if u.raw != nil && u.raw(request, conn) {
			return
		}
		if len(late) > 0 {
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer, isShed := u.answer(request)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		u.journal.mu.Lock()
		u.journal.answers++
		if isShed {
			u.journal.shed++
		}
		u.journal.mu.Unlock()
		if u.doubles != nil && u.doubles(request, isShed) {
			late = answer
			u.journal.mu.Lock()
			u.journal.doubled++
			u.journal.mu.Unlock()
		}
	}
}

func (u *upstream) answer(request *http.Request) (answer []byte, isShed bool) {
	id := request.Header.Get("Fuchsiapick-Request-Id")
	switch expected := request.Header.Get("Fuchsiapick-Expected-Instance"); {
	case expected != "" && expected != u.id:
		return fmt.Appendf(nil, "HTTP/1.1 421 Misdirected Request\r\nFuchsiapick-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id), true
	case request.URL.Path == "/health":
		return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nFuchsiapick-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", u.id), false
	case id == "":
		return []byte("HTTP/1.1 400 Bad Request\r\nFuchsiapick-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"), true
	}
	u.mu.Lock()
	isFull := u.running >= u.slots+maxQueue
	if !isFull {
		u.running++
	}
	u.mu.Unlock()
	if isFull || (u.sheds != nil && u.sheds(request)) {
		if !isFull {
			u.done()
		}
		// The answer of "a server sheds" in the examples of the wire.
		return []byte("HTTP/1.1 503 Service Unavailable\r\nFuchsiapick-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"), true
	}
	defer u.done()
	r := u.journal.begin(&run{
		ID: id, Upstream: u.id, Path: request.URL.Path, Caller: request.Header.Get("Fuchsiapick-Caller-Service"), Began: time.Now(),
	})
	work := 20 * time.Millisecond
	if u.work != nil {
		work = u.work(request)
	}
	status := 200
	if limit, err := strconv.Atoi(request.Header.Get("Fuchsiapick-Deadline-Ms")); err == nil && work > time.Duration(limit)*time.Millisecond {
		work, status = time.Duration(limit)*time.Millisecond, 504
	}
	time.Sleep(work)
	u.journal.mu.Lock()
	r.Ended, r.Status = time.Now(), status
	u.journal.mu.Unlock()
	var b bytes.Buffer
	text := "ran " + id + "\n"
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nFuchsiapick-Request-Id: %s\r\nFuchsiapick-Response-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, u.id, id, len(text), text)
	return b.Bytes(), false
}

func (u *upstream) done() {
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
}
