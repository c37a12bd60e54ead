package node

import (
	"maps"
	"strconv"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

func formatVersion(v uint64) string {
	return strconv.FormatUint(v, 10)
}

// applyGates makes, edits and removes the gates of the upstreams beside this
// node. A gate that is removed finishes what it has admitted.
func (n *Node) applyGates(t *table.Table) {
	beside := map[string]bool{}
	for i := range t.Services {
		s := &t.Services[i]
		for _, u := range s.Upstreams {
			if u.Node == n.address() {
				beside[u.Name] = true
				n.applyGate(*s, u)
			}
		}
	}
	for name := range n.gates {
		if !beside[name] {
			n.retireGate(name)
		}
	}
	n.closeRetiredGates()
}

// retiredGateTTL is how long a gate that was removed is asked what became of its
// dispatches: longer than the longest deadline of today's routes, 15 s, and the
// memory of a fence.
const retiredGateTTL = clock.Minute

// retireGate removes a gate, which finishes what it has begun. It is asked on: its upstream
// may come back under its name, after its registration lapsed or as another process,
// and an entry may still want to know what became of a request.
func (n *Node) retireGate(name string) {
	g := n.gates[name]
	g.Leave()
	delete(n.gates, name)
	n.retired[name] = retiredGate{gate: g, at: n.clock.Now()}
}

// retiredGate is a gate that was removed.
type retiredGate struct {
	gate *gate.Gate
	at   clock.Millis
}

func (n *Node) closeRetiredGates() {
	before := n.clock.Now() - retiredGateTTL
	for name, r := range n.retired {
		if r.at < before && r.gate.Pending() == 0 {
			delete(n.retired, name)
			r.gate.Close()
		}
	}
	for _, g := range n.gates {
		g.ForgetPrevious(before)
	}
}

func (n *Node) applyGate(s table.Service, u table.Upstream) {
	if g, ok := n.gates[u.Name]; ok && g.Serves(s.Name, u.Address) {
		g.Update(s, u)
		return
	}
	if _, ok := n.gates[u.Name]; ok {
		n.retireGate(u.Name)
	}
	n.gates[u.Name] = gate.New(gate.Config{
		Previous:    n.retired[u.Name].gate,
		Service:     s,
		Upstream:    u,
		Incarnation: n.incarnation,
		Seed:        n.seed + uint64(len(n.gates)),
		Now:         n.clock.Now,
		Backend: gate.NewHTTP(gate.HTTPConfig{
			Address:        u.Address,
			MaxConnections: u.Connections,
			MaxBody:        n.settings.Limits.Answer,
			Headers:        n.upstreamHeaders,
			Instance:       u.Name,
		}),
		Pool:             n.gatePool,
		Journal:          n.metrics,
		Refusals:         n.metrics,
		OnChange:         n.requestHeartbeat,
		DependencyFailed: n.entry.FailedWithin,
		RequestWork:      n.requestWork,
		OnHung:           n.notifyHung,
		Keys:             n.keys,
		Crashes:          gateCrashes{n.crashes},
		Log:              n.log,
	})
	if n.leaving {
		n.gates[u.Name].Leave()
	}
}

func (n *Node) gate(upstream string) (*gate.Gate, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	g, ok := n.gates[upstream]
	return g, ok
}

// gateOrRetired is the gate that knows what became of an upstream's dispatches.
func (n *Node) gateOrRetired(upstream string) (*gate.Gate, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if g, ok := n.gates[upstream]; ok {
		return g, true
	}
	r, ok := n.retired[upstream]
	return r.gate, ok
}

func (n *Node) allGates() []*gate.Gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]*gate.Gate, 0, len(n.gates))
	for _, g := range n.gates {
		all = append(all, g)
	}
	return all
}

// handle gives a dispatch to its gate.
func (n *Node) handle(d *wire.Dispatch, answer func(*wire.Reply)) {
	g, ok := n.gate(d.Upstream)
	if !ok {
		answer(&wire.Reply{
			ID:       d.ID,
			Attempt:  d.Attempt,
			Outcome:  wire.NotRun,
			Reason:   wire.ReasonNoUpstream,
			Time:     n.clock.Now(),
			Upstream: n.unknownUpstream(d.Upstream),
		})
		return
	}
	g.Handle(d, answer)
}

const (
	// unknownUpstreamDelay is how long an entry leaves an upstream alone that its node doesn't
	// know: about as long as the news of a change take. Left alone for good, one that
	// its node learns of a moment later would get no request while the entry lives.
	unknownUpstreamDelay = 2 * clock.Second
	// staleTableDelay is for how long an upstream is asked for before its node doubts its
	// own table: entries ask for one that has left until they hear of it, within 2 s.
	staleTableDelay = 2 * unknownUpstreamDelay
)

// unknownUpstream is what entries are told of an upstream that they ask for and this node
// doesn't know. It has left, is not known here yet, or never will be.
func (n *Node) unknownUpstream(upstream string) wire.Upstream {
	now := n.clock.Now()
	n.mu.Lock()
	first, ok := n.unknownUpstreams[upstream]
	if !ok || now-first > retiredGateTTL {
		first = now
		n.unknownUpstreams[upstream] = now
	}
	maps.DeleteFunc(n.unknownUpstreams, func(_ string, at clock.Millis) bool { return now-at > retiredGateTTL })
	n.mu.Unlock()
	if now-first >= staleTableDelay && n.follower != nil {
		n.follower.Suspect()
	}
	return wire.Upstream{Name: upstream, State: uint8(health.Ejected), Severity: 1, Until: unknownUpstreamDelay}
}

// requestWork asks an entry for a request to an upstream beside this node.
func (n *Node) requestWork(entry uint64, i *wire.WorkRequest) bool {
	if entry == n.incarnation {
		n.entry.HandleWorkRequest(i)
		return true
	}
	return n.links.SendWorkRequest(entry, i)
}

// notifyHung tells an entry of a run that most likely comes to no end. One that doesn't hear it
// waits on.
func (n *Node) notifyHung(entry uint64, s *wire.HungRun) {
	if entry == n.incarnation {
		n.localWaiters.notifyHung(s)
		return
	}
	n.links.SendHungRun(entry, s)
}

// Dispatch takes in a request from another node's entry.
func (n *Node) Dispatch(from uint64, d *wire.Dispatch) {
	n.handle(d, func(r *wire.Reply) { n.links.SendReply(from, r) })
}

// ProbeCapacity answers another node's entry that looks for a slot.
func (n *Node) ProbeCapacity(from uint64, e *wire.CapacityProbe) {
	n.probeCapacity(e, func(h *wire.Reservation) { n.links.SendReservation(from, h) })
}

func (n *Node) probeCapacity(e *wire.CapacityProbe, answer func(*wire.Reservation)) {
	g, ok := n.gate(e.Upstream)
	if !ok {
		answer(&wire.Reservation{
			ID: e.ID, Attempt: e.Attempt, Reason: wire.ReasonNoUpstream, Time: n.clock.Now(),
			Upstream: n.unknownUpstream(e.Upstream),
		})
		return
	}
	g.ProbeCapacity(e, answer)
}

// ReleaseReservation lets go of a slot that an entry asked for.
func (n *Node) ReleaseReservation(w *wire.ReleaseReservation) {
	if g, ok := n.gate(w.Upstream); ok {
		g.ReleaseReservation(w)
	}
}

// Resolve answers another node's entry about one of its dispatches.
func (n *Node) Resolve(from uint64, s *wire.Resolve) {
	g, ok := n.gateOrRetired(s.Upstream)
	if !ok {
		n.links.SendResolution(from, &wire.Resolution{ID: s.ID, Attempt: s.Attempt, Unknown: true, Time: n.clock.Now()})
		return
	}
	settled, reply := g.Resolve(s)
	if reply != nil {
		n.links.SendReply(from, reply)
		return
	}
	n.links.SendResolution(from, settled)
}

// target returns the way to the node beside an upstream.
func (n *Node) target(u table.Upstream) entry.GateClient {
	if u.Node == n.address() {
		return localTarget{n}
	}
	return n.peers[u.Node].link
}
