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
	// callerCount is the number of concurrent callers.
	callerCount = 12
	// requestInterval is the pause between two requests of one caller.
	requestInterval = 4 * time.Millisecond
	// writeShare is the share of POST requests; POST may not be repeated.
	writeShare = 0.3
	// callerTimeout is how long a caller waits for an answer.
	callerTimeout = 5 * time.Second
)

// traffic runs the callers and counts the outcomes of their requests.
type traffic struct {
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	stopOnce sync.Once

	mu       sync.Mutex
	outcomes map[string]int  // by the outcome header; "" counts requests without an answer
	nodes    []*fleet.Member // nodes that callers send requests to
}

// startTraffic starts the callers. They run until stop is called or ctx ends.
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
		t.wg.Go(func() { c.run(ctx, t) })
	}
	return t
}

// stop ends the callers and waits for them. A second call does nothing.
func (t *traffic) stop() {
	t.stopOnce.Do(func() {
		t.cancel()
		t.wg.Wait()
	})
}

func (t *traffic) recordOutcome(outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.outcomes[outcome]++
}

// randomNode returns a random node of those that callers use.
func (t *traffic) randomNode(random *rand.Rand) *fleet.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.nodes[random.IntN(len(t.nodes))]
}

// removeNode removes a node from those that callers use, as its removal from the instance list
// does for real callers.
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

// caller sends one request after another, each through a random node.
type caller struct {
	name   string
	fleet  *fleet.Fleet
	random *rand.Rand
	client *fasthttp.Client
}

func (c *caller) run(ctx context.Context, t *traffic) {
	for sleep(ctx, requestInterval) == nil {
		t.recordOutcome(c.send(t.randomNode(c.random)))
	}
}

// send sends a request on a random route through the node. It returns the outcome that the
// answer's header carries, or "" without an answer.
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
