package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// maxResends is how often the client sends its request again after an answer that asks for it.
const maxResends = 3

// hasRunAt reports whether an upstream has run a request.
func hasRunAt(l *ledger, id, upstream string) bool {
	for _, run := range l.all() {
		if run.id == id && run.upstream == upstream {
			return true
		}
	}
	return false
}

// resetProxy passes a connection on to a node, until it is told to reset it.
type resetProxy struct {
	address string
	conns   chan [2]*net.TCPConn
}

func startResetProxy(ip, target string) (*resetProxy, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &resetProxy{address: listener.Addr().String(), conns: make(chan [2]*net.TCPConn, 1)}
	go func() {
		defer func() { _ = listener.Close() }()
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", target)
		if err != nil {
			_ = client.Close()
			return
		}
		pair := [2]*net.TCPConn{client.(*net.TCPConn), server.(*net.TCPConn)}
		p.conns <- pair
		go func() { _, _ = pair[0].ReadFrom(pair[1]) }()
		_, _ = pair[1].ReadFrom(pair[0])
	}()
	return p, nil
}

// reset resets both connections.
func (p *resetProxy) reset() {
	for _, conn := range <-p.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// runKeys sends an operation of each of two tenants, which number their operations alike, and resets
// the connection of one of them while its request runs. Its client sends the request again, as
// docs/callers.md says. No client may get an answer that belongs to another request than its own or
// an earlier attempt at it.
func runKeys(r *record, trouble bool) (broken bool, err error) {
	const (
		host      = "turni.example"
		path      = "/turni/conferma"
		operation = "turno-2026-12-07-1"
	)
	s, err := startStore("127.0.0.1", r)
	if err != nil {
		return false, err
	}
	f, err := newFleet(r, s, []string{"conferme", "conferme", "conferme"})
	if err != nil {
		return false, err
	}
	defer f.close()
	s.put("op/config", configuration{
		Version: "r7",
		Routes: map[string]route{
			"conferma": {Host: host, Prefix: "/turni/", Kind: "unsafe", Timeout: "4000ms", TargetLatency: "2500ms", Priority: 1, Service: "conferme", MaxAttempts: 2},
		},
		Services: map[string]configService{"conferme": {HealthPath: "/health", MaxConnections: 390}},
		Limits:   usualLimits(),
		Tenants: map[string]tenant{
			"albergo": {APIKeys: []string{"key-of-albergo"}, RatePerS: 62, Burst: 62},
			"clinica": {APIKeys: []string{"key-of-clinica"}, RatePerS: 62, Burst: 62},
		},
	})
	all := &ledger{}
	for i, n := range f.nodes {
		u := &upstream{id: fmt.Sprintf("i-%d", i+1), service: n.service, address: n.own, slots: 1, work: 300 * time.Millisecond, record: r, ledger: all}
		u.workOf = func(request *http.Request) time.Duration {
			if request.Header.Get("Fuchsiapick-Tenant") == "clinica" {
				return 2500 * time.Millisecond // a slower confirmation
			}
			return u.work
		}
		if err := startUpstream(u); err != nil {
			return false, err
		}
		u.register(s, fmt.Sprintf("zone-%d", i+1), 1500*time.Millisecond)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(14 * time.Second) // docs/callers.md: the nodes have to run for 10 s before a key is sent
	// A second client of the node keeps its connection: one of two is reset.
	kept, err := net.DialTimeout("tcp", f.nodes[1].outbound, time.Second)
	if err != nil {
		return false, err
	}
	defer func() { _ = kept.Close() }()
	proxy, err := startResetProxy("127.0.0.1", f.nodes[1].outbound)
	if err != nil {
		return false, err
	}
	base := request{method: http.MethodPost, host: host, path: path, operation: operation, timeout: 8 * time.Second}
	first, second := base, base
	first.id, first.key = "albergo-1", "key-of-albergo"
	second.id, second.key = "clinica-1", "key-of-clinica"
	ask := func(q request, address string) chan answer {
		answered := make(chan answer, 1)
		r.add("client sends %s of the tenant of %s to %s", q.id, q.key, address)
		go func() { answered <- sendTo(address, q) }()
		return answered
	}
	own := ask(first, f.nodes[0].outbound)
	time.Sleep(100 * time.Millisecond)
	sent := time.Now()
	other := ask(second, proxy.address)
	attempts := map[string]string{first.id: "albergo", second.id: "clinica"}
	check := func(q request, a answer) {
		r.add("client gets for %s: %s %q", q.id, a.text(), strings.TrimSpace(a.body))
		if a.err != nil || a.status != http.StatusOK {
			return
		}
		answered := strings.TrimPrefix(a.header.Get("Fuchsiapick-Response-Seal"), "seal.")
		if attempts[answered] != attempts[q.id] {
			broken = true
			r.add("MIXED: the client of %s, tenant %s, got the answer to %s of tenant %s", q.id, attempts[q.id], answered, attempts[answered])
		}
	}
	check(first, <-own)
	if trouble {
		time.Sleep(600 * time.Millisecond)
		r.add("the connection of the client of %s is reset", second.id)
		proxy.reset()
		check(second, <-other)
		time.Sleep(50 * time.Millisecond)
		through := f.nodes[2]
		for i, n := range f.nodes {
			if hasRunAt(all, first.id, fmt.Sprintf("i-%d", i+1)) {
				through = n // any node will do; this one knows of the other tenant's request at once
			}
		}
		for number := 1; number <= maxResends; number++ {
			again := second
			again.id = fmt.Sprintf("clinica-%d", number+1)
			attempts[again.id] = attempts[second.id]
			again.resend = fmt.Sprintf("%d; age=%.3f", number, time.Since(sent).Seconds())
			a := <-ask(again, through.outbound)
			check(again, a)
			if a.status != http.StatusConflict {
				break
			}
			time.Sleep(1100 * time.Millisecond) // as Retry-After says
		}
	} else {
		check(second, <-other)
	}
	time.Sleep(2 * time.Second)
	return broken, nil
}

// sendTo sends a request on a new connection to an address and waits for the answer.
func sendTo(address string, r request) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.timeout))
	return exchange(conn, bufio.NewReader(conn), r)
}
