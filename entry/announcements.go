package entry

import (
	"fuchsiapick.example/fuchsiapick/announcement"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/limit"
	"fuchsiapick.example/fuchsiapick/wire"
)

// announcementRetention is how long an announcement outlives its upstream's entry in the table.
// The registration of a running upstream expires while the platform doesn't hear from it, and
// comes back when it does.
const announcementRetention = 10 * clock.Minute

// gateRecheckInterval is how soon an entry checks again whether a gate can say itself that its
// upstream leaves: a link opens within some milliseconds.
const gateRecheckInterval = 100 * clock.Millis(1)

// process identifies an upstream's process.
type process struct {
	upstream string
	started  int64
}

// announced is what an upstream has announced in a response that this entry has received.
type announced struct {
	announcement.Announcement

	receivedAt clock.Millis
	// share is this entry's share of the rate limit, for a gate that doesn't keep the limit.
	share limit.Pace
	// listedAt is when the table last named the upstream.
	listedAt clock.Millis
}

// recordAnnouncement records what an upstream has announced in a response.
func (s *service) recordAnnouncement(now clock.Millis, m *member, a announcement.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.announced == nil {
		if a == (announcement.Announcement{}) {
			return
		}
		m.announced = &announced{listedAt: now}
		s.announced[m.process()] = m.announced
	}
	previous := m.announced.Announcement
	m.announced.Announcement, m.announced.receivedAt = previous.Follow(a), now
	s.dirty = s.dirty || previous.IsLeaving != m.announced.IsLeaving
	m.announced.setShare(now, s.senders, s.random.Float64())
}

// setShare sets this entry's share of the rate limit among the senders of the fleet. The first
// request of all entries must not be sent at the same time, so the share starts with a random
// part of the token that admits it.
func (a *announced) setShare(now clock.Millis, senders int, start float64) {
	if !a.IsLimited {
		a.share.Clear()
		return
	}
	a.share.Limit(now, max(a.RateLimit, limit.MinPace)/float64(max(senders, 1)), start)
}

// keepsShare reports whether this entry must keep to its share of the upstream's rate limit. A
// gate that keeps the limit admits requests of all entries itself.
func (m *member) keepsShare() bool {
	return m.announced != nil && m.announced.IsLimited && !m.gate.KeepsAnnouncements()
}

// isWithinShare reports whether this entry may send a request to the upstream. The caller holds
// s.mu.
func (s *service) isWithinShare(now clock.Millis, m *member) bool {
	if !m.keepsShare() {
		return true
	}
	m.gate.EnsureLink() // an open link tells whether the gate keeps the limit
	return m.announced.share.Allows(now)
}

// takeShare counts a request against this entry's share of the upstream's rate limit, or returns
// false if the share doesn't admit it.
func (s *service) takeShare(now clock.Millis, m *member) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isWithinShare(now, m) {
		return false
	}
	if m.keepsShare() {
		m.announced.share.Take()
	}
	return true
}

// pruneAnnouncements forgets announcements of upstreams that the table has not named for
// announcementRetention. The caller holds s.mu.
func (s *service) pruneAnnouncements(now clock.Millis) {
	for _, m := range s.members {
		if m.announced != nil {
			m.announced.listedAt = now
		}
	}
	for p, a := range s.announced {
		if now-a.listedAt > announcementRetention {
			delete(s.announced, p)
		}
	}
}

func (m *member) process() process {
	return process{m.upstream.Name, m.upstream.Started}
}

// isLeaving reports whether the upstream gets no new requests, by the instance list, by its gate
// or by its own responses.
func (m *member) isLeaving(now clock.Millis) bool {
	return m.state.Leaving || m.leaving || m.isLeavingUnconfirmed(now)
}

// isLeavingUnconfirmed reports whether the upstream has announced to leave and no gate is known to
// keep that. A gate that does refuses requests itself, until another process has taken the place
// of the upstream's.
func (m *member) isLeavingUnconfirmed(now clock.Millis) bool {
	return m.announced != nil && m.announced.isLeaving(now) && !m.gate.KeepsAnnouncements()
}

func (a *announced) isLeaving(now clock.Millis) bool {
	return a.IsLeaving && now-a.receivedAt < announcement.LeavingRetention
}

// Announcements returns the limits and shutdowns that the upstreams beside a node have announced
// to this entry.
func (e *Entry) Announcements(node string) *wire.Announcements {
	now := e.config.Now()
	m := &wire.Announcements{}
	for _, s := range *e.services.Load() {
		m.Upstreams = s.appendAnnouncements(m.Upstreams, now, node)
	}
	return m
}

func (s *service) appendAnnouncements(all []wire.Announcement, now clock.Millis, node string) []wire.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		if m.upstream.Node != node || m.announced == nil || (!m.announced.IsLimited && !m.announced.isLeaving(now)) {
			continue
		}
		all = append(all, wire.Announcement{
			Upstream: m.upstream.Name, Started: m.upstream.Started, Age: now - m.announced.receivedAt,
			IsLimited: m.announced.IsLimited, RateLimit: m.announced.RateLimit, IsLeaving: m.announced.isLeaving(now),
		})
	}
	return all
}
