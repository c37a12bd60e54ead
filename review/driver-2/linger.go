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
	// The sheet's figures of salon-profile: the mean, the spread and the tail of the work, the route's
	// timeout and the time limit.
	salonMean    = 1700 * time.Millisecond
	salonSpread  = 0.3
	salonTail    = 3
	salonTimeout = 8000 * time.Millisecond
	salonLimit   = 12 * time.Second
	// lingerGrace is the sheet's grace. In its last sixth a run may be broken off.
	lingerGrace = 6 * time.Second
	lingerGap   = 1300 * time.Millisecond
	// lingerSent is when the watched requests are sent after the second SIGTERM.
	lingerSent    = 200 * time.Millisecond
	lingerWatched = 6
)

// runLinger stops two of three nodes in turn. Requests that the second one takes are run by the upstream
// beside the first one, which cuts them at its own end. A request at which its upstream is at work must
// not be broken off before the last sixth of the grace of the node that took it.
func runLinger(r *record, trouble bool) (broken bool, err error) {
	const host = "salons.example"
	s, err := startStore("127.0.0.1", r)
	if err != nil {
		return false, err
	}
	f, err := newFleet(r, s, []string{"salons", "salons", "salons"})
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, zone := range []string{"zone-2", "zone-3"} {
		if err := f.editSettings(zone, "zone-1"); err != nil {
			return false, err
		}
	}
	s.put("op/config", configuration{
		Version: "r7",
		Routes: map[string]route{
			"profile": {Host: host, Prefix: "/salon/", Kind: "safe", Timeout: "8000ms", TargetLatency: "5000ms", Priority: 2, Service: "salons", MaxAttempts: 1},
		},
		Services: map[string]configService{"salons": {HealthPath: "/health", MaxConnections: 390}},
		Limits:   usualLimits(),
	})
	all := &ledger{}
	for i, n := range f.nodes {
		u := &upstream{id: fmt.Sprintf("i-%d", i+1), service: n.service, address: n.own, slots: 7, work: salonMean, record: r, ledger: all}
		u.workOf = salonWork
		if err := startUpstream(u); err != nil {
			return false, err
		}
		u.register(s, "zone-1", 1500*time.Millisecond)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	other, taker := f.nodes[1], f.nodes[0]
	learn(r, taker, host)
	if trouble {
		f.signal(other, syscall.SIGTERM)
		time.Sleep(lingerGap)
		f.signal(taker, syscall.SIGTERM)
	}
	stopped := time.Now()
	time.Sleep(lingerSent)
	var watched sync.WaitGroup
	var mu sync.Mutex
	for i := range lingerWatched {
		watched.Go(func() {
			q := request{id: fmt.Sprintf("long-%d", i), method: http.MethodGet, host: host, path: "/salon/profile", timeout: salonLimit}
			sent := time.Since(stopped)
			r.add("client sends %s, %.3f s after the SIGTERM of %s", q.id, sent.Seconds(), taker.name)
			a := send(taker, q)
			at := time.Since(stopped)
			r.add("client gets for %s, %.3f s after it: %s", q.id, at.Seconds(), a.text())
			isOwn := a.err == nil && a.header.Get("Fuchsiapick-Response-Seal") == "" && a.status >= 500 && a.status != http.StatusServiceUnavailable
			isCut := (a.err != nil && !strings.Contains(a.err.Error(), "refused")) || isOwn
			isExcused := at > lingerGrace*5/6 || at-sent > salonTimeout-200*time.Millisecond
			if trouble && isCut && hasRun(all, q.id) && !isExcused {
				mu.Lock()
				broken = true
				mu.Unlock()
				r.add("LOST: %s was broken off %.3f s after the SIGTERM and %.3f s after it was sent, its upstream at work", q.id, at.Seconds(), (at - sent).Seconds())
			}
		})
	}
	watched.Wait()
	return broken, nil
}

// learn sends requests for a while, so that the node learns how long runs take.
func learn(r *record, n *node, host string) {
	const clients, rounds = 12, 12
	var done sync.WaitGroup
	for c := range clients {
		done.Go(func() {
			for i := range rounds {
				q := request{id: fmt.Sprintf("c-%d-%d", c, i), method: http.MethodGet, host: host, path: "/salon/profile", timeout: salonLimit}
				r.add("client sends %s", q.id)
				a := send(n, q)
				r.add("client gets for %s: %s", q.id, a.text())
			}
		})
	}
	done.Wait()
}

// salonWork draws the work of a request from the distribution of the sheet. The watched requests are
// of its tail.
func salonWork(request *http.Request) time.Duration {
	if strings.HasPrefix(request.Header.Get("Fuchsiapick-Request-Id"), "long-") {
		return salonTail * salonMean
	}
	return time.Duration(float64(salonMean) * math.Exp(rand.NormFloat64()*salonSpread-salonSpread*salonSpread/2))
}
