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
	retention = clock.Millis(1000)
	margin    = clock.Millis(20)
	budget    = clock.Millis(60)
	keys      = 2
)

var names = []string{"a", "b", "c"}

// node is one node with one gate.
type node struct {
	memory      *resend.Store[int]
	incarnation int
	gate        clock.Millis
}

// entry is one entry's view. Its table lags by at most the margin.
type entry struct {
	roster *resend.Membership
	known  clock.Millis
	table  []string
	lags   clock.Millis // since when; 0 if it doesn't
}

type stage int

const (
	asking stage = iota
	choosing
	sent
	running
	over
)

// send is one send of a key on its way: a marked one asks all nodes first.
type send struct {
	claim    resend.Send
	entry    int
	age      clock.Millis
	received clock.Millis
	stage    stage
	ask      []string
	answers  []resend.LookupResult

	to          string
	incarnation int
	lease       clock.Millis
}

// walk draws sends, delays, restarts, forgetting, unreachable nodes and table
// edits in any order, and counts the runs of each key.
type walk struct {
	now     clock.Millis
	nodes   map[string]*node
	table   []string
	entries []*entry
	sends   []*send
	first   [keys]clock.Millis
	number  [keys]uint32
	seq     uint64
	runs    [keys]int
}

func newWalk() *walk {
	w := &walk{now: 1, nodes: map[string]*node{}, table: []string{"a", "b"}}
	for _, name := range names {
		w.restart(name)
	}
	for range 2 {
		w.entries = append(w.entries, w.newEntry())
	}
	w.now += 2 * margin
	return w
}

func (w *walk) restart(name string) {
	incarnation := 0
	if old, ok := w.nodes[name]; ok {
		incarnation = old.incarnation + 1
	}
	w.nodes[name] = &node{incarnation: incarnation, gate: w.now, memory: resend.NewStore[int](resend.StoreConfig{
		Start: w.now, Retention: retention, MaxKeys: 3, MaxReply: 1, MaxBytes: 1,
	})}
	for _, s := range w.sends {
		if s.stage == running && s.to == name {
			s.stage = over
		}
	}
}

func (w *walk) newEntry() *entry {
	e := &entry{roster: resend.NewMembership(retention), known: w.now, table: slices.Clone(w.table)}
	e.roster.Update(w.now, e.table)
	return e
}

func (w *walk) sync(e *entry) {
	e.table, e.lags = slices.Clone(w.table), 0
	e.roster.Update(w.now, e.table)
}

func (w *walk) advance(span clock.Millis) {
	for _, e := range w.entries {
		if e.lags > 0 && w.now+span-e.lags >= margin {
			w.sync(e)
		}
	}
	w.now += span
}

// edit adds a node to the table or removes one. Entries hear of a removal
// late, each for itself.
func (w *walk) edit(name string) {
	if i := slices.Index(w.table, name); i < 0 {
		w.table = append(w.table, name)
		w.nodes[name].gate = w.now
		for _, e := range w.entries {
			w.sync(e)
		}
	} else if len(w.table) > 1 {
		w.table = slices.Delete(slices.Clone(w.table), i, i+1)
		for _, e := range w.entries {
			if e.lags == 0 {
				e.lags = w.now
			}
		}
	}
}

func (w *walk) newSend(key, e int, marked, again bool) {
	w.seq++
	s := &send{entry: e, received: w.now, stage: choosing, claim: resend.Send{
		Key: resend.Key{Caller: "palermo", Service: "conferme", Text: fmt.Sprint(key)},
	}}
	if marked {
		if !again {
			w.number[key]++
		}
		s.stage, s.age = asking, w.now-w.first[key]
		s.claim.Precedence = resend.Precedence{Number: max(w.number[key], 1), Seq: w.seq}
		s.ask = w.entries[e].roster.Nodes(w.now, resend.MaxAge(s.age, margin))
	}
	w.sends = append(w.sends, s)
}

// draw sends a key for the first time or again.
func (w *walk) draw(t *rapid.T) {
	key, e := rapid.IntRange(0, keys-1).Draw(t, "key"), rapid.IntRange(0, 1).Draw(t, "entry")
	marked := w.first[key] > 0
	if !marked {
		w.first[key] = w.now
	}
	w.newSend(key, e, marked, rapid.Bool().Draw(t, "again"))
}

// some moves one of the sends that aren't over.
func (w *walk) some(t *rapid.T, steps int) {
	w.sends = slices.DeleteFunc(w.sends, func(s *send) bool { return s.stage == over })
	if len(w.sends) == 0 {
		return
	}
	s := rapid.SampledFrom(w.sends).Draw(t, "send")
	for range steps {
		w.step(t, s)
	}
}

func (w *walk) key(s *send) int {
	return int(s.claim.Key.Text[0] - '0')
}

// step moves a send on by one step.
func (w *walk) step(t *rapid.T, s *send) {
	switch s.stage {
	case asking:
		w.ask(t, s)
	case choosing:
		table := w.entries[s.entry].table
		s.to = rapid.SampledFrom(table).Draw(t, "to")
		s.incarnation, s.lease, s.stage = w.nodes[s.to].incarnation, w.now+budget, sent
	case sent:
		w.arrive(t, s)
	case running:
		w.end(t, s)
	case over:
	}
}

func (w *walk) ask(t *rapid.T, s *send) {
	if len(s.ask) > 0 {
		n := w.nodes[s.ask[0]]
		s.ask = s.ask[1:]
		a := resend.LookupResult{}
		if rapid.IntRange(0, 9).Draw(t, "reach") > 0 {
			a.Answered = true
			a.Status, _ = n.memory.Revoke(w.now, s.claim)
			a.Covers = n.memory.Covers(w.now)
		}
		s.answers = append(s.answers, a)
		return
	}
	d := resend.Resolve(resend.Lookup{
		Age: s.age + w.now - s.received, KnownFor: w.now - w.entries[s.entry].known, Retention: retention, Margin: margin,
	}, s.answers)
	s.stage = over
	if d.Action == resend.Run {
		s.stage = choosing
	}
}

func (w *walk) arrive(t *rapid.T, s *send) {
	n := w.nodes[s.to]
	s.stage = over
	if n.incarnation == s.incarnation && w.now <= s.lease {
		s.claim.Received, s.claim.GateCreated = s.received, n.gate
		if standing, _ := n.memory.Begin(w.now, s.claim); standing == resend.Free {
			w.runs[w.key(s)]++
			s.stage = running
			return
		}
	}
	if rapid.Bool().Draw(t, "retry") { // it wasn't run
		s.stage = choosing
	}
}

func (w *walk) end(t *rapid.T, s *send) {
	memory := w.nodes[s.to].memory
	s.stage = over
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		memory.RecordReply(s.claim.Key, 1, 1)
	case 1:
		memory.RecordReply(s.claim.Key, 1, 2) // too large to keep
	case 2:
		memory.RecordLost(s.claim.Key)
	case 3: // shed: it didn't run
		memory.RecordNotRun(s.claim.Key)
		w.runs[w.key(s)]--
		s.stage = choosing
	}
}

// A caller whose answer was lost sends again and again, truthfully marked,
// while nodes restart, forget, can't be reached and come and go with the table.
// A confirmation that runs twice sends a second crew to the same clinic.
func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWalk()
		t.Repeat(map[string]func(*rapid.T){
			"tick":    func(t *rapid.T) { w.advance(clock.Millis(rapid.IntRange(1, 8).Draw(t, "span"))) },
			"advance": func(t *rapid.T) { w.advance(clock.Millis(rapid.IntRange(1, 600).Draw(t, "span"))) },
			"send":    w.draw,
			"resend":  w.draw,
			"step":    func(t *rapid.T) { w.some(t, 1) },
			"steps":   func(t *rapid.T) { w.some(t, rapid.IntRange(2, 8).Draw(t, "steps")) },
			"other keys": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "node")
				w.seq++
				w.nodes[name].memory.Revoke(w.now, resend.Send{
					Key: resend.Key{Text: fmt.Sprint("other", w.seq)}, Precedence: resend.Precedence{Number: 1},
				})
			},
			"restart":       func(t *rapid.T) { w.restart(rapid.SampledFrom(names).Draw(t, "node")) },
			"edit":          func(t *rapid.T) { w.edit(rapid.SampledFrom(names).Draw(t, "node")) },
			"restart entry": func(t *rapid.T) { w.entries[rapid.IntRange(0, 1).Draw(t, "entry")] = w.newEntry() },
			"": func(t *rapid.T) {
				for key, runs := range w.runs {
					if runs > 1 {
						t.Fatalf("key %d: got %d runs, want at most 1", key, runs)
					}
				}
			},
		})
	})
}
