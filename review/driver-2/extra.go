package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// extraShare, extraUpstreams and extraFor are the doses of garble (extra late) in the list of
	// troubles of the site file: 0.03 of the answers at 0.6 of the upstreams, for 5 s.
	extraShare     = 0.03
	extraUpstreams = 3
	extraFor       = 5 * time.Second
	extraClients   = 4 // for each node
)

// extraBytes are what a faulty upstream sends after a complete response. They name no request.
const extraBytes = "HTTP/1.1 503 Service Unavailable\r\nFuchsiapick-Not-Executed: full\r\nContent-Length: 0\r\n\r\n"

// lateBytes holds the connections on which extra bytes are due.
type lateBytes struct {
	mu  sync.Mutex
	due map[net.Conn]bool
}

// take returns the extra bytes that are due on a connection, and decides whether more will be due
// after this answer.
func (l *lateBytes) take(conn net.Conn, isFaulty bool) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	isDue := l.due[conn]
	l.due[conn] = isFaulty && rand.Float64() < extraShare
	if !isDue {
		return nil
	}
	return []byte(extraBytes)
}

// runExtra sends requests that aren't idempotent, while upstreams send additional bytes after
// complete responses, late. A request that isn't idempotent must not run a second time.
func runExtra(r *record, trouble bool) (broken bool, err error) {
	const host = "turni.example"
	s, err := startStore("127.0.0.1", r)
	if err != nil {
		return false, err
	}
	f, err := newFleet(r, s, []string{"conferme", "conferme", "conferme", "conferme", "conferme"})
	if err != nil {
		return false, err
	}
	defer f.close()
	s.put("op/config", configuration{
		Version: "r7",
		Routes: map[string]route{
			"conferma": {Host: host, Prefix: "/turni/", Kind: "unsafe", Timeout: "1500ms", TargetLatency: "800ms", Priority: 1, Service: "conferme", MaxAttempts: 2},
		},
		Services: map[string]configService{"conferme": {HealthPath: "/health", MaxConnections: 390}},
		Limits:   usualLimits(),
	})
	all := &ledger{}
	var isFaulty atomic.Bool
	for i, n := range f.nodes {
		u := &upstream{id: fmt.Sprintf("i-%d", i+1), service: n.service, address: n.own, slots: 3, work: 10 * time.Millisecond, record: r, ledger: all}
		late := &lateBytes{due: map[net.Conn]bool{}}
		mayFail := i < extraUpstreams
		u.before = func(u *upstream, conn net.Conn, request *http.Request) []byte {
			bytes := late.take(conn, mayFail && isFaulty.Load())
			if len(bytes) > 0 {
				r.add("upstream %s sends additional bytes of an earlier answer, as %s arrives", u.id, request.Header.Get("Fuchsiapick-Request-Id"))
			}
			return bytes
		}
		if err := startUpstream(u); err != nil {
			return false, err
		}
		u.register(s, "zone-1", 1500*time.Millisecond)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	isFaulty.Store(trouble)
	sendSteadily(r, f, host, extraFor)
	isFaulty.Store(false)
	time.Sleep(time.Second)
	return reportTwice(r, all), nil
}

// sendSteadily sends requests from a few clients of each node, which keep their connections.
func sendSteadily(r *record, f *fleet, host string, span time.Duration) {
	var clients sync.WaitGroup
	end := time.Now().Add(span)
	for i, n := range f.nodes {
		for c := range extraClients {
			clients.Go(func() {
				var conn net.Conn
				var reader *bufio.Reader
				for j := 0; time.Now().Before(end); j++ {
					q := request{id: fmt.Sprintf("c-%d-%d-%d", i+1, c, j), method: http.MethodPost, host: host, path: "/turni/conferma", timeout: 3 * time.Second}
					if conn == nil {
						var err error
						if conn, err = net.DialTimeout("tcp", n.outbound, time.Second); err != nil {
							conn = nil
							continue
						}
						reader = bufio.NewReader(conn)
					}
					_ = conn.SetDeadline(time.Now().Add(q.timeout))
					r.add("client sends %s: POST %s", q.id, q.path)
					a := exchange(conn, reader, q)
					r.add("client gets for %s: %s", q.id, a.text())
					if a.err != nil || a.header.Get("Connection") == "close" {
						_ = conn.Close()
						conn = nil
					}
				}
				if conn != nil {
					_ = conn.Close()
				}
			})
		}
	}
	clients.Wait()
}
