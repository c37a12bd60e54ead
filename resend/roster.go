package resend

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Membership remembers which nodes have had gates of a service, also after a table
// edit took them out: a key may have run there before.
type Membership struct {
	retention clock.Millis
	// removedAt is when a node's last gate went; 0 while it has one.
	removedAt map[string]clock.Millis
}

// NewMembership returns a roster that names nodes for a retention after they left.
func NewMembership(retention clock.Millis) *Membership {
	return &Membership{retention: retention, removedAt: map[string]clock.Millis{}}
}

// Update takes in the nodes that a table in force names for the service.
func (r *Membership) Update(now clock.Millis, nodes []string) {
	for node, left := range r.removedAt {
		switch {
		case slices.Contains(nodes, node):
		case left == 0:
			r.removedAt[node] = now
		case now-left > r.retention:
			delete(r.removedAt, node)
		}
	}
	for _, node := range nodes {
		r.removedAt[node] = 0
	}
}

// Has reports whether the roster still names a node.
func (r *Membership) Has(node string) bool {
	_, ok := r.removedAt[node]
	return ok
}

// Nodes returns the nodes that may have had a key which was first sent at most
// reach ago, sorted. Reach must be within the retention.
func (r *Membership) Nodes(now, reach clock.Millis) []string {
	all := make([]string, 0, len(r.removedAt))
	for node, left := range r.removedAt {
		if left == 0 || now-left <= reach {
			all = append(all, node)
		}
	}
	slices.Sort(all)
	return all
}
