package node

import (
	"runtime/debug"

	"github.com/juju/errors"
)

// Parts of a node in which panics are counted.
const (
	PartCommand = "command" // the process itself, outside a part
	PartCaller  = "caller"  // a caller's request
	PartGate    = "gate"    // a request, or a timer, of a gate
	PartLink    = "link"    // a link with another node
	PartQuota   = "quota"   // a question between nodes on a client account's quota
	PartService = "service" // a service that the supervisor restarts
)

// Parts are all parts.
var Parts = []string{PartCommand, PartCaller, PartGate, PartLink, PartQuota, PartService}

// Errors of Run.
const (
	// ErrSupervisorEnded means that the supervisor of all services ended, although nothing
	// had asked for it.
	ErrSupervisorEnded = errors.ConstError("the supervisor ended by itself")
	// ErrPortClosed means that a port on which the node serves was closed, although nothing had
	// asked for it.
	ErrPortClosed = errors.ConstError("a port was closed")
	// ErrLockHeld means that a lock wasn't released after a panic: what it guards can't be
	// used any more.
	ErrLockHeld = errors.ConstError("a lock is held since a panic")
)

// Held is what a node held when it stopped.
type Held struct {
	// Requests counts the requests in flight, Links the links to and from peers, and Connections
	// those of callers.
	Requests, Links, Connections int
}

// Held returns what the node held when Run stopped it, nothing before.
func (n *Node) Held() Held {
	if held := n.held.Load(); held != nil {
		return *held
	}
	return Held{}
}

// recordHeld records what the node holds, with the given number of requests in flight.
func (n *Node) recordHeld(requests int) {
	links := n.Links()
	n.held.Store(&Held{
		Requests: requests, Links: links.Dialled + links.Accepted,
		Connections: max(int(n.callerServer.GetOpenConnectionsCount()), 0), // the library also counts its listener, until that is closed
	})
}

// recordRestart records that another process answers at a peer's address. If the process before
// it hasn't announced that it leaves, it was killed or ended by itself.
func (n *Node) recordRestart(address string) {
	n.mu.Lock()
	p, ok := n.peers[address]
	isAnnounced := ok && p.leaving
	n.mu.Unlock()
	if isAnnounced {
		return
	}
	n.peerRestarts.Add(1)
	n.log.WithField("peer", address).Warn("peer was restarted without having announced that it leaves")
}

// PeerRestarts returns how often a peer was restarted without having announced that it leaves.
func (n *Node) PeerRestarts() uint64 {
	return n.peerRestarts.Load()
}

// recordGatePanic records a panic of a job other than a request's in the pool of the gates, a health
// check.
func (n *Node) recordGatePanic(value any) {
	n.panics.Record(PartGate, value, debug.Stack())
}
