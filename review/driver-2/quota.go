package main

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	quotaTenants = 12
	quotaRate    = 5
	quotaBurst   = 150
	// quotaAsked is how many requests of each tenant come at once.
	quotaAsked = 180
	// The bounds of the sheet.
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.25
	quotaSlack   = 20
)

// runQuota sends the requests of tenants while one node is killed and started again. In no window
// may more of them run than the tenant's allotment allows.
func runQuota(r *record, trouble bool) (broken bool, err error) {
	const host = "turni.example"
	s, err := startStore("127.0.0.1", r)
	if err != nil {
		return false, err
	}
	f, err := newFleet(r, s, []string{"squadre", "squadre", "squadre"})
	if err != nil {
		return false, err
	}
	defer f.close()
	tenants := map[string]tenant{}
	for i := range quotaTenants {
		tenants[fmt.Sprintf("tenant-%d", i)] = tenant{APIKeys: []string{fmt.Sprintf("key-of-tenant-%d", i)}, RatePerS: quotaRate, Burst: quotaBurst}
	}
	s.put("op/config", configuration{
		Version: "r7",
		Routes: map[string]route{
			"rosa": {Host: host, Prefix: "/squadre/", Kind: "safe", Timeout: "3000ms", TargetLatency: "1500ms", Priority: 1, Service: "squadre", MaxAttempts: 2},
		},
		Services: map[string]configService{"squadre": {HealthPath: "/health", MaxConnections: 390}},
		Limits:   usualLimits(),
		Tenants:  tenants,
	})
	all := &ledger{}
	for i, n := range f.nodes {
		u := &upstream{id: fmt.Sprintf("i-%d", i+1), service: n.service, address: n.own, slots: 13, work: 200 * time.Microsecond, record: r, ledger: all}
		if err := startUpstream(u); err != nil {
			return false, err
		}
		u.register(s, fmt.Sprintf("zone-%d", i+1), 1500*time.Millisecond)
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	first, second := f.nodes[0], f.nodes[1]
	askAll(r, first, host, "warm", 1)
	time.Sleep(quotaBurst / 2 / quotaRate * time.Second)
	askAll(r, first, host, "a", quotaAsked)
	if trouble {
		f.kill(first)
	}
	askAll(r, second, host, "b", quotaAsked/2)
	if trouble {
		if err := f.start(first); err != nil {
			return false, err
		}
		if err := f.awaitReady(first, 10*time.Second); err != nil {
			return false, err
		}
	}
	askAll(r, first, host, "c", quotaAsked)
	return reportQuota(r, all), nil
}

// askAll sends requests of all tenants to a node at once, and waits for the answers.
func askAll(r *record, n *node, host, name string, count int) {
	const workers = 16 // for each tenant
	var done sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]map[int]int{}
	for i := range quotaTenants {
		owner := fmt.Sprintf("tenant-%d", i)
		for w := range workers {
			done.Go(func() {
				for j := w; j < count; j += workers {
					a := send(n, request{
						id: fmt.Sprintf("%s-%d-%d", name, i, j), method: http.MethodGet, host: host, path: "/squadre/rosa",
						key: "key-of-" + owner, timeout: 3 * time.Second,
					})
					mu.Lock()
					if statuses[owner] == nil {
						statuses[owner] = map[int]int{}
					}
					statuses[owner][a.status]++
					mu.Unlock()
				}
			})
		}
	}
	r.add("clients of each tenant send %d requests to %s", count, n.name)
	done.Wait()
	for i := range quotaTenants {
		owner := fmt.Sprintf("tenant-%d", i)
		r.add("%s: answers by status (0: none): %v", owner, statuses[owner])
	}
}

// reportQuota records the most runs of each tenant in a window, and returns whether one is over its
// allotment.
func reportQuota(r *record, l *ledger) (broken bool) {
	const allowed = (quotaRate*float64(quotaWindow/time.Second)+quotaBurst)*(1+quotaOverage) + quotaSlack
	at := map[string][]time.Time{}
	for _, run := range l.all() {
		at[run.tenant] = append(at[run.tenant], run.at)
	}
	names := make([]string, 0, len(at))
	for name := range at {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		times := at[name]
		sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
		most, begin := 0, 0
		for end := range times {
			for times[end].Sub(times[begin]) > quotaWindow {
				begin++
			}
			most = max(most, end-begin+1)
		}
		r.add("%s: %d requests ran in one window of %v, %.1f allowed", name, most, quotaWindow, allowed)
		broken = broken || float64(most) > allowed
	}
	return broken
}
