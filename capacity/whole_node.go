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

// wholeNodeMeasures returns the measures of a running node that gets no requests and
// reaches neither another node nor the platform. The sum of the measured parts is checked
// against them.
func wholeNodeMeasures() []Measure {
	return []Measure{
		{
			Role: "node", Name: "without callers or other nodes, held", Unit: unitBytes, Against: "nodes in the table, two upstreams each",
			Sizes: nodeCounts(), Target: Nodes,
			Cost: func(n int) (float64, error) {
				return withNode(n, 2*n, func(m measuredNode) (float64, error) { return float64(liveBytes() - m.memoryBefore), nil })
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
			Sizes: upstreamCounts(5, 20, 50, 100), Target: Upstreams,
			Cost: func(n int) (float64, error) {
				return withNode(fewNodes, n, func(m measuredNode) (float64, error) {
					return cpuTime(func() error { m.node.ReceiveTable("", m.tableVersion); return nil })
				})
			},
		},
	}
}

// measuredNode is the running node that withNode passes to the cost function.
type measuredNode struct {
	node         *node.Node
	tableVersion *wire.TableVersion
	// memoryBefore is the memory in use before the node was created, in bytes.
	memoryBefore int64
}

// fewNodes is the number of nodes in a table if the cost of peers should be negligible.
const fewNodes = 10

const (
	// startupTime is not measured: the node parses its table and dials every other node
	// once.
	startupTime  = time.Second
	measuredTime = 3 * time.Second
)

// wait blocks for the duration while the node runs. It uses a timer because an idle node
// has no event that could mark the end.
func wait(duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	<-timer.C
}

// firstPort is the port of the first backend server. Nothing connects to these ports.
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

// withNode runs a node with a table whose other nodes refuse connections, calls cost with
// it, and returns the result.
func withNode(nodes, upstreams int, cost func(m measuredNode) (float64, error)) (float64, error) {
	waitForGoroutines()
	defer waitForGoroutines()
	s, err := settings.Parse([]byte(nodeSettings))
	if err != nil {
		return 0, errors.Annotate(err, "parsing the node's settings")
	}
	text := []byte(nodeTable(nodes, upstreams))
	if _, err := table.Parse(text); err != nil {
		return 0, errors.Annotate(err, "parsing the node's table")
	}
	before := liveBytes()
	n, err := node.New(node.Config{Settings: s, Log: logging.Silent()})
	if err != nil {
		return 0, errors.Annotate(err, "creating the node")
	}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = n.Run(ctx) // after a failure no table comes into force, which is checked below
	}()
	defer func() {
		cancel()
		<-stopped
	}()
	wait(startupTime) // Run creates the supervisor that the table's peers run under
	version := &wire.TableVersion{Version: 1, Text: text}
	n.ReceiveTable("", version)
	if n.Version() == 0 {
		return 0, errors.New("the node did not put its table in force")
	}
	wait(startupTime)
	return cost(measuredNode{node: n, tableVersion: version, memoryBefore: before})
}

// nodeTable returns the text of a table with the measured node and others, over which the
// upstreams are spread evenly.
func nodeTable(nodes, upstreams int) string {
	var b strings.Builder
	b.WriteString("format = 1\nversion = 1\n")
	for i := range upstreams {
		if i%upstreamsPerService == 0 {
			fmt.Fprintf(&b, "[[service]]\nname = \"service-%d\"\n", i/upstreamsPerService)
		}
		host := i % nodes
		address, port := "127"+strings.TrimPrefix(ip(host), "10"), "2"
		if host == 0 {
			address, port = "127.0.0.1", "7000"
		}
		fmt.Fprintf(&b, "[[service.upstream]]\nname = \"upstream-%d\"\naddress = \"127.0.0.1:%d\"\n"+
			"node = \"%s:%s\"\ndomain = \"domain-%d\"\nslots = 7\n", i, firstPort+i, address, port, host%Domains)
	}
	b.WriteString("[[route]]\nprefix = \"/\"\nservice = \"service-0\"\n")
	return b.String()
}
