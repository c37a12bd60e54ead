package resend

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Roster remembers which nodes have had gates of a service, also after a table
// edit took them out: a key may have run there before.
type Roster struct {
	retention clock.Millis
	// left is when a node's last gate went; 0 while it has one.
	left map[string]clock.Millis
}

// NewRoster returns a roster that names nodes for a retention after they left.
func NewRoster(retention clock.Millis) *Roster {
	return &Roster{retention: retention, left: map[string]clock.Millis{}}
}

// Update takes in the nodes that a table in force names for the service.
func (r *Roster) Update(now clock.Millis, nodes []string) {
	for node, left := range r.left {
		switch {
		case slices.Contains(nodes, node):
		case left == 0:
			r.left[node] = now
		case now-left > r.retention:
			delete(r.left, node)
		}
	}
	for _, node := range nodes {
		r.left[node] = 0
	}
}

// Has reports whether the roster still names a node.
func (r *Roster) Has(node string) bool {
	_, ok := r.left[node]
	return ok
}

// Nodes returns the nodes that may have had a key which was first sent at most
// reach ago, sorted. Reach must be within the retention.
func (r *Roster) Nodes(now, reach clock.Millis) []string {
	all := make([]string, 0, len(r.left))
	for node, left := range r.left {
		if left == 0 || now-left <= reach {
			all = append(all, node)
		}
	}
	slices.Sort(all)
	return all
}
