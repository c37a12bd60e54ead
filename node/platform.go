package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/freshness"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/metrics"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/versionguard"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Keys of the values that a platform holds in this project's format.
const (
	keyTable     = "table"
	keyInstances = "instances"
)

// TableBuilder builds tables from the values of a platform that has a format of its own.
type TableBuilder interface {
	// Table returns the table that is built from the values, or false if it would be the same
	// as the previous one.
	Table(items []mirror.Item) (*table.Table, bool)
	// Hash returns a hash of those parts of a value that can change the table.
	Hash(item mirror.Item) uint64
	// IsOlder reports whether the content of an offered value is older than that of a held value
	// of the same key.
	IsOlder(offered, held mirror.Item) bool
	// ExpectedRemoval reports whether the removal of a value was expected.
	ExpectedRemoval(old mirror.Item) bool
}

// addPlatformReader adds the services that read the platform's values and keep the links over
// which other nodes' updates arrive. It adds none if there is no platform.
func (n *Node) addPlatformReader(tree *suture.Supervisor) {
	if n.follower == nil {
		return
	}
	tree.Add(service{"neighbours", every(linkCheckInterval, n.keepNeighbourLinks)})
	tree.Add(service{"subscriptions", every(linkCheckInterval, n.keepSubscriptions)})
	tree.Add(service{"copies", n.sendAwaitedCopies})
	tree.Add(service{"platform reader", func(ctx context.Context) error {
		if n.tableBuilder != nil {
			n.join(ctx)
		} else {
			n.awaitPeerVersion(ctx)
		}
		return n.follower.Serve(ctx)
	}})
}

// newFollower returns the follower that reads the platform's values from a store.
func (n *Node) newFollower(store mirror.Store) *mirror.Follower {
	config := mirror.FollowerConfig{
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
	if counter, ok := store.(interface{ Received() uint64 }); ok {
		config.BytesReceived = counter.Received
	}
	if counter, ok := store.(interface{ Calls() uint64 }); ok {
		config.CallsMade = counter.Calls
	}
	if _, ok := n.tableBuilder.(locator); ok {
		config.Evidence = n.evidenceOf
	}
	if n.tableBuilder != nil {
		config.Hash, config.ExpectedRemoval, config.IsOlder = n.tableBuilder.Hash, n.tableBuilder.ExpectedRemoval, n.tableBuilder.IsOlder
	}
	if n.settings.Platform.Form == settings.FormTable {
		config.MaxBackoff = n.settings.Platform.PollInterval
	}
	return mirror.NewFollower(config)
}

// deliver applies the platform's values: through the TableBuilder if there is one, otherwise
// the table and the instance list if their revisions have changed. fromUpdate says that the
// values come from another node's update.
func (n *Node) deliver(items []mirror.Item, fromUpdate bool) {
	n.copyKnownOnce.Do(func() { close(n.copyKnown) })
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
			n.offerTable(item.Value, sourceOf(fromUpdate))
		case item.Key == keyInstances && n.readRevisions[keyInstances] != item.Revision:
			n.readRevisions[keyInstances] = item.Revision
			n.updateInstances(item.Value)
		}
	}
}

// sourceOf returns the source of a table that was delivered.
func sourceOf(fromUpdate bool) versionguard.Source {
	if fromUpdate {
		return fromPeer
	}
	return fromPlatform
}

// announceUpdate sends an update of the platform's values, which this node has read itself, to all
// nodes with a link, and to those that forward updates to this node.
func (n *Node) announceUpdate(update mirror.Update) {
	message, ok := n.packUpdate(update)
	if !ok {
		return
	}
	if !update.IsUnavailable {
		n.sendToParents(message, "")
	}
	var withoutEra func() *wire.StoreUpdate
	if mirror.EraOf(update.Revision) > 0 {
		withoutEra = func() *wire.StoreUpdate {
			plain, _ := n.packUpdate(update.WithoutEra()) // nil if it can't be packed
			return plain
		}
	}
	n.links.BroadcastUpdate(message, withoutEra)
	n.log.WithFields(updateFields(message, message.Age, message.Time)).Debug("update of the platform's values sent")
}

// packUpdate returns the message with an update, or false if the update can't be packed.
func (n *Node) packUpdate(update mirror.Update) (*wire.StoreUpdate, bool) {
	message := &wire.StoreUpdate{
		Since: update.Since, Revision: update.Revision, IsTruncated: update.IsTruncated, IsUnavailable: update.IsUnavailable,
		IsListDiff: update.IsListDiff, Bytes: update.Bytes, Digest: update.Digest,
	}
	message.Time, message.Age = n.sendTime(update.CurrentAt)
	if len(update.Events) > 0 {
		var err error
		message.Changes, err = wire.Pack(update.Events)
		if err != nil {
			n.log.WithError(err).Error("update of the platform's values not sent to peers; packing it failed")
			return nil, false
		}
	}
	return message, true
}

// sendTime returns the current time and the age of what was current at the given time, negative if
// that isn't known. Both must be of one moment: a pause between them would be in neither.
func (n *Node) sendTime(currentAt clock.Millis) (now, age clock.Millis) {
	now = n.clock.Now()
	if currentAt < 0 {
		return now, freshness.MaxAge
	}
	return now, max(now-currentAt, 0)
}

// unpackUpdate returns the update in a message that was sent after the given time, or false if its
// changes can't be unpacked.
func (n *Node) unpackUpdate(message *wire.StoreUpdate, sentAfter clock.Millis) (mirror.Update, bool) {
	update := mirror.Update{
		Since: message.Since, Revision: message.Revision, IsTruncated: message.IsTruncated, IsUnavailable: message.IsUnavailable, CurrentAt: sentAfter - message.Age,
		IsListDiff: message.IsListDiff, Bytes: message.Bytes, Digest: message.Digest,
	}
	if len(message.Changes) > 0 {
		if err := wire.Unpack(message.Changes, &update.Events); err != nil {
			n.log.WithError(err).Error("update from a peer ignored; its changes can't be unpacked")
			return update, false
		}
	}
	return update, true
}

// seedersPerRound is the approximate number of nodes that send a peer without a table their
// copy of the platform's values in each heartbeat interval. When all of 300 nodes did so, a
// restarted node received 45 MB.
const seedersPerRound = 6

// seedPeer sends the platform's values to a peer that has none. Otherwise a node that is
// replaced while the platform is unavailable would refuse all requests of its callers until
// the platform is back. The node knows no peers to dial, but its peers have it in their
// tables and dial it.
func (n *Node) seedPeer(node string, h *wire.Heartbeat) {
	if n.tableBuilder == nil || h.Version > 0 || h.Leaving || n.follower.Revision() == 0 {
		return
	}
	if nodes, _ := n.fleetSize(); rand.IntN(nodes) >= seedersPerRound {
		return // other nodes do it, or this node at a later heartbeat
	}
	items, revision := n.follower.Snapshot()
	if size := mirror.SizeOf(items); size > maxSeedBytes {
		logging.Repeatable(n.log.WithFields(logrus.Fields{"values": len(items), "bytes": size})).Warn(msgSeedTooLarge)
		return
	}
	n.mu.Lock()
	p, ok := n.peers[node]
	n.mu.Unlock()
	if !ok {
		return
	}
	if !p.link.Accepts(wire.KindEraUpdate) {
		items, revision = mirror.WithoutEras(items), mirror.StoreRevision(revision) // the peer's release knows no eras
	}
	body, err := wire.Pack(chunkItems(items))
	if err != nil {
		n.log.WithError(err).Error("peer has no table; the platform's values can't be packed for it")
		return
	}
	if !n.fitsFrame(body) {
		logging.Repeatable(n.log.WithFields(logrus.Fields{"values": len(items), "bytes": len(body)})).Warn(msgSeedTooLarge)
		return
	}
	p.link.SendTable(&wire.TableVersion{Version: revision, Text: body})
}

const msgSeedTooLarge = "peer has no table; the platform's values are too large to send to it"

// maxSeedBytes bounds, in bytes, the values that are sent to a peer. A peer unpacks up to 4
// MB; the rest is for the encoding, some 50 bytes per value. A larger message would be
// rejected and sent again at each heartbeat.
const maxSeedBytes = 3 << 20

// chunkItems splits values into arrays of at most wire.MaxItems, the most that a peer decodes.
func chunkItems(items []mirror.Item) [][]mirror.Item {
	return slices.Collect(slices.Chunk(items, wire.MaxItems))
}

// seedFromPeer takes over another node's copy of the platform's values if this node has none.
func (n *Node) seedFromPeer(node string, received *wire.TableVersion) {
	var chunks [][]mirror.Item
	log := n.log.WithField("peer", node)
	if err := wire.Unpack(received.Text, &chunks); err != nil {
		log.WithError(err).Error("copy of the platform's values from a peer rejected")
		return
	}
	if n.follower.Seed(slices.Concat(chunks...), received.Version) {
		log.WithField("revision", mirror.StoreRevision(received.Version)).Info("platform's values taken over from a peer")
	}
}

// recordPlatformState logs and records that the platform has become unavailable, with the
// cause, or, for a nil cause, that it is available again. The table in force stays for as
// long as the platform is unavailable.
func (n *Node) recordPlatformState(cause error) {
	n.mu.Lock()
	n.platformUnavailable = cause != nil
	n.mu.Unlock()
	event := access.Event{At: n.clock.Now(), Kind: access.PlatformRestored}
	if cause != nil {
		event.Kind, event.Reason = access.PlatformLost, cause.Error()
		logging.Repeatable(n.log.WithError(cause)).Warn("platform doesn't answer; the table in force stays")
	} else {
		n.log.Info("platform answers again")
	}
	n.metrics.RecordEvent(event)
}

// peerVersionTimeout bounds how long a starting node waits for a peer's table version.
const peerVersionTimeout = 2 * time.Second

// awaitPeerVersion waits until peerVersionKnown is closed, at most for peerVersionTimeout.
// Without peers in the settings it returns immediately. A node that is replaced while the
// platform's replica is stale would otherwise put an older table in force than its
// predecessor had.
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

// PlatformStats returns statistics of reading the platform's values, zero if there is no
// platform.
func (n *Node) PlatformStats() metrics.PlatformStats {
	if n.follower == nil {
		return metrics.PlatformStats{}
	}
	s := n.follower.Stats()
	stats := metrics.PlatformStats{
		Answered: metrics.CallStats(s.Answered), Failed: metrics.CallStats(s.Failed), UpdatesReceived: s.UpdatesReceived, CopyErrors: s.CopyErrors,
		ValuesIgnored: s.ValuesIgnored, Era: s.Era,
		Causes: map[string]uint64{}, Revision: mirror.StoreRevision(n.follower.Revision()), Lag: s.Lag, LateChanges: s.LateChanges,
	}
	for _, cause := range mirror.Causes() {
		stats.Causes[string(cause)] = s.Causes[cause]
	}
	if s.IsKnown {
		stats.IsKnown, stats.Age = true, max(n.clock.Now()-s.KnownAt, 0)
	}
	return stats
}
