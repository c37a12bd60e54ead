package resend_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/resend"
)

const (
	retention       = clock.Millis(1000)
	margin          = clock.Millis(20)
	dispatchTimeout = clock.Millis(60)
	keys            = 2
)

var nodeNames = []string{"a", "b", "c"}

// node is a node with one gate.
type node struct {
	store       *resend.Store[int]
	incarnation int
	gateCreated clock.Millis
}

// entry is an entry with its copy of the table, which is outdated by at most the margin.
type entry struct {
	membership *resend.Membership
	knownSince clock.Millis
	table      []string
	lagsSince  clock.Millis // since when the table is outdated; 0 if it is current
}

type stage int

const (
	lookingUp stage = iota
	selecting
	sent
	running
	finished
)

// send is one send of a key on its way. A resend is looked up at all nodes first.
type send struct {
	send     resend.Send
	entry    int
	age      clock.Millis
	received clock.Millis
	stage    stage
	lookups  []string
	results  []resend.LookupResult

	target      string
	incarnation int
	lease       clock.Millis
}

// simulation executes sends, delays, restarts, evictions, unreachable nodes and table edits
// in random order, and counts the runs of each key.
type simulation struct {
	now          clock.Millis
	nodes        map[string]*node
	table        []string
	entries      []*entry
	sends        []*send
	firstSent    [keys]clock.Millis
	resendNumber [keys]uint32
	seq          uint64
	runs         [keys]int
}

func newSimulation() *simulation {
	sim := &simulation{now: 1, nodes: map[string]*node{}, table: []string{"a", "b"}}
	for _, name := range nodeNames {
		sim.restart(name)
	}
	for range 2 {
		sim.entries = append(sim.entries, sim.newEntry())
	}
	sim.now += 2 * margin
	return sim
}

func (sim *simulation) restart(name string) {
	incarnation := 0
	if old, ok := sim.nodes[name]; ok {
		incarnation = old.incarnation + 1
	}
	sim.nodes[name] = &node{incarnation: incarnation, gateCreated: sim.now, store: resend.NewStore[int](resend.StoreConfig{
		Start: sim.now, Retention: retention, MaxKeys: 3, MaxReply: 1, MaxBytes: 1,
	})}
	for _, s := range sim.sends {
		if s.stage == running && s.target == name {
			s.stage = finished
		}
	}
}

func (sim *simulation) newEntry() *entry {
	e := &entry{membership: resend.NewMembership(retention), knownSince: sim.now, table: slices.Clone(sim.table)}
	e.membership.Update(sim.now, e.table)
	return e
}

func (sim *simulation) updateTable(e *entry) {
	e.table, e.lagsSince = slices.Clone(sim.table), 0
	e.membership.Update(sim.now, e.table)
}

func (sim *simulation) advance(duration clock.Millis) {
	for _, e := range sim.entries {
		if e.lagsSince > 0 && sim.now+duration-e.lagsSince >= margin {
			sim.updateTable(e)
		}
	}
	sim.now += duration
}

// edit adds a node to the table or removes one. Each entry receives a removal late, on its
// own.
func (sim *simulation) edit(name string) {
	if i := slices.Index(sim.table, name); i < 0 {
		sim.table = append(sim.table, name)
		sim.nodes[name].gateCreated = sim.now
		for _, e := range sim.entries {
			sim.updateTable(e)
		}
	} else if len(sim.table) > 1 {
		sim.table = slices.Delete(slices.Clone(sim.table), i, i+1)
		for _, e := range sim.entries {
			if e.lagsSince == 0 {
				e.lagsSince = sim.now
			}
		}
	}
}

func (sim *simulation) newSend(key, e int, isResend, sameNumber bool) {
	sim.seq++
	s := &send{entry: e, received: sim.now, stage: selecting, send: resend.Send{
		Key: resend.Key{Caller: "palermo", Service: "conferme", Text: fmt.Sprint(key)},
	}}
	if isResend {
		if !sameNumber {
			sim.resendNumber[key]++
		}
		s.stage, s.age = lookingUp, sim.now-sim.firstSent[key]
		s.send.Precedence = resend.Precedence{Number: max(sim.resendNumber[key], 1), Seq: sim.seq}
		s.lookups = sim.entries[e].membership.Nodes(sim.now, resend.MaxAge(s.age, margin))
	}
	sim.sends = append(sim.sends, s)
}

// sendKey sends a key for the first time or again.
func (sim *simulation) sendKey(t *rapid.T) {
	key, e := rapid.IntRange(0, keys-1).Draw(t, "key"), rapid.IntRange(0, 1).Draw(t, "entry")
	isResend := sim.firstSent[key] > 0
	if !isResend {
		sim.firstSent[key] = sim.now
	}
	sim.newSend(key, e, isResend, rapid.Bool().Draw(t, "again"))
}

// stepRandomSend advances a random send that isn't finished.
func (sim *simulation) stepRandomSend(t *rapid.T, steps int) {
	sim.sends = slices.DeleteFunc(sim.sends, func(s *send) bool { return s.stage == finished })
	if len(sim.sends) == 0 {
		return
	}
	s := rapid.SampledFrom(sim.sends).Draw(t, "send")
	for range steps {
		sim.step(t, s)
	}
}

func (sim *simulation) keyIndex(s *send) int {
	return int(s.send.Key.Text[0] - '0')
}

// step advances a send by one step.
func (sim *simulation) step(t *rapid.T, s *send) {
	switch s.stage {
	case lookingUp:
		sim.lookUp(t, s)
	case selecting:
		table := sim.entries[s.entry].table
		s.target = rapid.SampledFrom(table).Draw(t, "to")
		s.incarnation, s.lease, s.stage = sim.nodes[s.target].incarnation, sim.now+dispatchTimeout, sent
	case sent:
		sim.arrive(t, s)
	case running:
		sim.endRun(t, s)
	case finished:
	}
}

func (sim *simulation) lookUp(t *rapid.T, s *send) {
	if len(s.lookups) > 0 {
		n := sim.nodes[s.lookups[0]]
		s.lookups = s.lookups[1:]
		result := resend.LookupResult{}
		if rapid.IntRange(0, 9).Draw(t, "reach") > 0 {
			result.Answered = true
			result.Status, _ = n.store.Revoke(sim.now, s.send)
			result.Covers = n.store.Covers(sim.now)
		}
		s.results = append(s.results, result)
		return
	}
	d := resend.Resolve(resend.Lookup{
		Age: s.age + sim.now - s.received, KnownFor: sim.now - sim.entries[s.entry].knownSince, Retention: retention, Margin: margin,
	}, s.results)
	s.stage = finished
	if d.Action == resend.Run {
		s.stage = selecting
	}
}

func (sim *simulation) arrive(t *rapid.T, s *send) {
	n := sim.nodes[s.target]
	s.stage = finished
	if n.incarnation == s.incarnation && sim.now <= s.lease {
		s.send.Received, s.send.GateCreated = s.received, n.gateCreated
		if status, _ := n.store.Begin(sim.now, s.send); status == resend.Free {
			sim.runs[sim.keyIndex(s)]++
			s.stage = running
			return
		}
	}
	if rapid.Bool().Draw(t, "retry") { // the send wasn't run
		s.stage = selecting
	}
}

func (sim *simulation) endRun(t *rapid.T, s *send) {
	store := sim.nodes[s.target].store
	s.stage = finished
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		store.RecordReply(s.send.Key, 1, 1)
	case 1:
		store.RecordReply(s.send.Key, 1, 2) // too large to be kept
	case 2:
		store.RecordLost(s.send.Key)
	case 3: // the backend server shed the request: it didn't run
		store.RecordNotRun(s.send.Key)
		sim.runs[sim.keyIndex(s)]--
		s.stage = selecting
	}
}

// Guards against a key that runs twice. A caller whose replies are lost resends the key
// again and again with a correct age, while nodes restart, evict records, are unreachable,
// and are added to and removed from the table.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"tick":    func(t *rapid.T) { sim.advance(clock.Millis(rapid.IntRange(1, 8).Draw(t, "span"))) },
			"advance": func(t *rapid.T) { sim.advance(clock.Millis(rapid.IntRange(1, 600).Draw(t, "span"))) },
			"send":    sim.sendKey,
			"resend":  sim.sendKey,
			"step":    func(t *rapid.T) { sim.stepRandomSend(t, 1) },
			"steps":   func(t *rapid.T) { sim.stepRandomSend(t, rapid.IntRange(2, 8).Draw(t, "steps")) },
			"other keys": func(t *rapid.T) {
				name := rapid.SampledFrom(nodeNames).Draw(t, "node")
				sim.seq++
				sim.nodes[name].store.Revoke(sim.now, resend.Send{
					Key: resend.Key{Text: fmt.Sprint("other", sim.seq)}, Precedence: resend.Precedence{Number: 1},
				})
			},
			"restart":       func(t *rapid.T) { sim.restart(rapid.SampledFrom(nodeNames).Draw(t, "node")) },
			"edit":          func(t *rapid.T) { sim.edit(rapid.SampledFrom(nodeNames).Draw(t, "node")) },
			"restart entry": func(t *rapid.T) { sim.entries[rapid.IntRange(0, 1).Draw(t, "entry")] = sim.newEntry() },
			"": func(t *rapid.T) {
				for key, runs := range sim.runs {
					if runs > 1 {
						t.Fatalf("key %d: got %d runs, want at most 1", key, runs)
					}
				}
			},
		})
	})
}
