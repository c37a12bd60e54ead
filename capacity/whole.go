package capacity

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// wholeNode measures a running node that no caller calls and that reaches no other
// node nor the platform, to hold the sum of the parts against.
func wholeNode() []Measure {
	return []Measure{
		{
			Role: "node", Name: "without callers or other nodes, held", Unit: unitBytes, Against: "nodes in the table, two upstreams each",
			Sizes: nodeCounts(), Target: Nodes,
			Cost: func(n int) (float64, error) {
				return withNode(n, 2*n, func(s measuredNode) (float64, error) { return float64(liveBytes() - s.before), nil })
			},
		},
		{
			Role: "node", Name: "without callers or other nodes, goroutines", Unit: unitCount, Against: "nodes in the table, two upstreams each",
			Sizes: nodeCounts(), Target: Nodes,
			Cost: func(n int) (float64, error) {
				return withNode(n, 2*n, func(measuredNode) (float64, error) { return float64(runtime.NumGoroutine()), nil })
			},
		},
		{
			Role: "node", Name: "without callers or other nodes, a second", Unit: unitMicros, Against: "nodes in the table, two upstreams each",
			Sizes: nodeCounts(), Target: Nodes,
			Cost: func(n int) (float64, error) {
				return withNode(n, 2*n, func(measuredNode) (float64, error) {
					used, err := cpuTimeOnce(func() error { wait(measuredTime); return nil })
					return used / measuredTime.Seconds(), err
				})
			},
		},
		{
			Role: "node", Name: "edition in force, relayed once more", Unit: unitMicros, Against: "upstreams",
			Sizes: upstreams(5, 20, 50, 100), Target: Upstreams,
			Cost: func(n int) (float64, error) {
				return withNode(fewNodes, n, func(s measuredNode) (float64, error) {
					return cpuTime(func() error { s.node.ReceiveTable("", s.edition); return nil })
				})
			},
		},
	}
}

// measuredNode is what alone measures.
type measuredNode struct {
	node    *node.Node
	edition *wire.TableVersion
	// before is the memory in use before the node was made.
	before int64
}

// fewNodes keep peers out of what is measured.
const fewNodes = 10

const (
	// startupTime is left out: the table is parsed and every node dialled once.
	startupTime  = time.Second
	measuredTime = 3 * time.Second
)

// wait lets a running node be; nothing it does marks the end of the span.
func wait(span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	<-timer.C
}

// firstPort of the backend servers, which nothing calls.
const firstPort = 10_000

const nodeSettings = `
node = "alone"
domain = "domain-0"
secret = "a secret of the measures"
[platform]
address = "127.0.0.1:1"
[listen]
caller = "127.0.0.1:0"
link = "127.0.0.1:0"
announce = "127.0.0.1:7000"
admin = "127.0.0.1:0"
`

// withNode runs a node whose table names others that refuse connections, and
// measures it.
func withNode(nodes, upstreams int, cost func(s measuredNode) (float64, error)) (float64, error) {
	waitForGoroutines()
	defer waitForGoroutines()
	s, err := settings.Parse([]byte(nodeSettings))
	if err != nil {
		return 0, errors.Annotate(err, "settings of the node")
	}
	text := []byte(nodeTable(nodes, upstreams))
	if _, err := table.Parse(text); err != nil {
		return 0, errors.Annotate(err, "the node's table")
	}
	before := liveBytes()
	n, err := node.New(node.Config{Settings: s, Log: logging.Silent()})
	if err != nil {
		return 0, errors.Annotate(err, "making the node")
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = n.Run(ctx) // shows as a table that isn't in force
	}()
	defer func() {
		cancel()
		<-ended
	}()
	wait(startupTime) // Run makes the supervisor that the table's peers need
	edition := &wire.TableVersion{Version: 1, Text: text}
	n.ReceiveTable("", edition)
	if n.Version() == 0 {
		return 0, errors.New("the table was not put in force")
	}
	wait(startupTime)
	return cost(measuredNode{node: n, edition: edition, before: before})
}

// nodeTable names the node itself and others, the upstreams spread over them.
func nodeTable(nodes, upstreams int) string {
	var b strings.Builder
	b.WriteString("format = 1\nversion = 1\n")
	for i := range upstreams {
		if i%perService == 0 {
			fmt.Fprintf(&b, "[[service]]\nname = \"service-%d\"\n", i/perService)
		}
		beside := i % nodes
		address, port := "127"+strings.TrimPrefix(ip(beside), "10"), "2"
		if beside == 0 {
			address, port = "127.0.0.1", "7000"
		}
		fmt.Fprintf(&b, "[[service.upstream]]\nname = \"upstream-%d\"\naddress = \"127.0.0.1:%d\"\n"+
			"node = \"%s:%s\"\ndomain = \"domain-%d\"\nslots = 7\n", i, firstPort+i, address, port, beside%Domains)
	}
	b.WriteString("[[route]]\nprefix = \"/\"\nservice = \"service-0\"\n")
	return b.String()
}
