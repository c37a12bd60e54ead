package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// sigtermTwice: two plans stop the same node, the second one while the first still goes on: the node
// gets SIGTERM twice, a second apart, within its grace period. Without the disruption it gets
// SIGTERM once.
func sigtermTwice(p *play) ([]string, error) {
	const (
		grace  = 6 * time.Second
		second = 1 * time.Second // after the first signal
	)
	zones := []string{"palermo", "catania", "messina"}
	for i := range 6 {
		u := &upstream{id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "conferme", zone: zones[i%3], slots: 7}
		u.work = func(*http.Request) time.Duration { return time.Duration(400+rand.IntN(500)) * time.Millisecond }
		if _, err := p.fleet.add(u, grace); err != nil {
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
	for i := range 18 {
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
	var stops []stopped
	for _, n := range p.fleet.nodes {
		time.Sleep(time.Second)
		at := time.Now()
		stops = append(stops, stopped{n.name, at})
		p.note("SIGTERM to %s", n.name)
		if err := n.command.Process.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
		if p.isTroubled {
			time.Sleep(second)
			p.note("second SIGTERM to %s", n.name)
			_ = n.command.Process.Signal(syscall.SIGTERM) // it may have ended
		}
		select {
		case <-n.exited:
			p.note("%s has ended", n.name)
		case <-time.After(time.Until(at.Add(grace))):
			p.note("SIGKILL to %s", n.name)
			_ = n.command.Process.Kill()
			<-n.exited
		}
		if err := p.fleet.start(n); err != nil {
			return nil, err
		}
		for deadline := time.Now().Add(5 * time.Second); !isReady(n) && time.Now().Before(deadline); {
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	return append(p.judgeOnce(), p.judgeLost(stops, grace)...), nil
}

// stopped is a SIGTERM of a node.
type stopped struct {
	node string
	at   time.Time
}

// judgeLost returns how the rule LOST was broken around the stops: a request had been passed on to an
// upstream, and its connection ended without a complete answer, or the node gave an answer of its own
// while the upstream was at work. Not counted are runs that the upstream broke off or that reached
// their time, and those still at work in the last sixth of the grace.
func (p *play) judgeLost(stops []stopped, grace time.Duration) []string {
	j := p.fleet.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	p.results.mu.Lock()
	defer p.results.mu.Unlock()
	runs := map[string]*run{}
	for _, r := range j.runs {
		runs[r.ID] = r
	}
	var breaks []string
	for i := range p.results.all {
		one := &p.results.all[i]
		r := runs[one.ID]
		index := slices.IndexFunc(stops, func(s stopped) bool {
			return s.node == one.Node && one.Answered.After(s.at) && one.Answered.Before(s.at.Add(grace+time.Second))
		})
		if r == nil || index < 0 || one.Seal != "" {
			continue
		}
		at := stops[index].at
		isAtWork := r.Began.Before(one.Answered) && (r.Ended.IsZero() || r.Ended.After(one.Answered))
		isTimeUp := one.Answered.Sub(one.Sent) >= 1500*time.Millisecond
		isLate := one.Answered.After(at.Add(grace * 5 / 6))
		if isTimeUp || isLate || !(isAtWork || one.Problem != "") {
			continue
		}
		end := fmt.Sprintf("the client got %d", one.Status)
		if one.Problem != "" {
			end = "its connection ended without an answer (" + strings.ReplaceAll(one.Problem, "\n", " ") + ")"
		}
		breaks = append(breaks, fmt.Sprintf("LOST: %s, sent to %s %+.3f s from its SIGTERM, at work at %s: %s %.3f s after that SIGTERM",
			one.ID, one.Node, one.Sent.Sub(at).Seconds(), r.Upstream, end, one.Answered.Sub(at).Seconds()))
	}
	return breaks
}
