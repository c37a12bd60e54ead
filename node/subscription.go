package node

import (
	"slices"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/relay"
	"fuchsiapick.example/fuchsiapick/wire"
)

// maxSubscriptions is the number of relays of its group to which a node subscribes: it is reached by
// two ways. Nodes that subscribe to readers subscribe to all of them, because readers don't
// forward each other's updates.
const maxSubscriptions = 2

// locator finds the node beside the upstream that a value describes.
type locator interface {
	// UpstreamOf returns the name of the upstream and the link address of the node beside it, both
	// empty if the value describes no upstream.
	UpstreamOf(item mirror.Item) (upstream, node string)
}

// currentTopology returns the topology of the nodes that the table names. The caller holds the
// node's lock.
func (n *Node) currentTopology() *relay.Topology {
	if n.topology == nil {
		n.topology = relay.New(n.members)
	}
	return n.topology
}

// fleetSize returns how many nodes read the platform, and whether this node is one of those
// that read it ahead of the others.
func (n *Node) fleetSize() (int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	isReader := n.joinParent == "" && (len(n.members) == 0 || n.currentTopology().IsReader(n.address()))
	return len(n.peers) + 1, isReader
}

// isRelay reports whether other nodes subscribe to this node.
func (n *Node) isRelay() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, isRelay := slices.BinarySearch(n.currentTopology().Relays(), n.address())
	return isRelay
}

// parents returns the peers to subscribe to. The caller holds the node's lock.
func (n *Node) parents() []*peer {
	t := n.currentTopology()
	if joining, ok := n.peers[n.joinParent]; ok && joining.link.Ready() && !t.Contains(n.address()) {
		return nil // the node that serves this one is enough until the table names this node
	}
	var parents []*peer
	for _, address := range t.Parents(n.address()) {
		p, ok := n.peers[address]
		if ok && (t.IsReader(address) || (len(parents) < maxSubscriptions && !p.link.IsLost())) {
			parents = append(parents, p)
		}
	}
	return parents
}

// keepSubscriptions keeps links to the nodes that forward updates to this one, and subscribes to
// these and to no others.
func (n *Node) keepSubscriptions() {
	n.mu.Lock()
	parents := n.parents()
	isServed := slices.ContainsFunc(parents, func(p *peer) bool { return p.isSubscribed && p.link.Ready() })
	if isServed && n.joinParent != "" {
		n.log.WithField("peer", n.joinParent).Debug("joined; updates come over the subscriptions")
		n.joinParent = ""
	}
	var dropped []*peer
	for address, p := range n.peers {
		if p.isSubscribed && address != n.joinParent && !slices.Contains(parents, p) {
			p.isSubscribed = false
			dropped = append(dropped, p)
		}
	}
	kept := parents
	if joining, ok := n.peers[n.joinParent]; ok {
		kept = append(slices.Clone(parents), joining)
	}
	var added []*peer
	for _, p := range parents {
		if !p.isSubscribed {
			p.isSubscribed = true
			added = append(added, p)
		}
	}
	n.mu.Unlock()
	for _, p := range dropped {
		p.link.Unsubscribe()
	}
	for _, p := range added {
		p.link.Subscribe(func() *wire.Subscription { return n.newSubscription(false, nil) })
	}
	for _, p := range kept {
		p.link.EnsureLink()
	}
}

func (n *Node) newSubscription(isJoining bool, unreachable []string) *wire.Subscription {
	return &wire.Subscription{Revision: n.follower.Revision(), Domain: n.settings.Domain, IsJoining: isJoining, Unreachable: unreachable}
}

// Subscribe handles a subscription of an entry. A node that is behind gets what it has missed, if
// the latest updates suffice for that; a node without a copy gets this node's.
func (n *Node) Subscribe(entry uint64, node string, m *wire.Subscription) {
	if n.follower == nil || m.IsEnded {
		n.links.SetSubscribed(entry, false, false)
		return
	}
	if m.Revision == 0 && m.IsJoining {
		n.admitJoining(entry, node, m)
		return
	}
	n.links.SetSubscribed(entry, true, m.IsJoining)
	if m.Revision >= n.follower.Revision() {
		return
	}
	if update, ok := n.follower.ChangesSince(m.Revision); ok {
		if message, ok := n.packUpdate(update); ok {
			n.links.SendUpdate(entry, message, mirror.EraOf(update.Revision) > 0)
		}
	}
}

// PeerStoreUpdate handles an update of the platform's values from a node that this node dialled.
func (n *Node) PeerStoreUpdate(node string, message *wire.StoreUpdate, sentAfter clock.Millis) {
	n.receiveUpdate(node, message, sentAfter)
}

// ReceiveUpdate handles an update of the platform's values from a node that subscribes to this one.
func (n *Node) ReceiveUpdate(node string, message *wire.StoreUpdate, sentAfter clock.Millis) {
	n.receiveUpdate(node, message, sentAfter)
}

// receiveUpdate applies another node's update, and forwards it if it is news.
func (n *Node) receiveUpdate(node string, message *wire.StoreUpdate, sentAfter clock.Millis) {
	if n.follower == nil {
		return
	}
	update, ok := n.unpackUpdate(message, sentAfter)
	if !ok {
		return
	}
	isNews := n.follower.ReceiveUpdate(update)
	n.log.WithFields(updateFields(message, n.clock.Now()-update.CurrentAt, message.Time)).
		WithFields(logrus.Fields{"peer": node, "news": isNews}).Debug("update of the platform's values received")
	if isNews {
		forwarded := *message
		forwarded.Time, forwarded.Age = n.sendTime(update.CurrentAt)
		n.forward(node, &forwarded)
	}
}

// updateFields returns the log fields of an update of a given age, which was sent at a time of its
// sender's clock.
func updateFields(message *wire.StoreUpdate, age, sentAt clock.Millis) logrus.Fields {
	return logrus.Fields{
		"revision": mirror.StoreRevision(message.Revision), "age": age.String(), "sent": int64(sentAt), "unavailable": message.IsUnavailable,
	}
}

// forward sends an update to the nodes that subscribe to this one. If the update doesn't come from a
// node to which this one subscribes, that node's own relays may not have it: it is sent to the
// nodes to which this one subscribes, too.
func (n *Node) forward(from string, message *wire.StoreUpdate) {
	n.mu.Lock()
	t := n.currentTopology()
	betweenReaders := t.IsReader(from) && t.IsReader(n.address())
	p, ok := n.peers[from]
	isFromParent := ok && (p.isSubscribed || from == n.joinParent)
	n.mu.Unlock()
	n.links.ForwardUpdate(message, mirror.EraOf(message.Revision) > 0, from, betweenReaders)
	if !isFromParent {
		n.sendToParents(message, from)
	}
}

// sendToParents sends an update to the nodes to which this one subscribes, without the one that it
// is from.
func (n *Node) sendToParents(message *wire.StoreUpdate, from string) {
	n.mu.Lock()
	var parents []*peer
	for address, p := range n.peers {
		if p.isSubscribed && address != from {
			parents = append(parents, p)
		}
	}
	n.mu.Unlock()
	for _, p := range parents {
		p.link.SendUpdate(message, mirror.EraOf(message.Revision) > 0)
	}
}

// evidenceOf returns the evidence that an upstream still exists: the node beside it has an open link to
// this node and names it in its heartbeats, or is this node.
func (n *Node) evidenceOf(old mirror.Item) mirror.Evidence {
	located, ok := n.tableBuilder.(locator)
	if !ok {
		return mirror.EvidencePeer
	}
	upstream, address := located.UpstreamOf(old)
	if address == n.address() {
		return mirror.EvidenceOwn
	}
	n.mu.Lock()
	p, ok := n.peers[address]
	isNamed := ok && !p.leaving && slices.Contains(p.upstreams, upstream)
	n.mu.Unlock()
	if isNamed && p.link.Ready() && !p.link.IsLost() {
		return mirror.EvidencePeer
	}
	return mirror.EvidenceNone
}
