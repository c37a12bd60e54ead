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
	"fuchsiapick.example/fuchsiapick/edition"
	"fuchsiapick.example/fuchsiapick/metrics"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Keys of the values that a platform holds for this project.
const (
	keyTable     = "table"
	keyInstances = "instances"
)

// Tables makes tables from what a platform publishes in a form of its own.
type Tables interface {
	// Table returns the table that the values make, and false where it would be
	// the same as the one before.
	Table(items []mirror.Item) (*table.Table, bool)
	// Mark sums up what of a value may make another table.
	Mark(item mirror.Item) uint64
	// Announced reports whether a value that is gone was expected to go.
	Announced(old mirror.Item) bool
}

// addReading adds the reader of the platform's values.
func (n *Node) addReading(tree *suture.Supervisor) {
	if n.follower == nil {
		return
	}
	tree.Add(service{"relay", every(relayEvery, n.relay)})
	tree.Add(service{"readers", every(relayEvery, n.keepReaders)})
	tree.Add(service{"platform reader", func(ctx context.Context) error {
		n.consult(ctx)
		return n.follower.Serve(ctx)
	}})
}

func (n *Node) newFollower(store mirror.Store) *mirror.Follower {
	c := mirror.FollowerConfig{
		Store:          store,
		Now:            n.clock.Now,
		MaxStaleness:   n.settings.Platform.Fresh,
		Nodes:          n.size,
		Deliver:        n.deliver,
		Publish:        n.tell,
		OnAvailability: n.platformAnswered,
		Seed:           n.seed,
		Log:            n.log,
	}
	if counting, ok := store.(interface{ Received() uint64 }); ok {
		c.BytesReceived = counting.Received
	}
	if n.tables != nil {
		c.Hash, c.ExpectedRemoval = n.tables.Mark, n.tables.Announced
	}
	if n.settings.Platform.Form == settings.FormTable {
		c.MaxBackoff = n.settings.Platform.Poll
	}
	return mirror.NewFollower(c)
}

// size is how many nodes read the platform, and whether this one does it ahead of the
// others.
func (n *Node) size() (int, bool) {
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

// keepReaders keeps links to the nodes that read the platform ahead of the others, over
// which their news come.
func (n *Node) keepReaders() {
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
	if n.tables != nil {
		if t, ok := n.tables.Table(items); ok {
			n.Adopt(t)
		}
		return
	}
	for _, item := range items {
		switch {
		case item.Key == keyTable && n.read[keyTable] != item.Revision:
			n.read[keyTable] = item.Revision
			n.offer(item.Value, sourceOf(isTold))
		case item.Key == keyInstances && n.read[keyInstances] != item.Revision:
			n.read[keyInstances] = item.Revision
			n.instances(item.Value)
		}
	}
}

func sourceOf(isTold bool) edition.Source {
	if isTold {
		return fromPeer
	}
	return fromPlatform
}

// tell tells all nodes with a link what was learned from the platform.
func (n *Node) tell(learned mirror.Update) {
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

// helpers is about how many nodes help one that knows nothing, with each round of
// heartbeats: with all of 300, a node that was restarted got 45 MB.
const helpers = 6

// helpBlank gives a peer that knows nothing of the platform what is known here. A node
// that is replaced while the platform is away would else refuse all requests of
// its callers until that is back. Its peers dial it, for they have it in their
// tables; it could dial nobody.
func (n *Node) helpBlank(node string, b *wire.Heartbeat) {
	if n.tables == nil || b.Version > 0 || b.Leaving || n.follower.Revision() == 0 {
		return
	}
	if nodes, _ := n.size(); rand.IntN(nodes) >= helpers {
		return // others do, or this node after the next heartbeat
	}
	items, revision := n.follower.Snapshot()
	if size := mirror.SizeOf(items); size > mostHelp {
		n.log.WithFields(logrus.Fields{"values": len(items), "bytes": size}).Warn("peer without a table not helped: the values are more than it would read")
		return
	}
	body, err := wire.Pack(partsOf(items))
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

// mostHelp bounds, in bytes, the values that are handed to a peer. It reads 4 MB; the
// rest is for their encoding, some 50 bytes a value. What it rejects it would be sent
// again with each heartbeat.
const mostHelp = 3 << 20

// partsOf cuts values into arrays that a peer reads.
func partsOf(items []mirror.Item) [][]mirror.Item {
	return slices.Collect(slices.Chunk(items, wire.MaxItems))
}

// takeOver takes in another node's copy of the platform's values while nothing is known
// here.
func (n *Node) takeOver(node string, e *wire.TableVersion) {
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

// platformAnswered notes when the platform goes away, with the cause, and when it is
// back. The table in force stays however long it is away.
func (n *Node) platformAnswered(cause error) {
	n.mu.Lock()
	n.platformAway = cause != nil
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

// consultTime bounds the wait for the peers that the settings name.
const consultTime = 2 * time.Second

// consult waits until a peer has said which table it has in force. A node that
// is replaced while the platform's replica is stale would otherwise put an
// older table in force than the one its predecessor served.
func (n *Node) consult(ctx context.Context) {
	if len(n.settings.Peers) == 0 {
		return
	}
	timer := time.NewTimer(consultTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.consulted:
	}
}

// Reading tells how reading the platform's values goes.
func (n *Node) Reading() metrics.Reading {
	if n.follower == nil {
		return metrics.Reading{}
	}
	s := n.follower.Stats()
	r := metrics.Reading{
		Answered: metrics.Calls(s.Answered), Failed: metrics.Calls(s.Failed), Heard: s.UpdatesReceived, Wrong: s.CopyErrors,
		Revision: n.follower.Revision(), Lag: s.Lag, Late: s.LateChanges,
	}
	if s.IsKnown {
		r.Known, r.Age = true, max(n.clock.Now()-s.KnownAt, 0)
	}
	return r
}
