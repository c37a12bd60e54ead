package cmd_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiapick.example/fuchsiapick/table"
)

// TestSoakStarts starts the nodes of a fleet again and again while something is in their way: the
// process before still leaves, another program has a port, the settings file is half written, or
// a signal comes during the start. No node may end by itself, and each one serves in the end. Run
// fifty seeds by hand with
//
//	go test ./cmd -run TestSoakStarts -soak.seeds 50 -soak.first 1 -timeout 60m
func TestSoakStarts(t *testing.T) {
	runSoak(t, func(seed uint64, without []int) string { return newStartPlan(seed, without).text() })
}

// startPlan is a run of a fleet whose nodes are started under difficulties, drawn from a seed.
type startPlan struct {
	plan

	seed uint64
	// processes holds the name of each node's process, by the node's number, less one.
	processes []string
	starts    int
}

// Limits of a plan of starts.
const (
	startNodes                 = 3
	minDisturbed, maxDisturbed = 5, 8
	startGrace                 = 3 * time.Second
	// obstacleTime is the longest time for which a start is impeded.
	obstacleTime = 1500 * time.Millisecond
	// startTime is the longest time after the start of a process at which it gets a signal.
	startTime = 60 * time.Millisecond
)

func newStartPlan(seed uint64, leftOut []int) *startPlan {
	p := &startPlan{
		plan: plan{
			random: rand.New(rand.NewPCG(seed, 9)), nodes: startNodes, caution: "balanced",
			waiting: "gates", placement: "near", leftOut: leftOut,
		},
		seed: seed,
	}
	for i := range p.nodes {
		p.processes = append(p.processes, fmt.Sprintf("n%d", i+1))
	}
	return p
}

// text returns the plan as a script.
func (p *startPlan) text() string {
	p.addLine("env GRACE=%v", startGrace)
	p.addSetUp()
	disturbed := minDisturbed + p.random.IntN(maxDisturbed-minDisturbed+1)
	for number := 1; number <= disturbed; number++ {
		if slices.Contains(p.leftOut, number) {
			continue
		}
		// Each start has draws of its own, so that they stay when others are left out.
		p.random = rand.New(rand.NewPCG(p.seed, uint64(100+number)))
		p.addLine("\n# start %d", number)
		p.addDisturbedStart(1 + p.random.IntN(p.nodes))
		p.addRest(obstacleTime / 2)
	}
	p.addEnd()
	return strings.Join(p.lines, "\n") + "\n" + strings.Join(p.tables, "")
}

// addDisturbedStart adds the lines that replace a node's process, with something in its way.
func (p *startPlan) addDisturbedStart(n int) {
	old := p.processes[n-1]
	switch p.random.IntN(6) {
	case 0: // the process before still leaves
		p.addLine("sigterm %s", old)
		p.addRest(obstacleTime)
		p.addStart(n)
		p.addLine("gone %s", old)
	case 1: // the process before was killed a moment ago
		p.addLine("sigkill %s", old)
		p.addStart(n)
	case 2: // another program has a port
		port := []string{"C", "L", "A"}[p.random.IntN(3)]
		p.addLine("sigkill %s\ngone %s\nports ADMIN%d NOBODY%d", old, old, p.starts, p.starts)
		holder := fmt.Sprintf("holder%d", p.starts)
		p.addLine("start %s standin relay --address $%s_n%d --target $NOBODY%d --admin $ADMIN%d", holder, port, n, p.starts, p.starts)
		p.addLine("await 200 http://$ADMIN%d/standin/stats", p.starts)
		p.addStart(n)
		p.addRest(obstacleTime)
		p.addLine("sigkill %s", holder)
	case 3: // the settings file is being written
		p.addLine("sigkill %s\ngone %s\nhalve n%d.toml", old, old, n)
		p.addStart(n)
		p.addRest(obstacleTime / 2)
		p.addLine("complete n%d.toml", n)
	case 4: // SIGTERM during the start, and a start after it
		p.addLine("sigkill %s\ngone %s", old, old)
		p.addStart(n)
		p.addRest(startTime)
		p.addLine("sigterm %s\ngone %s", p.processes[n-1], p.processes[n-1])
		p.addStart(n)
	default: // many starts in series, each ended by a kill
		for range 2 + p.random.IntN(3) {
			p.addLine("sigkill %s\ngone %s", p.processes[n-1], p.processes[n-1])
			p.addStart(n)
			p.addRest(startTime)
		}
	}
	p.addLine("await 200 http://$A_n%d/readyz", n)
}

// addStart adds the start of another process of a node.
func (p *startPlan) addStart(n int) {
	p.starts++
	p.processes[n-1] = fmt.Sprintf("n%dx%d", n, p.starts)
	p.addLine("start %s fuchsiapick node --settings n%d.toml", p.processes[n-1], n)
}

func (p *startPlan) addRest(longest time.Duration) {
	p.addLine("rest %v", time.Duration(p.random.Int64N(int64(longest))).Round(time.Millisecond))
}

// addEnd adds the lines that check the results.
func (p *startPlan) addEnd() {
	p.addLine("\n# Each node serves, and no outcome contradicts what the backend servers ran.")
	p.addPublish()
	for i := range p.nodes {
		p.addLine("await 200 http://$A_n%d/metrics 'fuchsiapick_table_version %d'", i+1, p.version)
		p.addLine("recovered POST http://$C_n%d/conferme", i+1)
	}
	p.addLine("join confirms")
	p.addLine("join views")
	p.addLine("versions %s", strings.Join(p.processes, " "))
	p.addLine("judge %s", p.forEachNode("$BN"))
	p.addLine("timely %v %s\n", table.DefaultDeadline, p.forEachNode("nN"))
}

// halveFile implements "halve FILE": it cuts a file in the middle, as a reader finds it that comes
// while it is written. completeFile implements "complete FILE": it writes the rest.
func halveFile(ts *testscript.TestScript, _ bool, args []string) {
	text := ts.ReadFile(args[0])
	ts.Check(os.WriteFile(ts.MkAbs(args[0]+".whole"), []byte(text), 0o600))
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text[:len(text)/2]), 0o600))
}

func completeFile(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(ts.ReadFile(args[0]+".whole")), 0o600))
}
