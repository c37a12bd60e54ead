package node

import (
	"maps"
	"strconv"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/health"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

func formatVersion(v uint64) string {
	return strconv.FormatUint(v, 10)
}

// applyGates creates, updates and removes the gates of the upstreams beside this node. A
// removed gate finishes the requests that it has admitted. The caller holds the node's lock.
func (n *Node) applyGates(t *table.Table) {
	named := map[string]bool{}
	for i := range t.Services {
		s := &t.Services[i]
		for _, u := range s.Upstreams {
			if u.Node == n.address() {
				named[u.Name] = true
				n.applyGate(*s, u)
			}
		}
	}
	for name := range n.gates {
		if !named[name] {
			n.retireGate(name)
		}
	}
	n.closeRetiredGates()
}

// retiredGateTTL is how long a removed gate answers entries that ask for the outcome of a dispatch
// at least. It answers for as long as it has a record of one.
const retiredGateTTL = clock.Minute

// retireGate removes a gate, which finishes the requests that it has begun. The gate still
// answers for its dispatches: its upstream may return under the same name, after its
// registration expired or as a new process, while an entry still needs the outcome of a
// request.
func (n *Node) retireGate(name string) {
	g := n.gates[name]
	g.Leave()
	delete(n.gates, name)
	n.retired[name] = g
}

// closeRetiredGates closes the gates that were removed more than retiredGateTTL ago and have no
// record of a dispatch, and makes the other gates drop their predecessors of that kind.
func (n *Node) closeRetiredGates() {
	before := n.clock.Now() - retiredGateTTL
	for name, g := range n.retired {
		g.ForgetPrevious(before)
		if g.IsForgettable(before) {
			delete(n.retired, name)
			g.Close()
		}
	}
	for _, g := range n.gates {
		g.ForgetPrevious(before)
	}
}

// applyGate creates or updates the gate of one upstream. A change of its service or address
// retires the old gate.
func (n *Node) applyGate(s table.Service, u table.Upstream) {
	if g, ok := n.gates[u.Name]; ok && g.Serves(s.Name, u.Address) {
		g.Update(s, u)
		return
	}
	if _, ok := n.gates[u.Name]; ok {
		n.retireGate(u.Name)
	}
	n.gates[u.Name] = gate.New(gate.Config{
		Previous:    n.retired[u.Name],
		Service:     s,
		Upstream:    u,
		Incarnation: n.incarnation,
		Seed:        n.seed + uint64(len(n.gates)),
		Now:         n.clock.Now,
		Backend: gate.NewHTTP(gate.HTTPConfig{
			Address:        u.Address,
			MaxConnections: u.Connections,
			MaxBody:        n.settings.Limits.Answer,
			Answers:        n.answers,
			Headers:        n.upstreamHeaders,
			Instance:       u.Name,
		}),
		Pool:             n.gatePool,
		Recorder:         n.metrics,
		Refusals:         n.metrics,
		Retries:          n.metrics,
		AccountWeight:    n.entry.AccountWeight,
		OnChange:         n.requestHeartbeat,
		DependencyFailed: n.entry.FailedWithin,
		RequestWork:      n.requestWork,
		OnHung:           n.notifyHung,
		SendProfile:      n.sendProfile,
		OnProfile:        n.publishProfile,
		HasProcessNames:  n.upstreamHeaders.Instance != "",
		Keys:             n.keys,
		Crashes:          gateCrashes{n.crashes},
		Panics:           n.panics,
		Log:              n.log,
	})
	n.applyEarlyAnnouncement(u.Name, n.gates[u.Name])
	if n.gatesStop.IsSet() {
		n.gates[u.Name].Depart(n.gatesStop)
	}
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

// gateOrRetired returns the current gate of an upstream or else its retired gate, which still
// knows the outcomes of its dispatches. It returns false if there is neither.
func (n *Node) gateOrRetired(upstream string) (*gate.Gate, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if g, ok := n.gates[upstream]; ok {
		return g, true
	}
	g, ok := n.retired[upstream]
	return g, ok
}

func (n *Node) allGates() []*gate.Gate {
	n.mu.Lock()
	defer n.mu.Unlock()
	gates := make([]*gate.Gate, 0, len(n.gates))
	for _, g := range n.gates {
		gates = append(gates, g)
	}
	return gates
}

// newestGates returns the newest gate of each upstream, current or removed. The others are its
// previous gates.
func (n *Node) newestGates() []*gate.Gate {
	gates := n.allGates()
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, g := range n.retired {
		if n.gates[name] == nil {
			gates = append(gates, g)
		}
	}
	return gates
}

// handleDispatch passes a dispatch to its gate. It answers NotRun if there is no such gate.
func (n *Node) handleDispatch(d *wire.Dispatch, answer func(*wire.Reply)) {
	g, ok := n.gate(d.Upstream)
	if !ok {
		answer(&wire.Reply{
			ID:       d.ID,
			Attempt:  d.Attempt,
			Outcome:  wire.NotRun,
			Reason:   wire.ReasonNoUpstream,
			Time:     n.clock.Now(),
			Upstream: n.unknownUpstreamStatus(d.Upstream),
		})
		return
	}
	g.Handle(d, answer)
}

const (
	// unknownUpstreamDelay is how long an entry sends no requests to an upstream that the
	// node beside it doesn't know: about as long as a change takes to reach all nodes.
	// Without a limit, an upstream that its node learns about a moment later would get no
	// request as long as the entry's process lives.
	unknownUpstreamDelay = 2 * clock.Second
	// staleTableDelay is how long entries must have asked for an unknown upstream before the
	// node suspects that its own table is stale: entries also ask for an upstream that has
	// left until they learn of it, within 2 s.
	staleTableDelay = 2 * unknownUpstreamDelay
)

// unknownUpstreamStatus returns the status that is reported to an entry which asks for an
// upstream that this node doesn't know: the upstream is ejected for unknownUpstreamDelay. The
// upstream has left, or its registration has not arrived here or never will. If entries ask
// for it for staleTableDelay or longer, the node checks its copy of the platform's values.
func (n *Node) unknownUpstreamStatus(upstream string) wire.Upstream {
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

// requestWork asks an entry for a request to an upstream beside this node; entry 0 stands for
// the next entry in turn. It returns false if the message can't be sent.
func (n *Node) requestWork(entry uint64, r *wire.WorkRequest) bool {
	if entry == n.incarnation {
		n.entry.HandleWorkRequest(r)
		return true
	}
	return n.links.SendWorkRequest(entry, r)
}

// notifyHung notifies an entry that one of its runs has most likely hung. If the message is lost,
// the entry keeps waiting for the reply.
func (n *Node) notifyHung(entry uint64, m *wire.HungRun) {
	if entry == n.incarnation {
		n.localWaiters.notifyHung(m)
		return
	}
	n.links.SendHungRun(entry, m)
}

// sendProfile sends an entry what a gate knows about its upstream. Without the message the entry
// chooses by what it knows itself.
func (n *Node) sendProfile(entry uint64, p *wire.UpstreamProfile) {
	if entry == n.incarnation {
		n.entry.UpdateProfile(p)
		return
	}
	n.links.SendProfile(entry, p)
}

// publishProfile passes the profile of an upstream beside this node to all entries that have a
// link here.
func (n *Node) publishProfile(p *wire.UpstreamProfile) {
	n.entry.UpdateProfile(p)
	n.links.BroadcastProfile(p)
}

// Dispatch handles a request from another node's entry.
func (n *Node) Dispatch(from uint64, d *wire.Dispatch) {
	if !n.memory.Adopt(d.Body) {
		n.refuseForMemory(from, d)
		return
	}
	n.handleDispatch(d, func(r *wire.Reply) { n.links.SendReply(from, r) })
}

// refuseForMemory refuses a dispatch whose body this node has no memory for, before its gate knows of it.
func (n *Node) refuseForMemory(from uint64, d *wire.Dispatch) {
	logging.Repeatable(n.log.WithFields(logrus.Fields{"upstream": d.Upstream, "bytes": len(d.Body)})).
		Warn("dispatch refused; no memory is left for its body")
	n.ReleaseReservation(&wire.ReleaseReservation{ID: d.ID, Attempt: d.Attempt, Upstream: d.Upstream})
	n.links.SendReply(from, &wire.Reply{
		ID: d.ID, Attempt: d.Attempt, Outcome: wire.NotRun, Reason: wire.ReasonFull, RetryAfter: clock.Second, Time: n.clock.Now(),
	})
}

// ProbeCapacity answers a capacity probe of another node's entry.
func (n *Node) ProbeCapacity(from uint64, probe *wire.CapacityProbe) {
	n.probeCapacity(probe, func(r *wire.Reservation) { n.links.SendReservation(from, r) })
}

// probeCapacity passes a capacity probe to its gate. Without such a gate it answers
// immediately that nothing is reserved.
func (n *Node) probeCapacity(probe *wire.CapacityProbe, answer func(*wire.Reservation)) {
	g, ok := n.gate(probe.Upstream)
	if !ok {
		answer(&wire.Reservation{
			ID: probe.ID, Attempt: probe.Attempt, Reason: wire.ReasonNoUpstream, Time: n.clock.Now(),
			Upstream: n.unknownUpstreamStatus(probe.Upstream),
		})
		return
	}
	g.ProbeCapacity(probe, answer)
}

// ReleaseReservation releases a slot that an entry has asked for.
func (n *Node) ReleaseReservation(r *wire.ReleaseReservation) {
	if g, ok := n.gate(r.Upstream); ok {
		g.ReleaseReservation(r)
	}
}

// Resolve sends another node's entry the outcome of one of its dispatches. If the gate has the
// reply, it is sent again; otherwise the entry gets a resolution.
func (n *Node) Resolve(from uint64, r *wire.Resolve) {
	g, ok := n.gateOrRetired(r.Upstream)
	if !ok {
		n.links.SendResolution(from, &wire.Resolution{ID: r.ID, Attempt: r.Attempt, Unknown: true, Time: n.clock.Now()})
		return
	}
	resolution, reply := g.Resolve(r)
	if reply != nil {
		n.links.SendReply(from, reply)
		return
	}
	n.links.SendResolution(from, resolution)
}

// gateClient returns the client for the gate of an upstream: in this process, or over a link
// to the node beside the upstream.
func (n *Node) gateClient(u table.Upstream) entry.GateClient {
	if u.Node == n.address() {
		return localGates{n}
	}
	return n.peers[u.Node].link
}
