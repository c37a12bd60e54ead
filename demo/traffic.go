package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/fleet"
)

const (
	// callerCount come at once, each on its own.
	callerCount = 12
	// requestInterval between two requests of one caller.
	requestInterval = 4 * time.Millisecond
	// writeShare is the share of requests that may not be repeated.
	writeShare    = 0.3
	callerTimeout = 5 * time.Second
)

// traffic is callers at work.
type traffic struct {
	cancel   context.CancelFunc
	group    sync.WaitGroup
	stopOnce sync.Once

	mu       sync.Mutex
	outcomes map[string]int
	nodes    []*fleet.Member // that callers use
}

func startTraffic(ctx context.Context, f *fleet.Fleet) *traffic {
	ctx, cancel := context.WithCancel(ctx)
	t := &traffic{cancel: cancel, outcomes: map[string]int{}, nodes: slices.Clone(f.Members)}
	for i := range callerCount {
		c := &caller{
			name:   fmt.Sprintf("caller-%d", i+1),
			fleet:  f,
			random: rand.New(rand.NewPCG(uint64(i), 1)),
			client: &fasthttp.Client{},
		}
		t.group.Go(func() { c.run(ctx, t) })
	}
	return t
}

func (t *traffic) stop() {
	t.stopOnce.Do(func() {
		t.cancel()
		t.group.Wait()
	})
}

func (t *traffic) count(outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcome]++
}

// randomNode draws one of the nodes that callers use.
func (t *traffic) randomNode(random *rand.Rand) *fleet.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nodes[random.IntN(len(t.nodes))]
}

// removeNode takes a node out, as callers do that follow the instance list.
func (t *traffic) removeNode(m *fleet.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nodes = slices.DeleteFunc(slices.Clone(t.nodes), func(other *fleet.Member) bool { return other == m })
}

func (t *traffic) summary() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("Callers heard: %d served, %d not run, %d unknown, %d without an answer.",
		t.outcomes["served"], t.outcomes["not-run"], t.outcomes["unknown"], t.outcomes[""])
}

// caller sends one request after another through nodes at random.
type caller struct {
	name   string
	fleet  *fleet.Fleet
	random *rand.Rand
	client *fasthttp.Client
}

func (c *caller) run(ctx context.Context, t *traffic) {
	for sleep(ctx, requestInterval) == nil {
		t.count(c.send(t.randomNode(c.random)))
	}
}

func (c *caller) send(m *fleet.Member) string {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	route := c.fleet.Table.Routes[c.random.IntN(len(c.fleet.Table.Routes))]
	request.SetRequestURI("http://" + m.Caller + route.Prefix + "today")
	request.Header.Set(entry.HeaderCaller, c.name)
	request.SetConnectionClose()
	if c.random.Float64() < writeShare {
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBodyString("entry")
	}
	if err := c.client.DoTimeout(request, response, callerTimeout); err != nil {
		return ""
	}
	return string(response.Header.Peek(entry.HeaderOutcome))
}
