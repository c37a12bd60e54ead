package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// These are the doses of answer_lost on the day trouble-1 of the site file:
	// two of five answers at three of five upstreams, for lostFor.
	lostOf, lostEach = 2, 5
	lostUpstreams    = 3
	lostFor          = 4 * time.Second
)

// pathSent are the paths of the requests: none of them begins with the prefix of the safe route.
var pathSent = []string{"/turni/elenco", "/turni/elenco%2F7"}

// runPath sends requests on an unsafe route whose path is close to the prefix of a safe route of
// the same service, while upstreams lose answers. A request that isn't idempotent must not run a
// second time.
func runPath(r *record, trouble bool) (broken bool, err error) {
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
			"elenco":   {Host: host, Prefix: "/turni/elenco/", Kind: "safe", Timeout: "1500ms", TargetLatency: "800ms", Priority: 2, Service: "conferme", MaxAttempts: 2},
		},
		Services: map[string]configService{"conferme": {HealthPath: "/health", MaxConnections: 390}},
		Limits:   usualLimits(),
	})
	all := &ledger{}
	var losesAnswers atomic.Bool
	for i, n := range f.nodes {
		u := &upstream{id: fmt.Sprintf("i-%d", i+1), service: n.service, address: n.own, slots: 3, work: 20 * time.Millisecond, record: r, ledger: all}
		var answers atomic.Int64
		isLossy := i < lostUpstreams
		u.losesAnswer = func(*http.Request) bool {
			return losesAnswers.Load() && isLossy && answers.Add(1)%lostEach < lostOf
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
	losesAnswers.Store(trouble)
	begun := time.Now()
	for i := 0; time.Since(begun) < lostFor; i++ {
		path := pathSent[i%len(pathSent)]
		q := request{id: fmt.Sprintf("c-%d", i), method: http.MethodPost, host: host, path: path, timeout: 3 * time.Second}
		r.add("client sends %s: POST %s, which only the unsafe route allows", q.id, path)
		a := send(f.nodes[i%len(f.nodes)], q)
		r.add("client gets for %s: %s", q.id, a.text())
		time.Sleep(40 * time.Millisecond)
	}
	losesAnswers.Store(false)
	time.Sleep(time.Second)
	return reportTwice(r, all), nil
}

// reportTwice records the requests that ran more than once, and returns whether there are any.
func reportTwice(r *record, l *ledger) bool {
	counts, first := map[string]int{}, []string{}
	for _, run := range l.all() {
		if counts[run.id]++; counts[run.id] == 2 {
			first = append(first, run.id)
		}
	}
	for _, id := range first {
		r.add("TWICE: %s ran %d times", id, counts[id])
	}
	r.add("%d requests ran, %d of them more than once", len(counts), len(first))
	return len(first) > 0
}
