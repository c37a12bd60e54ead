package node

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/referral"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// searchTimeout bounds the search for a node that serves a joining one, and copyTimeout the
	// wait for its copy. Then the node reads the platform itself.
	searchTimeout = 2 * clock.Second
	copyTimeout   = 4 * clock.Second
	// answerTimeout bounds the wait for the answer of one node, its dial included. A node that
	// starts at the same time refuses connections for up to 0.3 s.
	answerTimeout = 700 * clock.Millis(1)
	// seedAnswerTimeout is the same for a seed that asks another one. It is shorter because all
	// nodes wait for the seeds when the whole fleet starts.
	seedAnswerTimeout = 200 * clock.Millis(1)
	// joinCheckInterval is how often a joining node checks that the link to the node that serves
	// it is open.
	joinCheckInterval = 50 * time.Millisecond
	// joinAnswerQueue is the number of answers that wait to be handled.
	joinAnswerQueue = 8
	// maxPartItems is the maximum number of values in a part of a copy.
	maxPartItems = 1000
	// maxPartBytes limits, in bytes, the values of a part that has more than one. With the
	// encoding, some 50 bytes per value, such a part is smaller than a frame may be, even if
	// nothing can be compressed.
	maxPartBytes = maxPlatformValue / 2
)

// joinAnswer is the answer of a node that was asked to serve this one.
type joinAnswer struct {
	node     string
	referral *wire.Referral
}

// join takes over the copy of the platform's values of another node. It asks the seeds, follows
// their referrals, and returns when the node has a copy or must read the platform itself.
//
// A seed doesn't wait for other seeds that have no copy, because all may have started at the same
// time.
func (n *Node) join(ctx context.Context) {
	seeds := slices.DeleteFunc(slices.Clone(n.settings.Peers), func(seed string) bool { return seed == n.address() })
	if len(seeds) == 0 {
		return
	}
	startedAt := n.clock.Now()
	isSeed := len(seeds) < len(n.settings.Peers)
	search := referral.NewSearch(seeds, n.seed)
	for ctx.Err() == nil && n.clock.Now()-startedAt < searchTimeout {
		node, ok := search.Next()
		if !ok || (isSeed && search.Rounds() > 1) {
			break
		}
		if n.joinBy(ctx, node, search, isSeed, startedAt+copyTimeout) {
			n.log.WithFields(logrus.Fields{"peer": node, "took": (n.clock.Now() - startedAt).String()}).Info("copy of the platform's values received from a peer")
			return
		}
	}
	n.log.WithField("took", (n.clock.Now() - startedAt).String()).Info("no peer has sent a copy of the platform's values; reading the platform")
}

// joinBy asks a node to serve this one and waits for its copy. It returns false, and records why in
// the search, if this node must ask another one.
func (n *Node) joinBy(ctx context.Context, node string, search *referral.Search, isSeed bool, until clock.Millis) bool {
	timeout := answerTimeout
	if isSeed {
		timeout = seedAnswerTimeout
	}
	answer, ok := n.askToServe(ctx, node, search.Unreachable(), timeout)
	switch {
	case n.isCopyKnown():
		return true
	case !ok:
		search.Failed(node)
	case len(answer.Nodes) > 0:
		search.Referred(answer.Nodes)
	case isSeed && !answer.HasCopy:
		return false // seeds stay subscribed to each other
	case n.awaitCopy(ctx, node, until):
		return true
	default:
		search.Failed(node)
	}
	n.endJoinAttempt(node)
	return false
}

// askToServe asks a node to serve this one. It returns false if the node doesn't answer in time, or
// is of a release that serves no joining nodes.
func (n *Node) askToServe(ctx context.Context, node string, unreachable []string, timeout clock.Millis) (*wire.Referral, bool) {
	n.mu.Lock()
	p := n.addPeer(node)
	n.joinParent = node
	p.isSubscribed = true
	n.mu.Unlock()
	unreachable = slices.Clone(unreachable)
	p.link.Subscribe(func() *wire.Subscription { return n.newSubscription(true, unreachable) })
	p.link.EnsureLink()
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	ticker := time.NewTicker(joinCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case <-timer.C:
			return nil, false
		case <-n.copyKnown:
			return nil, false
		case <-ticker.C:
			if p.link.Ready() && !p.link.Accepts(wire.KindSubscription) {
				return nil, false
			}
		case answer := <-n.joinAnswers:
			if answer.node == node {
				return answer.referral, true
			}
		}
	}
}

// awaitCopy waits for the copy of a node that serves this one. It returns false if the link to the
// node ends or the copy doesn't arrive in time.
func (n *Node) awaitCopy(ctx context.Context, node string, until clock.Millis) bool {
	ticker := time.NewTicker(joinCheckInterval)
	defer ticker.Stop()
	for n.clock.Now() < until {
		select {
		case <-ctx.Done():
			return false
		case <-n.copyKnown:
			return true
		case <-ticker.C:
			if p := n.peerLink(node); p == nil || !p.Ready() {
				return false
			}
		}
	}
	return false
}

// endJoinAttempt ends the subscription to a node that doesn't serve this one.
func (n *Node) endJoinAttempt(node string) {
	n.mu.Lock()
	p := n.peers[node]
	p.isSubscribed = false
	n.joinParent = ""
	n.mu.Unlock()
	p.link.Unsubscribe()
	p.link.Release()
}

func (n *Node) isCopyKnown() bool {
	return n.follower.Revision() > 0
}

// PeerReferral handles the answer of a node that was asked to serve this one.
func (n *Node) PeerReferral(node string, m *wire.Referral) {
	select {
	case n.joinAnswers <- joinAnswer{node, m}:
	default: // the search asks another node after answerTimeout
	}
}

// PeerCopyPart collects the parts of another node's copy, and takes it over if this node has none.
func (n *Node) PeerCopyPart(node string, part *wire.CopyPart, sentAfter clock.Millis) {
	if n.follower == nil || n.isCopyKnown() {
		return
	}
	var items []mirror.Item
	log := n.log.WithField("peer", node)
	if err := wire.Unpack(part.Items, &items); err != nil {
		log.WithError(err).Error("copy of the platform's values from a peer rejected")
		return
	}
	n.mu.Lock()
	if part.IsFirst {
		n.receivedParts[node] = nil
	}
	n.receivedParts[node] = append(n.receivedParts[node], items...)
	items = n.receivedParts[node]
	if part.IsLast {
		clear(n.receivedParts) // parts of other copies may have been cut off
	}
	n.mu.Unlock()
	if part.IsLast && n.follower.SeedReplica(mirror.Replica{Items: items, Revision: part.Revision, CurrentAt: sentAfter - part.Age, IsExact: part.IsExact}) {
		log.WithFields(logrus.Fields{"revision": mirror.StoreRevision(part.Revision), "values": len(items)}).Info("platform's values taken over from a peer")
	}
}

// admitJoining serves a joining node, or refers it to nodes that this one serves.
func (n *Node) admitJoining(entry uint64, node string, m *wire.Subscription) {
	n.mu.Lock()
	refer := n.placements.Place(n.clock.Now(), node, m.Domain, m.Unreachable)
	hasCopy := n.sendsCopies
	if refer == nil && !hasCopy {
		n.awaitedCopies = append(n.awaitedCopies, entry)
	}
	n.mu.Unlock()
	if refer != nil {
		n.links.SendReferral(entry, &wire.Referral{Nodes: refer})
		return
	}
	n.links.SetSubscribed(entry, true, true)
	n.links.SendReferral(entry, &wire.Referral{HasCopy: hasCopy})
	if hasCopy {
		n.sendCopy([]uint64{entry})
	}
}

// sendAwaitedCopies sends this node's first copy to the nodes that wait for it.
func (n *Node) sendAwaitedCopies(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.copyKnown:
	}
	n.mu.Lock()
	entries := n.awaitedCopies
	n.awaitedCopies, n.sendsCopies = nil, true
	n.mu.Unlock()
	n.sendCopy(entries)
	<-ctx.Done()
	return ctx.Err()
}

// sendCopy sends this node's copy of the platform's values to entries. They are subscribed before,
// so that no later update is missed.
func (n *Node) sendCopy(entries []uint64) {
	if len(entries) == 0 {
		return
	}
	copied := n.follower.Replica()
	parts, err := packParts(copied.Items)
	if err != nil {
		n.log.WithError(err).Error("copy of the platform's values not sent to joining nodes; packing it failed")
		return
	}
	if i := slices.IndexFunc(parts, func(body []byte) bool { return !n.fitsFrame(body) }); i >= 0 {
		n.log.WithField("bytes", len(parts[i])).Error("copy of the platform's values not sent to joining nodes; a value is too large")
		return
	}
	for i, body := range parts {
		for _, entry := range entries {
			now, age := n.sendTime(copied.CurrentAt)
			n.links.SendCopyPart(entry, &wire.CopyPart{
				Revision: copied.Revision, Items: body, IsFirst: i == 0, IsLast: i == len(parts)-1, IsExact: copied.IsExact, Time: now, Age: age,
			})
		}
	}
	n.log.WithFields(logrus.Fields{"nodes": len(entries), "values": len(copied.Items)}).Debug("copy of the platform's values sent to joining nodes")
}

// packParts packs values in parts of at most maxPartItems values and maxPartBytes bytes. A larger
// value has a part of its own. An empty copy has one part.
func packParts(items []mirror.Item) ([][]byte, error) {
	var parts [][]byte
	for first := true; first || len(items) > 0; first = false {
		count, size := 0, 0
		for count < min(len(items), maxPartItems) {
			size += mirror.SizeOf(items[count : count+1])
			if count > 0 && size > maxPartBytes {
				break
			}
			count++
		}
		body, err := wire.Pack(items[:count])
		if err != nil {
			return nil, err
		}
		parts = append(parts, body)
		items = items[count:]
	}
	return parts, nil
}
