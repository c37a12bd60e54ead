// Package referral spreads a copy of the platform's values over nodes that start at the same
// time and know only a few seeds. It answers the load of a whole fleet that starts at once: a
// node serves a few joining nodes and refers the others to these, so that the nodes form a tree
// below each seed while the seed still reads the store.
//
// The package decides only; nodes send the messages.
package referral

import (
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// maxOwnDomain is how many joining nodes of its own failure domain a node serves,
	// maxOtherDomain how many of each other domain.
	maxOwnDomain   = 4
	maxOtherDomain = 1
	// placementLifetime is how long a node that was served counts against these limits. It is
	// longer than the start of a fleet.
	placementLifetime = 10 * clock.Second
)

// Book records the joining nodes that a node serves. It is not safe for concurrent use.
type Book struct {
	domain string
	placed []placement
}

type placement struct {
	node, domain string
	at           clock.Millis
}

// NewBook returns the book of a node in a failure domain.
func NewBook(domain string) *Book {
	return &Book{domain: domain}
}

// Place decides about a joining node. It returns nil if the node is to be served, otherwise the
// nodes of its domain to refer it to. Nodes that are unreachable from the joining node are
// forgotten.
func (b *Book) Place(now clock.Millis, node, domain string, unreachable []string) []string {
	b.placed = slices.DeleteFunc(b.placed, func(p placement) bool {
		return p.node == node || now-p.at > placementLifetime || slices.Contains(unreachable, p.node)
	})
	limit := maxOtherDomain
	if domain == b.domain {
		limit = maxOwnDomain
	}
	var served []string
	for _, p := range b.placed {
		if p.domain == domain {
			served = append(served, p.node)
		}
	}
	if len(served) >= limit {
		return served
	}
	b.placed = append(b.placed, placement{node, domain, now})
	return nil
}
