package mirror

import "slices"

const (
	// maxRecent and maxRecentEvents limit the updates, and the changes in them, that are kept
	// for subscribers. They cover the seconds in which a link is replaced.
	maxRecent       = 32
	maxRecentEvents = 1000
)

// history keeps the latest updates that this node has sent or applied, so that a node which has
// missed some of them needs no call of the store. It is not safe for concurrent use.
type history struct {
	updates []Update
	events  int
}

// record keeps an update that a peer can apply.
func (h *history) record(u Update) {
	if u.IsTruncated || u.IsListDiff || u.Since == 0 || u.Since >= u.Revision {
		return
	}
	h.updates = append(h.updates, u)
	h.events += len(u.Events)
	for len(h.updates) > maxRecent || h.events > maxRecentEvents {
		h.events -= len(h.updates[0].Events)
		h.updates = slices.Delete(h.updates, 0, 1)
	}
}

// since returns one update with all changes after a revision up to the given one, and false if
// the recent updates don't cover them.
func (h *history) since(revision, upTo uint64) (Update, bool) {
	merged := Update{Since: revision, Revision: revision}
	for _, u := range h.updates {
		if u.Since <= merged.Revision && merged.Revision < u.Revision {
			merged.Events = append(merged.Events, u.Events...)
			merged.Revision = u.Revision
		}
	}
	return merged, merged.Revision >= upTo && merged.Revision > revision
}

// ChangesSince returns an update that brings a copy at a revision up to this node's, and false if
// the latest updates don't suffice for it.
func (f *Follower) ChangesSince(revision uint64) (Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, ok := f.history.since(revision, f.copy.Revision())
	u.CurrentAt = f.schedule.currentAt
	return u, ok && f.schedule.currentAt >= 0
}
