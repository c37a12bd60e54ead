package resend

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Membership records which nodes have, or had within the retention, gates of a service. A
// key may have run at a node that a table edit has removed since.
type Membership struct {
	retention clock.Millis
	// removedAt is when a node lost its last gate; 0 while it has one.
	removedAt map[string]clock.Millis
}

// NewMembership returns a Membership without nodes that keeps removed nodes for the
// retention.
func NewMembership(retention clock.Millis) *Membership {
	return &Membership{retention: retention, removedAt: map[string]clock.Millis{}}
}

// Update records the nodes that the table in force names for the service.
func (m *Membership) Update(now clock.Millis, nodes []string) {
	for node, removed := range m.removedAt {
		switch {
		case slices.Contains(nodes, node):
		case removed == 0:
			m.removedAt[node] = now
		case now-removed > m.retention:
			delete(m.removedAt, node)
		}
	}
	for _, node := range nodes {
		m.removedAt[node] = 0
	}
}

// Has reports whether a node is still recorded.
func (m *Membership) Has(node string) bool {
	_, ok := m.removedAt[node]
	return ok
}

// Nodes returns the nodes that may have received a key which was first sent at most maxAge
// ago, sorted. The maxAge must be within the retention.
func (m *Membership) Nodes(now, maxAge clock.Millis) []string {
	nodes := make([]string, 0, len(m.removedAt))
	for node, removed := range m.removedAt {
		if removed == 0 || now-removed <= maxAge {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}
