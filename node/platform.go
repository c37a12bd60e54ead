package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/metrics"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/versionguard"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Keys of the values that a platform holds for this project.
const (
	keyTable     = "table"
	keyInstances = "instances"
)

// TableBuilder makes tables from what a platform publishes in a form of its own.
type TableBuilder interface {
	// Table returns the table that the values make, and false where it would be
	// the same as the one before.
	Table(items []mirror.Item) (*table.Table, bool)
	// Hash sums up what of a value may make another table.
	Hash(item mirror.Item) uint64
	// ExpectedRemoval reports whether a value that is gone was expected to go.
	ExpectedRemoval(old mirror.Item) bool
}

// addPlatformReader adds the reader of the platform's values.
func (n *Node) addPlatformReader(tree *suture.Supervisor) {
	if n.follower == nil {
		return
	}
	tree.Add(service{"relay", every(relayInterval, n.keepNeighbourLinks)})
	tree.Add(service{"readers", every(relayInterval, n.keepReaderLinks)})
	tree.Add(service{"platform reader", func(ctx context.Context) error {
		n.awaitPeerVersion(ctx)
		return n.follower.Serve(ctx)
	}})
}

func (n *Node) newFollower(store mirror.Store) *mirror.Follower {
	c := mirror.FollowerConfig{
		Store:          store,
		Now:            n.clock.Now,
		MaxStaleness:   n.settings.Platform.MaxStaleness,
		Nodes:          n.fleetSize,
		Deliver:        n.deliver,
		Publish:        n.announceUpdate,
		OnAvailability: n.recordPlatformState,
		Seed:           n.seed,
		Log:            n.log,
	}
	if counting, ok := store.(interface{ Received() uint64 }); ok {
		c.BytesReceived = counting.Received
	}
	if n.tableBuilder != nil {
		c.Hash, c.ExpectedRemoval = n.tableBuilder.Hash, n.tableBuilder.ExpectedRemoval
	}
	if n.settings.Platform.Form == settings.FormTable {
		c.MaxBackoff = n.settings.Platform.PollInterval
	}
	return mirror.NewFollower(c)
}

// fleetSize is how many nodes read the platform, and whether this one does it ahead of the
// others.
func (n *Node) fleetSize() (int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.peers) + 1, slices.Contains(n.readers(), n.address())
}

// readers are the nodes that read the platform ahead of the others. The node's lock is
// held.
func (n *Node) readers() []string {
	return mirror.Readers(n.address(), n.nodes())
}

// nodes are all that the table names, and this one. The node's lock is held.
func (n *Node) nodes() []string {
	return append(slices.Collect(maps.Keys(n.peers)), n.address())
}

// keepReaderLinks keeps links to the nodes that read the platform ahead of the others, over
// which their news come.
func (n *Node) keepReaderLinks() {
	n.mu.Lock()
	var kept []*peer
	for _, address := range n.readers() {
		if p, ok := n.peers[address]; ok {
			kept = append(kept, p)
		}
	}
	n.mu.Unlock()
	for _, p := range kept {
		p.link.EnsureLink()
	}
}

// deliver takes in the platform's values.
func (n *Node) deliver(items []mirror.Item, isTold bool) {
	if n.tableBuilder != nil {
		if t, ok := n.tableBuilder.Table(items); ok {
			n.Adopt(t)
		}
		return
	}
	for _, item := range items {
		switch {
		case item.Key == keyTable && n.readRevisions[keyTable] != item.Revision:
			n.readRevisions[keyTable] = item.Revision
			n.offerTable(item.Value, sourceOf(isTold))
		case item.Key == keyInstances && n.readRevisions[keyInstances] != item.Revision:
			n.readRevisions[keyInstances] = item.Revision
			n.updateInstances(item.Value)
		}
	}
}

func sourceOf(isTold bool) versionguard.Source {
	if isTold {
		return fromPeer
	}
	return fromPlatform
}

// announceUpdate tells all nodes with a link what was learned from the platform.
func (n *Node) announceUpdate(learned mirror.Update) {
	news := &wire.StoreUpdate{
		Since: learned.Since, Revision: learned.Revision, IsTruncated: learned.IsTruncated, IsUnavailable: learned.IsUnavailable, Age: learned.Age,
		IsListDiff: learned.IsListDiff, Bytes: learned.Bytes, Digest: learned.Digest,
	}
	if len(learned.Events) > 0 {
		var err error
		news.Changes, err = wire.Pack(learned.Events)
		if err != nil {
			n.log.WithError(err).Error("changes of the platform's values not told to peers")
			return
		}
	}
	n.links.BroadcastUpdate(news)
}

// PeerStoreUpdate takes in what another node has learned from the platform.
func (n *Node) PeerStoreUpdate(news *wire.StoreUpdate) {
	if n.follower == nil {
		return
	}
	heard := mirror.Update{
		Since: news.Since, Revision: news.Revision, IsTruncated: news.IsTruncated, IsUnavailable: news.IsUnavailable, Age: news.Age,
		IsListDiff: news.IsListDiff, Bytes: news.Bytes, Digest: news.Digest,
	}
	if len(news.Changes) > 0 {
		if err := wire.Unpack(news.Changes, &heard.Events); err != nil {
			n.log.WithError(err).Error("changes that a peer told can't be read")
			return
		}
	}
	n.follower.ReceiveUpdate(heard)
}

// seedersPerRound is about how many nodes help one that knows nothing, with each round of
// heartbeats: with all of 300, a node that was restarted got 45 MB.
const seedersPerRound = 6

// seedPeer gives a peer that knows nothing of the platform what is known here. A node
// that is replaced while the platform is away would else refuse all requests of
// its callers until that is back. Its peers dial it, for they have it in their
// tables; it could dial nobody.
func (n *Node) seedPeer(node string, b *wire.Heartbeat) {
	if n.tableBuilder == nil || b.Version > 0 || b.Leaving || n.follower.Revision() == 0 {
		return
	}
	if nodes, _ := n.fleetSize(); rand.IntN(nodes) >= seedersPerRound {
		return // others do, or this node after the next heartbeat
	}
	items, revision := n.follower.Snapshot()
	if size := mirror.SizeOf(items); size > maxSeedBytes {
		n.log.WithFields(logrus.Fields{"values": len(items), "bytes": size}).Warn("peer without a table not helped: the values are more than it would read")
		return
	}
	body, err := wire.Pack(chunkItems(items))
	if err != nil {
		n.log.WithError(err).Error("peer without a table not helped")
		return
	}
	n.mu.Lock()
	p, ok := n.peers[node]
	n.mu.Unlock()
	if ok {
		p.link.SendTable(&wire.TableVersion{Version: revision, Text: body})
	}
}

// maxSeedBytes bounds, in bytes, the values that are handed to a peer. It reads 4 MB; the
// rest is for their encoding, some 50 bytes a value. What it rejects it would be sent
// again with each heartbeat.
const maxSeedBytes = 3 << 20

// chunkItems cuts values into arrays that a peer reads.
func chunkItems(items []mirror.Item) [][]mirror.Item {
	return slices.Collect(slices.Chunk(items, wire.MaxItems))
}

// seedFromPeer takes in another node's copy of the platform's values while nothing is known
// here.
func (n *Node) seedFromPeer(node string, e *wire.TableVersion) {
	var parts [][]mirror.Item
	log := n.log.WithField("peer", node)
	if err := wire.Unpack(e.Text, &parts); err != nil {
		log.WithError(err).Error("peer's copy rejected")
		return
	}
	if n.follower.Seed(slices.Concat(parts...), e.Version) {
		log.WithField("revision", e.Version).Info("platform's values taken over from a peer")
	}
}

// recordPlatformState notes when the platform goes away, with the cause, and when it is
// back. The table in force stays however long it is away.
func (n *Node) recordPlatformState(cause error) {
	n.mu.Lock()
	n.platformUnavailable = cause != nil
	n.mu.Unlock()
	e := access.Event{At: n.clock.Now(), Kind: access.PlatformRestored}
	if cause != nil {
		e.Kind, e.Reason = access.PlatformLost, cause.Error()
		n.log.WithError(cause).Warn("platform doesn't answer; the table in force stays")
	} else {
		n.log.Info("platform answers again")
	}
	n.metrics.RecordEvent(e)
}

// peerVersionTimeout bounds the wait for the peers that the settings name.
const peerVersionTimeout = 2 * time.Second

// awaitPeerVersion waits until a peer has said which table it has in force. A node that
// is replaced while the platform's replica is stale would otherwise put an
// older table in force than the one its predecessor served.
func (n *Node) awaitPeerVersion(ctx context.Context) {
	if len(n.settings.Peers) == 0 {
		return
	}
	timer := time.NewTimer(peerVersionTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.peerVersionKnown:
	}
}

// PlatformStats tells how reading the platform's values goes.
func (n *Node) PlatformStats() metrics.PlatformStats {
	if n.follower == nil {
		return metrics.PlatformStats{}
	}
	s := n.follower.Stats()
	r := metrics.PlatformStats{
		Answered: metrics.CallStats(s.Answered), Failed: metrics.CallStats(s.Failed), UpdatesReceived: s.UpdatesReceived, CopyErrors: s.CopyErrors,
		Revision: n.follower.Revision(), Lag: s.Lag, LateChanges: s.LateChanges,
	}
	if s.IsKnown {
		r.IsKnown, r.Age = true, max(n.clock.Now()-s.KnownAt, 0)
	}
	return r
}
