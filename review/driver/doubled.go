package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// doubledShed plays upstreams that reject part of their requests, with the answer of the example "a
// server sheds". With the disruption (garble, extra late), part of all answers of three of five
// upstreams is followed by a late second copy. Without it the upstreams reject as many.
func doubledShed(p *play) ([]string, error) {
	const (
		span         = 5 * time.Second // as in the site file
		doubledShare = 0.03
		affected     = 3    // of 5 upstreams, a share of 0.6
		shedShare    = 0.55 // of the requests
	)
	var mu sync.Mutex
	isOn := false
	on := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return isOn
	}
	zones := []string{"palermo", "catania", "messina"}
	for i := range 5 {
		u := &upstream{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "conferme", zone: zones[i%3], slots: 3}
		u.work = func(*http.Request) time.Duration { return time.Duration(20+rand.IntN(60)) * time.Millisecond }
		u.sheds = func(*http.Request) bool { return on() && rand.Float64() < shedShare }
		if i < affected {
			u.doubles = func(*http.Request, bool) bool { return p.isTroubled && on() && rand.Float64() < doubledShare }
		}
		if _, err := p.fleet.add(u, 6*time.Second); err != nil {
			return nil, err
		}
	}
	p.fleet.store.put("op/config", map[string]any{
		"version": "r3",
		"routes": map[string]any{
			"r-confirm": map[string]any{"host": "hulo84.example", "prefix": "/xapu221/", "kind": "unsafe", "timeout": "1500ms", "targetLatency": "800ms", "priority": 1, "service": "conferme", "maxAttempts": 2},
		},
		"services": map[string]any{"conferme": map[string]any{"healthPath": "/health", "maxConnections": 390, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	})
	if err := p.fleet.startAll(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 30 {
		clients.Go(func() {
			c := &client{node: p.fleet.nodes[i%len(p.fleet.nodes)]}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				default:
				}
				p.results.add(c.send(http.MethodPost, "hulo84.example", "/xapu221/"+newID(), []byte("shift=7&crew=12"), 3*time.Second))
				time.Sleep(time.Duration(5+rand.IntN(40)) * time.Millisecond)
			}
		})
	}
	set := func(value bool) {
		mu.Lock()
		isOn = value
		mu.Unlock()
		p.note("upstreams reject requests: %v; answers have a late second copy: %v", value, value && p.isTroubled)
	}
	for range 3 {
		time.Sleep(time.Second)
		set(true)
		time.Sleep(span)
		set(false)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(2 * time.Second)
	return p.judgeOnce(), nil
}
