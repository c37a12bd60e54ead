package node

import (
	"maps"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// earlyAnnouncementTTL is how long announcements of upstreams without a gate are kept: a
	// restarted node gets them when its peers dial it, before it has read the table.
	earlyAnnouncementTTL = clock.Minute
	// maxEarlyAnnouncements bounds them: several times the 83 upstreams beside a node that the
	// design must support.
	maxEarlyAnnouncements = 1024
)

// earlyAnnouncement is an announcement of an upstream that has no gate yet.
type earlyAnnouncement struct {
	wire.Announcement

	receivedAt clock.Millis
}

// ReceiveAnnouncements passes on what upstreams beside this node have announced to a peer.
func (n *Node) ReceiveAnnouncements(m *wire.Announcements) {
	now := n.clock.Now()
	for _, a := range m.Upstreams {
		n.mu.Lock()
		g, ok := n.gates[a.Upstream]
		if !ok {
			n.keepEarlyAnnouncement(now, a)
		}
		n.mu.Unlock()
		if ok {
			g.LearnAnnouncement(a)
		}
	}
}

// keepEarlyAnnouncement keeps the latest announcement of an upstream for its gate. The caller
// holds the node's lock.
func (n *Node) keepEarlyAnnouncement(now clock.Millis, a wire.Announcement) {
	maps.DeleteFunc(n.earlyAnnouncements, func(_ string, old earlyAnnouncement) bool { return now-old.receivedAt > earlyAnnouncementTTL })
	old, ok := n.earlyAnnouncements[a.Upstream]
	if !ok && len(n.earlyAnnouncements) >= maxEarlyAnnouncements {
		n.log.WithField("upstream", a.Upstream).Warn("announcement from a peer dropped; too many upstreams have no gate")
		return
	}
	if ok && old.Started == a.Started {
		a.IsLeaving = a.IsLeaving || old.IsLeaving
		if old.Age+now-old.receivedAt < a.Age {
			a.IsLimited, a.RateLimit, a.Age = old.IsLimited, old.RateLimit, old.Age+now-old.receivedAt
		}
	}
	n.earlyAnnouncements[a.Upstream] = earlyAnnouncement{a, now}
}

// applyEarlyAnnouncement passes an announcement that arrived before the gate was created to the
// gate. The caller holds the node's lock.
func (n *Node) applyEarlyAnnouncement(upstream string, g *gate.Gate) {
	early, ok := n.earlyAnnouncements[upstream]
	if !ok {
		return
	}
	delete(n.earlyAnnouncements, upstream)
	early.Age += n.clock.Now() - early.receivedAt
	g.LearnAnnouncement(early.Announcement)
}
