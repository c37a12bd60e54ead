package node

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"github.com/valyala/fasthttp"
)

// Parts of a node in which panics are counted.
const (
	PartCommand = "command" // the process itself, outside a part
	PartCaller  = "caller"  // a caller's request
	PartGate    = "gate"    // a request, or a timer, of a gate
	PartLink    = "link"    // a link with another node
	PartQuota   = "quota"   // a question between nodes on a client account's quota
	PartService = "service" // a service that the supervisor restarts
	PartMetrics = "metrics" // a scrape
	PartAdmin   = "admin"   // a request to the admin address
)

// Parts are all parts.
var Parts = []string{PartCommand, PartCaller, PartGate, PartLink, PartQuota, PartService, PartMetrics, PartAdmin}

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
	// ErrPanic means that the node has panicked while it ended.
	ErrPanic = errors.ConstError("the node panicked while it ended")
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

const (
	// lockTimeout is how long all locks of a node may take to be released, in ticks of
	// lockTick. No lock is held while something waits, so that a busy machine takes milliseconds.
	lockTimeout = 50
	lockTick    = 100 * time.Millisecond
)

// checkLocks ends the node if a lock stays held, after a panic. It doesn't wait. One check runs at a
// time, and once more if another was requested meanwhile.
func (n *Node) checkLocks(part string) {
	if n.lockChecks.Add(1) > 1 {
		return
	}
	go func() {
		for n.areLocksFree() {
			if n.lockChecks.CompareAndSwap(1, 0) {
				return
			}
			n.lockChecks.Store(1)
		}
		select {
		case n.failures <- errors.Annotatef(ErrLockHeld, "in %s", part):
		default: // the node ends already
		}
	}()
}

// areLocksFree reports whether all locks are released within lockTimeout ticks. Ticks are counted, not the
// time: a process that was paused gets one for the pause.
func (n *Node) areLocksFree() bool {
	released := make(chan struct{})
	go func() {
		defer close(released)
		defer func() { // a panic that is counted would request another check
			if value := recover(); value != nil {
				n.log.WithFields(logrus.Fields{"part": PartCommand, "panic": fmt.Sprint(value), "stack": string(debug.Stack())}).Error("panic")
			}
		}()
		n.takeLocks()
	}()
	ticker := time.NewTicker(lockTick)
	defer ticker.Stop()
	for range lockTimeout {
		select {
		case <-released:
			return true
		case <-ticker.C:
		}
	}
	return false
}

// takeLocks takes each lock of the node once.
func (n *Node) takeLocks() {
	n.offerMu.Lock()
	n.offerMu.Unlock() //nolint:staticcheck // the lock is taken to see that it is free
	n.InFlight()       // the gates' locks, and the node's
	n.Links()          // those of the links
	n.links.HeartbeatEchoed(0)
	n.entry.States()
	n.quotas.QuotaCounts()
	if n.follower != nil {
		n.PlatformStats()
	}
}

// awaitEnd waits until the node has left, the context has ended, or the node must end. It returns how
// many requests are cut.
func (n *Node) awaitEnd(ctx context.Context, supervisor chan error) (cut int, err error) {
	ended := make(chan int, 1)
	go func() {
		count := 0
		defer func() { ended <- count }()
		defer n.panics.Recover(PartCommand)
		select {
		case <-ctx.Done():
			count = n.InFlight()
		case <-n.leave:
			count = n.drain(ctx)
		}
	}()
	select {
	case cut = <-ended:
	case reason := <-supervisor:
		if !errors.Is(reason, context.Canceled) {
			n.log.WithError(reason).Error("the supervisor ended by itself")
			return n.cut(ctx), errors.Trace(ErrSupervisorEnded)
		}
		supervisor <- reason // for end, which waits for it
		cut = <-ended        // callers get their answers until then
	}
	if reason := n.leaveReason.Load(); reason != nil {
		return cut, *reason
	}
	return cut, nil
}

// portClosed returns what the service of a port returns to its supervisor when the port was closed, which a
// restart can't change. A node that can't be reached any more leaves.
func (n *Node) portClosed(name string, isVital bool) error {
	err := errors.Annotate(ErrPortClosed, name)
	if !isVital {
		n.log.WithError(err).Error("the node goes on without a port")
		return suture.ErrDoNotRestart
	}
	n.log.WithError(err).Error("the node leaves")
	n.leaveReason.CompareAndSwap(nil, &err)
	n.Leave()
	return suture.ErrDoNotRestart
}

// serving counts the services that callers and peers need and that run.
type serving struct {
	count atomic.Int32
}

// vitalServices are those of callers and links.
const vitalServices = 2

// while counts a service while it runs.
func (s *serving) while(run func() error) error {
	s.count.Add(1)
	defer s.count.Add(-1)
	return run()
}

func (s *serving) isComplete() bool {
	return s.count.Load() == vitalServices
}

// guard makes a server answer 500 to a request whose handling panics. The HTTP library doesn't recover.
func (n *Node) guard(server *fasthttp.Server) *fasthttp.Server {
	handle := server.Handler
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if value := recover(); value != nil {
				n.panics.Record(PartAdmin, value, debug.Stack())
				ctx.Error("not written\n", fasthttp.StatusInternalServerError)
			}
		}()
		handle(ctx)
	}
	return server
}
