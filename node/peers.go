package node

import (
	"context"

	"github.com/thejerf/suture/v4"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/versionguard"
	"fuchsiapick.example/fuchsiapick/wire"
)

// peer is another node that this one may dial.
type peer struct {
	link  *link.Peer
	token suture.ServiceToken
	// leaving is what the node last said of itself.
	leaving      bool
	lossRecorded bool // noted as lost
	// crashesAskedAt is when it was asked last what it knows of crashes; 0 for never.
	crashesAskedAt clock.Millis
	// removedAt is when the table ceased to name it; 0 while it does.
	removedAt clock.Millis
}

// redialDelay is about how long after a failed dial a peer is tried again: a process
// that was restarted takes links after some 0.3 s, and until then its upstream is
// lost to this entry.
const redialDelay = 250 * clock.Millis(1)

// applyPeers makes and removes the peers that the table names.
func (n *Node) applyPeers(t *table.Table) {
	named := map[string]bool{}
	for i := range t.Services {
		for _, u := range t.Services[i].Upstreams {
			if u.Node != n.address() {
				named[u.Node] = true
				n.addPeer(u.Node).removedAt = 0
			}
		}
	}
	for address, p := range n.peers {
		if !named[address] && n.canRemovePeer(p) {
			delete(n.peers, address)
			_ = n.peerSupervisor.Remove(p.token) // removed already when the node stops
		}
	}
}

// linkTo returns the way to another node, nil where the table names none.
func (n *Node) linkTo(address string) *link.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.peers[address]; ok {
		return p.link
	}
	return nil
}

// isCutOff reports whether more nodes are out of reach than have an open link.
func (n *Node) isCutOff() bool {
	n.mu.Lock()
	peers := make([]*link.Peer, 0, len(n.peers))
	for _, p := range n.peers {
		peers = append(peers, p.link)
	}
	n.mu.Unlock()
	lost, open := 0, 0
	for _, p := range peers {
		switch {
		case p.IsLost():
			lost++
		case p.Ready():
			open++
		}
	}
	return lost > open
}

// addPeer makes a peer unless it is there. The node's lock is held.
func (n *Node) addPeer(address string) *peer {
	if p, ok := n.peers[address]; ok {
		return p
	}
	p := &peer{link: link.NewPeer(link.PeerConfig{
		Address:           address,
		Self:              n.identity(),
		MaxFrame:          n.frameLimit(),
		MaxReplyBody:      n.settings.Limits.Answer,
		HeartbeatInterval: n.settings.HeartbeatInterval,
		RedialDelay:       min(redialDelay, n.settings.HeartbeatInterval),
		Seed:              n.seed + uint64(len(n.peers)),
		Now:               n.clock.Now,
		Status:            n.Status,
		Observer:          n,
		Log:               n.log,
	})}
	p.token = n.peerSupervisor.Add(service{"peer " + address, func(ctx context.Context) error { return p.link.Run(ctx) }})
	n.peers[address] = p
	return p
}

// Status is what this node's heartbeats say.
func (n *Node) Status() wire.Heartbeat {
	gates := n.allGates()
	upstreams := make([]wire.Upstream, 0, len(gates))
	for _, g := range gates {
		upstreams = append(upstreams, g.Status())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tableBuilder != nil {
		return wire.Heartbeat{Version: n.follower.Revision(), Leaving: n.leaving, CrashDigest: n.crashes.digest.Load(), Upstreams: upstreams}
	}
	current := n.versionGuard.Current()
	return wire.Heartbeat{Version: current.Version, Digest: current.Digest, Leaving: n.leaving, CrashDigest: n.crashes.digest.Load(), Upstreams: upstreams}
}

// requestHeartbeat asks for heartbeats at once.
func (n *Node) requestHeartbeat() {
	select {
	case n.heartbeatRequested <- struct{}{}:
	default: // they are asked for already
	}
}

// sendRequestedHeartbeats sends heartbeats when a gate has news.
func (n *Node) sendRequestedHeartbeats(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-n.heartbeatRequested:
			for _, g := range n.allGates() {
				n.entry.UpdateUpstream(g.Status())
			}
			n.links.BroadcastHeartbeat()
		}
	}
}

// Heartbeat takes in a heartbeat of an entry that dialled this node.
func (n *Node) Heartbeat(node string, b *wire.Heartbeat) {
	n.requestNewerTable(node, b)
}

// requestNewerTable asks a peer for its table if that goes before this node's. It
// reports whether the peer has one that doesn't.
func (n *Node) requestNewerTable(node string, b *wire.Heartbeat) (settled bool) {
	if n.tableBuilder != nil {
		return true
	}
	n.mu.Lock()
	current := n.versionGuard.Current()
	p, ok := n.peers[node]
	n.mu.Unlock()
	theirs := versionguard.Candidate{Version: b.Version, Digest: b.Digest}
	if !theirs.Supersedes(current) {
		return b.Version > 0
	}
	if ok {
		p.link.EnsureLink()
		p.link.RequestTable(wire.TableRequest{Version: current.Version, Digest: current.Digest})
	}
	return false
}

// PeerHeartbeat takes in a heartbeat of a node that this one dialled.
func (n *Node) PeerHeartbeat(node string, b *wire.Heartbeat) {
	for _, u := range b.Upstreams {
		n.entry.UpdateUpstream(u)
	}
	n.mu.Lock()
	if p, ok := n.peers[node]; ok {
		p.leaving = b.Leaving
	}
	n.mu.Unlock()
	n.seedPeer(node, b)
	n.syncCrashes(node, b)
	if n.requestNewerTable(node, b) {
		n.peerVersionOnce.Do(func() { close(n.peerVersionKnown) })
	}
}

// PeerUpstream takes in what a gate says of its upstream on a reply.
func (n *Node) PeerUpstream(_ string, u wire.Upstream) {
	n.entry.UpdateUpstream(u)
}

// PeerWorkRequest takes in a gate's wish for a request.
func (n *Node) PeerWorkRequest(i *wire.WorkRequest) {
	n.entry.HandleWorkRequest(i)
}

// PeerTableVersion takes in a table that was asked for.
func (n *Node) PeerTableVersion(node string, e *wire.TableVersion) {
	n.ReceiveTable(node, e)
}

// PeerPath takes in whether a node can be reached from here.
//
// The path to a node that said it is leaving, or that the table no longer
// names, ends as announced: that is no finding for a manager.
func (n *Node) PeerPath(node string, state path.State) {
	isLost := state == path.Lost
	n.entry.UpdatePath(node, isLost)
	n.mu.Lock()
	p, ok := n.peers[node]
	noted := ok && p.lossRecorded != isLost && (!isLost || !p.leaving) && state != path.Suspected
	if noted {
		p.lossRecorded = isLost
	}
	n.mu.Unlock()
	if !noted {
		return
	}
	kind := access.PathRestored
	if isLost {
		kind = access.PathLost
	}
	n.metrics.RecordEvent(access.Event{At: n.clock.Now(), Kind: kind, Node: node, Reason: access.ReasonUnreachable})
}

// bootstrap asks the peers that the settings name for a table, so that a node
// that starts while the platform is away, or meets a stale replica of it, gets
// the edition that the fleet has in force.
func (n *Node) bootstrap() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, address := range n.settings.Peers {
		if address != n.address() {
			n.addPeer(address).link.EnsureLink()
		}
	}
}
