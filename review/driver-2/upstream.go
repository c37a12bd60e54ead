package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that an upstream has run.
type run struct {
	at                                 time.Time
	id, method, path, upstream, tenant string
}

// ledger holds the runs of all upstreams.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// all returns a copy of the runs.
func (l *ledger) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// upstream is a stand-in for one lifetime of a backend server. It serves one request at a time
// on a connection.
type upstream struct {
	id, service, address string
	slots                int
	work                 time.Duration
	record               *record
	ledger               *ledger
	// workOf may be nil. It returns how long the run of a request takes, in place of work.
	workOf func(request *http.Request) time.Duration
	// losesAnswer may be nil. It is called after a run and returns whether its answer is lost with
	// the connection.
	losesAnswer func(request *http.Request) bool

	busy chan struct{}
}

func startUpstream(u *upstream) error {
	listener, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.busy = make(chan struct{}, u.slots)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return nil
}

// register writes the upstream's entry now and with each heartbeat.
func (u *upstream) register(s *store, zone string, heartbeat time.Duration) {
	seq := 0
	write := func() {
		seq++
		s.put("servers/"+u.id, registration{
			Service: u.service, Address: u.address, Zone: zone, Version: "v1", Slots: u.slots,
			State: "ready", ColdRemaining: "0ms", Seq: seq,
		})
	}
	write()
	go func() {
		for range time.Tick(heartbeat) {
			write()
		}
	}()
}

func (u *upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !u.handle(conn, request) {
			return
		}
	}
}

// handle answers one request and returns false if the connection ends.
func (u *upstream) handle(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("Fuchsiapick-Request-Id")
	if request.URL.Path == "/health" {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nFuchsiapick-Instance-Id: "+u.id+"\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if expected := request.Header.Get("Fuchsiapick-Expected-Instance"); expected != "" && expected != u.id {
		u.record.add("upstream %s answers 421 to %s, which names %s", u.id, id, expected)
		return u.answer(conn, id, 421, "Fuchsiapick-Not-Executed: instance\r\n", "")
	}
	if id == "" {
		return u.answer(conn, id, 400, "Fuchsiapick-Not-Executed: id\r\n", "")
	}
	select {
	case u.busy <- struct{}{}:
	default:
		return u.answer(conn, id, 503, "Fuchsiapick-Not-Executed: full\r\n", "")
	}
	u.ledger.add(run{
		at: time.Now(), id: id, method: request.Method, path: request.RequestURI, upstream: u.id,
		tenant: request.Header.Get("Fuchsiapick-Tenant"),
	})
	if u.tellsRuns() {
		u.record.add("upstream %s runs %s: %s %s", u.id, id, request.Method, request.RequestURI)
	}
	work := u.work
	if u.workOf != nil {
		work = u.workOf(request)
	}
	time.Sleep(work)
	<-u.busy
	if u.losesAnswer != nil && u.losesAnswer(request) {
		u.record.add("upstream %s has run %s; its answer is lost", u.id, id)
		return false
	}
	return u.answer(conn, id, 200, "Fuchsiapick-Response-Seal: seal."+id+"\r\n", "run by "+u.id+" for "+id+"\n")
}

// tellsRuns reports whether each run has a line in the record.
func (u *upstream) tellsRuns() bool {
	return u.work >= time.Millisecond
}

func (u *upstream) answer(conn net.Conn, id string, status int, fields, body string) bool {
	if id != "" {
		fields = "Fuchsiapick-Request-Id: " + id + "\r\n" + fields
	}
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %s\r\n\r\n", status, http.StatusText(status), fields, strconv.Itoa(len(body)))
	_, err := io.WriteString(conn, head+body)
	return err == nil
}
