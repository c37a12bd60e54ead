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

// Version returns the version of the table in force, or 0 if there is none.
func (n *Node) Version() uint64 {
	return n.version()
}

// version returns the version of the table in force, or 0 if there is none.
func (n *Node) version() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.versionGuard.Current().Version
}

// offerTable parses and validates a table's text and puts it in force if the version guard
// accepts it. Only a valid table reaches the guard: the version number of a corrupt frame
// could otherwise block all later tables.
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
	n.offerMu.Lock()
	defer n.offerMu.Unlock()
	n.mu.Lock()
	decision := n.versionGuard.Propose(versionguard.Candidate{Version: version, Digest: table.Digest(text), Source: source})
	conflicting, isConflict := n.versionGuard.Conflicting()
	var changes []table.Change
	if decision == versionguard.Accept {
		changes = table.Diff(n.table, t)
		n.table, n.tableText = t, text
		n.applyTable(t)
	}
	n.mu.Unlock()
	if decision == versionguard.Accept {
		n.links.BroadcastHeartbeat() // peers must not wait for the next regular heartbeat to learn of a restored weight
	}
	n.recordTableOutcome(log, version, decision, changes)
	if isConflict && decision != versionguard.Same {
		n.recordVersionConflict(log, version, conflicting)
	}
}

// Adopt puts a table of the TableBuilder in force without the version guard: the builder's
// tables come in order.
func (n *Node) Adopt(t *table.Table) {
	n.mu.Lock()
	changes := table.Diff(n.table, t)
	n.table = t
	n.applyTable(t)
	n.mu.Unlock()
	n.links.BroadcastHeartbeat() // peers must not wait for the next regular heartbeat to learn which upstreams leave
	log := n.log.WithFields(logrus.Fields{"version": t.Version, "source": "store"})
	n.recordTableOutcome(log, t.Version, versionguard.Accept, changes)
}

// recordTableOutcome logs a decision about a table and records an event if the table was
// accepted or is older than the one in force.
func (n *Node) recordTableOutcome(log logrus.FieldLogger, version uint64, decision versionguard.Decision, changes []table.Change) {
	event := access.Event{At: n.clock.Now(), Reason: "version " + formatVersion(version)}
	switch decision {
	case versionguard.Accept:
		log.WithField("changes", len(changes)).Info("table in force")
		n.inForceOnce.Do(func() { close(n.inForce) })
		logChanges(log, changes)
		event.Kind = access.TableAccepted
	case versionguard.Older:
		log.Warn("older table not put in force; publish above the version in force")
		event.Kind = access.TableOlder
	default:
		return
	}
	n.metrics.RecordEvent(event)
}

// recordVersionConflict logs and records that two tables with different text were published
// under the same version: one of the two edits is not in force, and its author may not know.
func (n *Node) recordVersionConflict(log logrus.FieldLogger, version uint64, conflicting versionguard.Candidate) {
	log.WithField("digest", conflicting.Digest).Warn("two tables have this version; this one is not in force; publish one above it")
	n.metrics.RecordEvent(access.Event{
		At:     n.clock.Now(),
		Kind:   access.TableRejected,
		Reason: "version " + formatVersion(version) + " was published twice with different text",
	})
}

// maxLoggedChanges bounds the log lines for one table: the first table or a large edit would
// otherwise fill the log.
const maxLoggedChanges = 50

func logChanges(log logrus.FieldLogger, changes []table.Change) {
	for i, c := range changes {
		if i == maxLoggedChanges {
			log.WithField("changes", len(changes)-i).Info("further table changes not logged")
			return
		}
		log.WithFields(logrus.Fields{"what": string(c.Kind), "where": c.Path, "from": c.From, "to": c.To}).Info("table changed")
	}
}

// applyTable puts a validated table in force. The caller holds the node's lock.
func (n *Node) applyTable(t *table.Table) {
	n.applyGates(t)
	for _, g := range n.gates {
		g.SetListedLeaving(n.listedLeaving[n.address()])
	}
	n.applyPeers(t)
	n.quotas.setNodes(t)
	n.entry.Update(t)
	n.crashes.lift(t)
	n.accessLog.SetServices(t.Services)
	n.metrics.SetServices(t.Services)
	for address, leaving := range n.listedLeaving {
		n.entry.UpdateInstance(address, leaving)
	}
}

// updateInstances applies the platform's instance list. The list lags: it can mark a node as
// leaving, but a node that announces its own departure is leaving whatever the list says.
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
	for address := range n.listedLeaving {
		if _, ok := listed[address]; !ok {
			n.entry.UpdateInstance(address, false)
		}
	}
	n.listedLeaving = listed
	for address, leaving := range listed {
		n.entry.UpdateInstance(address, leaving)
	}
	n.mu.Unlock()
	n.announceListedState()
}

// announceListedState passes the state of this node in the instance list to its gates, and
// immediately sends heartbeats with it to the peers.
func (n *Node) announceListedState() {
	n.mu.Lock()
	isLeaving := n.listedLeaving[n.address()]
	n.mu.Unlock()
	for _, g := range n.allGates() {
		g.SetListedLeaving(isLeaving)
		n.entry.UpdateUpstream(g.Status())
	}
	n.links.BroadcastHeartbeat()
}

// RequestTable answers a peer's request with the table in force, and false if that table
// doesn't supersede the peer's own.
func (n *Node) RequestTable(r *wire.TableRequest) (*wire.TableVersion, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.versionGuard.Current()
	if !current.Supersedes(versionguard.Candidate{Version: r.Version, Digest: r.Digest}) {
		return nil, false
	}
	return &wire.TableVersion{Version: current.Version, Text: n.tableText}, true
}

// isCurrent reports whether a received table is the one in force. It saves the validation,
// which takes tens of milliseconds for a large table: several peers may send the same one.
func (n *Node) isCurrent(received *wire.TableVersion) bool {
	digest := table.Digest(received.Text)
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.versionGuard.Current()
	return received.Version == current.Version && digest == current.Digest
}

// ReceiveTable handles a table that a peer relays. It is validated like a table from the
// platform. With a TableBuilder, the message carries the platform's values instead.
func (n *Node) ReceiveTable(node string, received *wire.TableVersion) {
	if n.tableBuilder != nil {
		n.seedFromPeer(node, received)
		return
	}
	if received.Version < n.version() || n.isCurrent(received) {
		return
	}
	n.log.WithField("peer", node).Debug("table received from a peer")
	n.offerTable(received.Text, fromPeer)
}
