package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// The sheet's figures of roster-view: the mean, the spread and the longest work, the route's
	// timeout and the time limit.
	rosterMean    = 1000 * time.Millisecond
	rosterSpread  = 0.8
	rosterTimeout = 6000 * time.Millisecond
	rosterLimit   = 12 * time.Second
	// rosterLong is the work of the requests that are watched. It is within the sheet's 6,300 ms and
	// the route's timeout.
	rosterLong = 5700 * time.Millisecond
	// leaveGrace is the sheet's grace, leaveAllowed the time after a SIGTERM up to which the rule
	// excuses requests that are still at work in the last sixth of grace.
	leaveGrace   = 10 * time.Second
	leaveAllowed = 3 * time.Second
	leaveClients = 3
	// These are the times after the SIGTERM at which the watched requests are sent.
	leaveFirst, leaveEvery, leaveLong = 4100 * time.Millisecond, 200 * time.Millisecond, 2
)

// runLeave stops two of the three nodes of a zone in turn, as in a rolling restart, and goes on to
// send requests to the second of them: with fewer than half of the zone's nodes in, its clients do.
// A request that the node has passed on must get its upstream's answer.
func runLeave(r *record, trouble bool) (broken bool, err error) {
	const host = "rosa.example"
	s, err := startStore("127.0.0.1", r)
	if err != nil {
		return false, err
	}
	f, err := newFleet(r, s, []string{"squadre", "squadre", "squadre"})
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, zone := range []string{"zone-2", "zone-3"} {
		if err := f.editSettings(zone, "zone-1"); err != nil {
			return false, err
		}
	}
	if err := f.editSettings(`grace = "6s"`, fmt.Sprintf("grace = %q", leaveGrace)); err != nil {
		return false, err
	}
	s.put("op/config", configuration{
		Version: "r7",
		Routes: map[string]route{
			"rosa": {Host: host, Prefix: "/rosa/", Kind: "safe", Timeout: "6000ms", TargetLatency: "3000ms", Priority: 2, Service: "squadre", MaxAttempts: 2},
		},
		Services: map[string]configService{"squadre": {HealthPath: "/health", MaxConnections: 1890}},
		Limits:   usualLimits(),
	})
	all := &ledger{}
	for i, n := range f.nodes {
		u := &upstream{id: fmt.Sprintf("i-%d", i+1), service: n.service, address: n.own, slots: 5, work: rosterMean, record: r, ledger: all}
		u.workOf = rosterWork
		if err := startUpstream(u); err != nil {
			return false, err
		}
		u.register(s, "zone-1", 1500*time.Millisecond)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	other, leaving := f.nodes[1], f.nodes[0]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range leaveClients {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				q := request{id: fmt.Sprintf("c-%d-%d", c, i), method: http.MethodGet, host: host, path: "/rosa/oggi", timeout: rosterLimit}
				r.add("client sends %s", q.id)
				a := send(leaving, q)
				r.add("client gets for %s: %s", q.id, a.text())
				if a.err != nil || a.status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(45 * time.Second) // the node learns how long runs take
	if trouble {
		f.signal(other, syscall.SIGTERM)
		time.Sleep(1400 * time.Millisecond)
		f.signal(leaving, syscall.SIGTERM)
	}
	stopped := time.Now()
	var watched sync.WaitGroup
	var mu sync.Mutex
	for i := range leaveLong {
		watched.Go(func() {
			time.Sleep(time.Until(stopped.Add(leaveFirst + time.Duration(i)*leaveEvery)))
			sent := time.Since(stopped)
			q := request{id: fmt.Sprintf("long-%d", i), method: http.MethodGet, host: host, path: "/rosa/mese", timeout: rosterLimit}
			r.add("client sends %s, %.3f s after the SIGTERM", q.id, sent.Seconds())
			a := send(leaving, q)
			took := time.Since(stopped) - sent
			r.add("client gets for %s after %.3f s: %s", q.id, took.Seconds(), a.text())
			isOwn := a.err == nil && a.header.Get("Fuchsiapick-Response-Seal") == "" && a.status >= 500 && a.status != http.StatusServiceUnavailable
			isCut := (a.err != nil && !strings.Contains(a.err.Error(), "refused")) || isOwn
			if isCut && hasRun(all, q.id) && sent > leaveAllowed && took < rosterTimeout-200*time.Millisecond {
				mu.Lock()
				broken = true
				mu.Unlock()
				r.add("LOST: %s was broken off after %.3f s of its timeout of %v, its upstream at work", q.id, took.Seconds(), rosterTimeout)
			}
		})
	}
	watched.Wait()
	close(stop)
	clients.Wait()
	return broken, nil
}

// hasRun reports whether an upstream has run a request.
func hasRun(l *ledger, id string) bool {
	for _, run := range l.all() {
		if run.id == id {
			return true
		}
	}
	return false
}

// rosterWork draws the work of a request from the distribution of the sheet.
func rosterWork(request *http.Request) time.Duration {
	if strings.HasPrefix(request.Header.Get("Fuchsiapick-Request-Id"), "long-") {
		return rosterLong
	}
	factor := math.Exp(rand.NormFloat64()*rosterSpread - rosterSpread*rosterSpread/2)
	return min(time.Duration(float64(rosterMean)*factor), 6300*time.Millisecond)
}
