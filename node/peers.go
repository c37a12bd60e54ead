package node

import (
	"context"
	"slices"

	"github.com/thejerf/suture/v4"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/relay"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/versionguard"
	"fuchsiapick.example/fuchsiapick/wire"
)

// peer is another node that this node may dial.
type peer struct {
	link *link.Peer
	// leaving is whether the peer's last heartbeat said that it is leaving.
	leaving bool
	// upstreams are the names of the upstreams in the peer's last heartbeat.
	upstreams    []string
	isSubscribed bool // this node subscribes to the peer's updates
	lossRecorded bool // the last event recorded for the path says that it is lost
	// crashesAskedAt is when the peer was last asked for the crashes that it knows; 0 for
	// never.
	crashesAskedAt clock.Millis
	// removedAt is when the peer was first found missing in the table; 0 while the table
	// names it.
	removedAt clock.Millis
}

// redialDelay is the approximate delay between a failed dial of a peer and the next one. A
// restarted process accepts links after some 0.3 s, and until then this entry can't use its
// upstreams.
const redialDelay = 250 * clock.Millis(1)

// applyPeers adds the peers that the table names, and removes the others once canRemovePeer
// allows it. The caller holds the node's lock.
func (n *Node) applyPeers(t *table.Table) {
	named := map[string]bool{n.joinParent: true}
	members := make([]relay.Member, 0, len(n.members))
	for i := range t.Services {
		for _, u := range t.Services[i].Upstreams {
			members = append(members, relay.Member{Node: u.Node, Domain: u.Domain})
			if u.Node != n.address() {
				named[u.Node] = true
				n.addPeer(u.Node).removedAt = 0
			}
		}
	}
	if !slices.Equal(members, n.members) {
		n.members, n.topology = members, nil
	}
	for address, p := range n.peers {
		if !named[address] && n.canRemovePeer(p) {
			delete(n.peers, address)
			p.link.End()
		}
	}
}

// peerLink returns the link to another node, or nil if there is no such peer.
func (n *Node) peerLink(address string) *link.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.peers[address]; ok {
		return p.link
	}
	return nil
}

// isCutOff reports whether the table may be older than that of other nodes, because the platform's
// values weren't confirmed for a while, and more peers are unreachable than have an open link.
func (n *Node) isCutOff() bool {
	if n.follower == nil || !n.follower.IsOutdated() {
		return false
	}
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

// addPeer returns the peer at an address and creates it if necessary. The caller holds the
// node's lock.
func (n *Node) addPeer(address string) *peer {
	if p, ok := n.peers[address]; ok {
		return p
	}
	p := &peer{}
	p.link = link.NewPeer(link.PeerConfig{
		Address:           address,
		Self:              n.identity(),
		MaxFrame:          n.frameLimit(),
		MaxReplyBody:      n.settings.Limits.Answer,
		HeartbeatInterval: n.settings.HeartbeatInterval,
		RedialDelay:       min(redialDelay, n.settings.HeartbeatInterval),
		Seed:              n.seed + uint64(len(n.peers)),
		Now:               n.clock.Now,
		Status:            n.Status,
		Announcements:     func() *wire.Announcements { return n.entry.Announcements(address) },
		Observer:          n,
		Shared:            &n.peersConfig,
		Log:               n.log,
		Start:             func() { go n.runPeer(p.link) }, // a supervisor that is stopping makes Add wait
	})
	n.peers[address] = p
	return p
}

// runPeer runs a peer under the supervisor of peers, until it isn't needed any more.
func (n *Node) runPeer(p *link.Peer) {
	n.peerSupervisor.Add(service{"peer " + p.Address(), func(ctx context.Context) error {
		if err := p.Run(ctx); err != nil {
			return err
		}
		return suture.ErrDoNotRestart
	}})
}

// Status returns the content of this node's heartbeats: the version in force, whether the
// node is leaving and the states of its upstreams. With a TableBuilder, the version is the
// revision of the platform's values.
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

// requestHeartbeat asks for an immediate heartbeat on all links.
func (n *Node) requestHeartbeat() {
	select {
	case n.heartbeatRequested <- struct{}{}:
	default: // a heartbeat is requested already
	}
}

// sendRequestedHeartbeats sends heartbeats when the state of a gate has changed, until the
// context ends.
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

// Heartbeat handles a heartbeat of an entry that dialled this node.
func (n *Node) Heartbeat(node string, h *wire.Heartbeat) {
	n.requestNewerTable(node, h)
}

// requestNewerTable asks a peer for its table if that supersedes this node's. It returns true
// if the peer has a table and this node's is at least as new. With a TableBuilder it only
// returns true.
func (n *Node) requestNewerTable(node string, h *wire.Heartbeat) (isUpToDate bool) {
	if n.tableBuilder != nil {
		return true
	}
	n.mu.Lock()
	current := n.versionGuard.Current()
	p, ok := n.peers[node]
	n.mu.Unlock()
	theirs := versionguard.Candidate{Version: h.Version, Digest: h.Digest}
	if !theirs.Supersedes(current) {
		return h.Version > 0
	}
	if ok {
		p.link.EnsureLink()
		p.link.RequestTable(wire.TableRequest{Version: current.Version, Digest: current.Digest})
	}
	return false
}

// PeerHeartbeat handles a heartbeat of a node that this node dialled.
func (n *Node) PeerHeartbeat(node string, h *wire.Heartbeat) {
	for _, u := range h.Upstreams {
		n.entry.UpdateUpstream(u)
	}
	n.recordHeartbeat(node, h)
	n.seedPeer(node, h)
	n.syncCrashes(node, h)
	if n.requestNewerTable(node, h) {
		n.peerVersionOnce.Do(func() { close(n.peerVersionKnown) })
	}
}

// recordHeartbeat records what a peer says about itself. A peer that ceases to name an upstream
// confirms that it has ended.
func (n *Node) recordHeartbeat(node string, h *wire.Heartbeat) {
	names := make([]string, 0, len(h.Upstreams))
	for i := range h.Upstreams {
		names = append(names, h.Upstreams[i].Name)
	}
	n.mu.Lock()
	p, ok := n.peers[node]
	isChanged := ok && (p.leaving != h.Leaving || !slices.Equal(p.upstreams, names))
	if ok {
		p.leaving, p.upstreams = h.Leaving, names
	}
	n.mu.Unlock()
	if isChanged && n.follower != nil {
		n.follower.RecheckRemovals()
	}
}

// PeerUpstream handles the state of an upstream that a reply carries.
func (n *Node) PeerUpstream(_ string, u wire.Upstream) {
	n.entry.UpdateUpstream(u)
}

// PeerProfile handles the profile of an upstream.
func (n *Node) PeerProfile(p *wire.UpstreamProfile) {
	n.entry.UpdateProfile(p)
}

// PeerWorkRequest handles a gate's request for work.
func (n *Node) PeerWorkRequest(r *wire.WorkRequest) {
	n.entry.HandleWorkRequest(r)
}

// PeerTableVersion handles a table that this node asked a peer for.
func (n *Node) PeerTableVersion(node string, received *wire.TableVersion) {
	n.ReceiveTable(node, received)
}

// PeerPath handles a change of the path to a peer. It records an event when the path is lost
// or restored.
//
// The loss of a path to a node that announced that it is leaving, or that the table no longer
// names, is expected, and no event is recorded.
func (n *Node) PeerPath(node string, state path.State) {
	isLost := state == path.Lost
	n.entry.UpdatePath(node, isLost)
	n.mu.Lock()
	p, ok := n.peers[node]
	isRecorded := ok && p.lossRecorded != isLost && (!isLost || !p.leaving) && state != path.Suspected
	if isRecorded {
		p.lossRecorded = isLost
	}
	n.mu.Unlock()
	if !isRecorded {
		return
	}
	kind := access.PathRestored
	if isLost {
		kind = access.PathLost
	}
	n.metrics.RecordEvent(access.Event{At: n.clock.Now(), Kind: kind, Node: node, Reason: access.ReasonUnreachable})
}

// bootstrap opens links to the peers that the settings name. Their heartbeats lead to a
// request for a newer table, so that a node that starts while the platform is unavailable, or
// reads a stale replica of it, gets the table that the fleet has in force.
func (n *Node) bootstrap() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.tableBuilder != nil {
		return // join asks them for the platform's values
	}
	for _, address := range n.settings.Peers {
		if address != n.address() {
			n.addPeer(address).link.EnsureLink()
		}
	}
}
