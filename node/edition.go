package node

import (
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/versionguard"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	fromPlatform = versionguard.Platform
	fromPeer     = versionguard.Peer
)

// Version returns the version of the table in force, 0 without one.
func (n *Node) Version() uint64 {
	return n.version()
}

// version returns the version of the table in force, 0 without one.
func (n *Node) version() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.versionGuard.Current().Version
}

// offerTable checks a table's text whole and puts it in force if the fence accepts
// it. Only a checked table reaches the fence: a version number alone, in a bad
// frame, could otherwise freeze the configuration for good.
func (n *Node) offerTable(text []byte, source versionguard.Source) {
	log := n.log.WithField("source", string(source))
	t, err := table.Parse(text)
	if err != nil {
		log.WithError(err).Error("table rejected; the last accepted one stays in force")
		n.metrics.RecordEvent(access.Event{At: n.clock.Now(), Kind: access.TableRejected, Reason: err.Error()})
		return
	}
	version := t.Version
	log = log.WithField("version", version)
	n.mu.Lock()
	verdict := n.versionGuard.Propose(versionguard.Candidate{Version: version, Digest: table.Digest(text), Source: source})
	rival, contested := n.versionGuard.Conflicting()
	var changes []table.Change
	if verdict == versionguard.Accept {
		changes = table.Diff(n.table, t)
		n.table, n.tableText = t, text
		n.apply(t)
	}
	n.mu.Unlock()
	if verdict == versionguard.Accept {
		n.links.BroadcastHeartbeat() // a weight given back must not wait for a heartbeat
	}
	n.recordTableOutcome(log, version, verdict, changes)
	if contested && verdict != versionguard.Same {
		n.recordVersionConflict(log, version, rival)
	}
}

// Adopt puts a table of the source in force. It orders its tables itself.
func (n *Node) Adopt(t *table.Table) {
	n.mu.Lock()
	changes := table.Diff(n.table, t)
	n.table = t
	n.apply(t)
	n.mu.Unlock()
	n.links.BroadcastHeartbeat() // what is leaving here must not wait for a heartbeat
	log := n.log.WithFields(logrus.Fields{"version": t.Version, "source": "store"})
	n.recordTableOutcome(log, t.Version, versionguard.Accept, changes)
}

func (n *Node) recordTableOutcome(log logrus.FieldLogger, version uint64, verdict versionguard.Decision, changes []table.Change) {
	e := access.Event{At: n.clock.Now(), Reason: "version " + formatVersion(version)}
	switch verdict {
	case versionguard.Accept:
		log.WithField("changes", len(changes)).Info("table in force")
		n.inForceOnce.Do(func() { close(n.inForce) })
		logChanges(log, changes)
		e.Kind = access.TableAccepted
	case versionguard.Older:
		log.Warn("older table not put in force; publish above the version in force")
		e.Kind = access.TableOlder
	default:
		return
	}
	n.metrics.RecordEvent(e)
}

// recordVersionConflict says that two texts were published under one version: the edit in
// one of them is not in force, and its author may not know.
func (n *Node) recordVersionConflict(log logrus.FieldLogger, version uint64, rival versionguard.Candidate) {
	log.WithField("digest", rival.Digest).Warn("two tables have this version; this one is not in force; publish one above it")
	n.metrics.RecordEvent(access.Event{
		At:     n.clock.Now(),
		Kind:   access.TableRejected,
		Reason: "version " + formatVersion(version) + " was published twice with different text",
	})
}

// maxLoggedChanges bounds the lines for one edition: a first table or a large
// edit would fill the log.
const maxLoggedChanges = 50

func logChanges(log logrus.FieldLogger, changes []table.Change) {
	for i, c := range changes {
		if i == maxLoggedChanges {
			log.WithField("changes", len(changes)-i).Info("more changes, not listed")
			return
		}
		log.WithFields(logrus.Fields{"what": string(c.Kind), "where": c.Path, "from": c.From, "to": c.To}).Info("table changed")
	}
}

// apply puts a checked table in force. The node's lock is held.
func (n *Node) apply(t *table.Table) {
	n.applyGates(t)
	for _, g := range n.gates {
		g.SetListedLeaving(n.listedLeaving[n.address()])
	}
	n.applyPeers(t)
	n.quotas.update(t)
	n.entry.Update(t)
	n.crashes.lift(t)
	n.book.SetServices(t.Services)
	n.metrics.SetServices(t.Services)
	for node, leaving := range n.listedLeaving {
		n.entry.UpdateInstance(node, leaving)
	}
}

// updateInstances takes in the platform's list, which lags: it can say that a node
// is leaving, but a node that says so itself is leaving whatever the list says.
func (n *Node) updateInstances(body []byte) {
	list, err := table.ParseInstances(body)
	if err != nil {
		n.log.WithError(err).Error("instance list rejected")
		return
	}
	listed := make(map[string]bool, len(list.List))
	for _, i := range list.List {
		listed[i.Node] = i.State == table.Leaving
	}
	n.mu.Lock()
	for node := range n.listedLeaving {
		if _, ok := listed[node]; !ok {
			n.entry.UpdateInstance(node, false)
		}
	}
	n.listedLeaving = listed
	for node, leaving := range listed {
		n.entry.UpdateInstance(node, leaving)
	}
	n.mu.Unlock()
	n.announceListedState()
}

// announceListedState passes on what the instance list says of this node, and tells the
// peers at once.
func (n *Node) announceListedState() {
	n.mu.Lock()
	self := n.listedLeaving[n.address()]
	n.mu.Unlock()
	for _, g := range n.allGates() {
		g.SetListedLeaving(self)
		n.entry.UpdateUpstream(g.Status())
	}
	n.links.BroadcastHeartbeat()
}

// RequestTable returns the table in force for a peer whose own it goes before.
func (n *Node) RequestTable(a *wire.TableRequest) (*wire.TableVersion, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.versionGuard.Current()
	if !current.Supersedes(versionguard.Candidate{Version: a.Version, Digest: a.Digest}) {
		return nil, false
	}
	return &wire.TableVersion{Version: current.Version, Text: n.tableText}, true
}

// isCurrent reports whether an edition is the one in force: several peers may send
// the same, and checking a large table takes tens of milliseconds.
func (n *Node) isCurrent(e *wire.TableVersion) bool {
	digest := table.Digest(e.Text)
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.versionGuard.Current()
	return e.Version == current.Version && digest == current.Digest
}

// ReceiveTable takes in a table that a peer relays; it passes the same check as one
// from the platform.
func (n *Node) ReceiveTable(node string, e *wire.TableVersion) {
	if n.tableBuilder != nil {
		n.seedFromPeer(node, e)
		return
	}
	if e.Version < n.version() || n.isCurrent(e) {
		return
	}
	n.log.WithField("peer", node).Debug("table relayed")
	n.offerTable(e.Text, fromPeer)
}
