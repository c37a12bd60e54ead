package quota

import (
	"maps"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// ContactTimeout is how long the answer to a check may take. It leaves time for the
	// retransmission of a lost packet.
	ContactTimeout = 300 * clock.Millis(1)
	// checkInterval is the time after which a node's last answer is no longer recent.
	checkInterval = 500 * clock.Millis(1)
	// unansweredMemory is how long an unanswered check counts. It spans several checks.
	unansweredMemory = 3 * clock.Second
	// cutOffShare is the part of the limit that a home grants at most while it is cut off: the tables
	// of the other side may no longer name it, and the other side then grants the whole limit.
	cutOffShare = 0.25
	// checksPerSecond bounds the control traffic of checks. Without a check the last result holds.
	checksPerSecond = 10
)

// Contacts records which nodes answer this node. It is not safe for concurrent use.
type Contacts struct {
	nodes map[string]contact
	// checks is how many checks may be sent at checksAt.
	checks   float64
	checksAt clock.Millis
}

// contact holds the times at which the latest check, the first check without an answer and the
// latest answered message were sent.
type contact struct {
	checked, unanswered, answered          clock.Millis
	hasChecked, hasUnanswered, hasAnswered bool
}

// NewContacts returns a record without any node.
func NewContacts() *Contacts {
	return &Contacts{nodes: map[string]contact{}, checks: checksPerSecond}
}

// Answered records that a node has answered a message that was sent at the time sent.
func (c *Contacts) Answered(node string, sent clock.Millis) {
	known := c.nodes[node]
	if !known.hasAnswered || sent > known.answered {
		known.answered, known.hasAnswered = sent, true
	}
	if known.hasUnanswered && sent >= known.unanswered {
		known.hasUnanswered = false
	}
	c.nodes[node] = known
}

// StartChecks returns those of the nodes that must be sent a check now.
func (c *Contacts) StartChecks(now clock.Millis, nodes []string) []string {
	c.checks = min(c.checks+checksPerSecond*max(now-c.checksAt, 0).Seconds(), checksPerSecond)
	c.checksAt = now
	var due []string
	for _, node := range nodes {
		known := c.nodes[node]
		isRecent := (known.hasAnswered && now-known.answered < checkInterval) || (known.hasChecked && now-known.checked < checkInterval)
		if isRecent || c.checks < 1 {
			continue
		}
		c.checks--
		if !known.hasUnanswered || now-known.checked >= unansweredMemory {
			known.unanswered, known.hasUnanswered = now, true
		}
		known.checked, known.hasChecked = now, true
		c.nodes[node] = known
		due = append(due, node)
	}
	return due
}

// isLost reports whether a node hasn't answered for longer than ContactTimeout.
func (c *Contacts) isLost(now clock.Millis, node string) bool {
	known := c.nodes[node]
	return known.hasUnanswered && now-known.unanswered >= ContactTimeout && now-known.checked < unansweredMemory
}

// Share returns the part of an account's limit that a home may grant. Each home of the account
// has an equal part and lends it to the first home that it reaches: if the fleet is split, the
// homes on both sides together grant the limit once. A home has the parts of those after it in
// the list, unless they are lost; nodes ask it only if they can't reach those before it. The caller
// says whether it is cut off, with an outdated table and without most of the nodes.
func (c *Contacts) Share(now clock.Millis, self string, homes []string, isCutOff bool) float64 {
	parts, total := 1, len(homes)
	if !slices.Contains(homes, self) {
		total++
	}
	for _, later := range LaterHomes(self, homes) {
		if !c.isLost(now, later) {
			parts++
		}
	}
	share := float64(parts) / float64(total)
	if isCutOff {
		share = min(share, cutOffShare)
	}
	return share
}

// LaterHomes returns the homes that come after a node. For one that its own table doesn't name, but
// those of others do, these are all of them.
func LaterHomes(node string, homes []string) []string {
	return homes[slices.Index(homes, node)+1:]
}

// Retain removes all nodes but those in a sorted list.
func (c *Contacts) Retain(nodes []string) {
	maps.DeleteFunc(c.nodes, func(node string, _ contact) bool {
		_, isListed := slices.BinarySearch(nodes, node)
		return !isListed
	})
}
