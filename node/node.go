// Package node runs one instance's process: an entry for callers, a gate for
// each upstream beside it, links to other nodes, the reader of the platform and
// the admin address, under one supervisor.
package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"hash/maphash"
	"sync"

	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/metrics"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/versionguard"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// gateWorkers bounds the requests that all gates of a node run at once:
	// 83 upstreams of 7 slots at the size to design for, and as many waiting.
	gateWorkers = 2048
	maxEvents   = 2000
	maxCallers  = 1000
)

// Config configures a Node.
type Config struct {
	Settings *settings.Settings
	Log      *logrus.Logger
	// Listeners are open ports to serve on. Without them Run opens those that
	// the settings name. Run closes them.
	Listeners *Listeners
	// KeyMargin is by how much the age of an idempotency key may be
	// understated; 0 means resend.Margin. Tests set it, to resend at once.
	KeyMargin clock.Millis
	// Store is the platform's; nil without a platform.
	Store mirror.Store
	// TableBuilder makes the tables where the platform publishes in a form of its own;
	// nil where it holds those of this project.
	TableBuilder TableBuilder
	// LogDrops tells of log lines that were left out; it may be nil.
	LogDrops metrics.LogDrops
	// CallerHeaders and UpstreamHeaders are the names that the platform gives
	// to headers; empty ones stand for this project's.
	CallerHeaders   entry.Headers
	UpstreamHeaders gate.Headers
}

// Node is one process of the fleet. It is safe for concurrent use.
type Node struct {
	settings     *settings.Settings
	tableBuilder TableBuilder
	follower     *mirror.Follower // nil without a platform
	listeners    *Listeners
	// upstreamHeaders are the names that backend servers know.
	upstreamHeaders gate.Headers
	log             logrus.FieldLogger
	clock           *clock.System
	incarnation     uint64
	seed            uint64
	book            *access.Log
	metrics         *metrics.Set
	entry           *entry.Entry
	links           *link.Server
	callerServer    *fasthttp.Server
	keys            *gate.KeyStore
	crashes         *crashTracker
	quotas          *quotas
	localWaiters    *localWaiters
	entryPool       *ants.Pool
	gatePool        *ants.Pool
	root            *suture.Supervisor
	peerSupervisor  *suture.Supervisor
	leave           chan struct{}
	leaveOnce       sync.Once
	// peerVersionKnown is closed when a peer has said which table it has in force.
	peerVersionKnown chan struct{}
	peerVersionOnce  sync.Once
	// inForce is closed when the first table is in force.
	inForce     chan struct{}
	inForceOnce sync.Once

	// heartbeatRequested is filled when entries of other nodes should hear at once of a gate.
	heartbeatRequested chan struct{}

	mu           sync.Mutex
	versionGuard *versionguard.VersionGuard
	table        *table.Table
	tableText    []byte
	gates        map[string]*gate.Gate
	// retired are the gates that were removed, strangers since when upstreams are
	// asked for that this node doesn't know.
	retired          map[string]retiredGate
	unknownUpstreams map[string]clock.Millis
	peers            map[string]*peer
	leaving          bool
	// readRevisions are the revisions of the values that were taken in, by key. The
	// follower alone uses it.
	readRevisions       map[string]uint64
	neighbourSeed       maphash.Seed // of neighbours
	platformUnavailable bool
	listedLeaving       map[string]bool // nodes that the instance list says are leaving
}

// New builds a node; Run starts it.
func New(c Config) (*Node, error) {
	n := &Node{
		settings:           c.Settings,
		tableBuilder:       c.TableBuilder,
		upstreamHeaders:    c.UpstreamHeaders,
		listeners:          c.Listeners,
		log:                c.Log.WithField("node", c.Settings.Node),
		clock:              clock.NewSystem(),
		incarnation:        randomUint64(),
		leave:              make(chan struct{}),
		heartbeatRequested: make(chan struct{}, 1),
		peerVersionKnown:   make(chan struct{}),
		inForce:            make(chan struct{}),
		versionGuard:       versionguard.New(),
		gates:              map[string]*gate.Gate{},
		retired:            map[string]retiredGate{},
		unknownUpstreams:   map[string]clock.Millis{},
		localWaiters:       newLocalWaiters(),
		peers:              map[string]*peer{},
		listedLeaving:      map[string]bool{},
		readRevisions:      map[string]uint64{},
		neighbourSeed:      maphash.MakeSeed(),
		book: access.New(access.Config{
			Records: c.Settings.Limits.Records,
			Events:  maxEvents,
			Callers: maxCallers,
		}),
	}
	n.seed = n.incarnation
	n.keys = gate.NewKeyStore(n.clock.Now)
	n.crashes = newCrashes(n.clock.Now, func(c *wire.CrashReport) { n.links.BroadcastCrashes(c) })
	n.quotas = newQuotas(n)
	n.metrics = n.newMetrics(c.LogDrops)
	if err := n.buildPools(); err != nil {
		return nil, errors.Trace(err)
	}
	n.entry = entry.New(entry.Config{
		Domain:       c.Settings.Domain,
		Service:      c.Settings.Service,
		Headers:      c.CallerHeaders,
		Incarnation:  n.incarnation,
		Seed:         n.seed,
		Now:          n.clock.Now,
		Pool:         n.entryPool,
		Recorder:     n.metrics,
		GateClient:   n.target,
		CrashTracker: n.crashes,
		Quotas:       n.quotas,
		KeyMargin:    c.KeyMargin,
		Log:          n.log,
	})
	if c.Store != nil {
		n.follower = n.newFollower(c.Store)
	}
	n.links = link.NewServer(link.ServerConfig{
		Identity:          n.identity(),
		MaxFrame:          n.frameLimit(),
		HeartbeatInterval: c.Settings.HeartbeatInterval,
		Now:               n.clock.Now,
		Handler:           n,
		Log:               n.log,
	})
	return n, nil
}

// newMetrics returns the metrics of the node, whose parts they read.
func (n *Node) newMetrics(lines metrics.LogDrops) *metrics.Set {
	return metrics.New(metrics.Config{
		Recorder:  n.book,
		State:     n,
		Readiness: n,
		Platform:  n,
		Links:     n,
		Gates:     n,
		Quotas:    n.quotas,
		LogDrops:  lines,
		Requests:  n.settings.Limits.Requests,
	})
}

func (n *Node) buildPools() error {
	var err error
	n.entryPool, err = ants.NewPool(n.settings.Limits.Requests, ants.WithNonblocking(true))
	if err != nil {
		return errors.Annotate(err, "making the entry's pool")
	}
	n.gatePool, err = ants.NewPool(gateWorkers, ants.WithNonblocking(true))
	return errors.Annotate(err, "making the gates' pool")
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return binary.BigEndian.Uint64(b[:])
}

// address is the link address under which tables name this node.
func (n *Node) address() string {
	if n.settings.Listen.Announce != "" {
		return n.settings.Listen.Announce
	}
	return n.settings.Listen.Link
}

func (n *Node) identity() link.Identity {
	return link.Identity{Node: n.address(), Incarnation: n.incarnation, Secret: n.settings.Secret}
}

func (n *Node) frameLimit() int {
	return max(n.settings.Limits.Body, wire.ChunkSize, maxPlatformValue) + wire.MaxOverhead
}

// maxPlatformValue is the largest value of the platform, which an edition frame
// carries.
const maxPlatformValue = 1 << 20

// ErrRequestsCut means that the node stopped with requests in flight: its grace was
// over, or it was told to stop at once.
const ErrRequestsCut = errors.ConstError("requests in flight were cut")

// Run serves until the context ends or Leave has finished. It returns ErrCut
// when requests were still in flight.
func (n *Node) Run(ctx context.Context) error {
	listeners := n.listeners
	if listeners == nil {
		var err error
		listeners, err = Listen(ctx, n.settings.Listen)
		if err != nil {
			return errors.Trace(err)
		}
	}
	defer listeners.Close()
	n.buildSupervisors(listeners)
	n.bootstrap()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := n.root.ServeBackground(ctx)
	n.log.WithFields(logrus.Fields{
		"caller": listeners.Caller.Addr().String(),
		"link":   listeners.Link.Addr().String(),
		"admin":  listeners.Admin.Addr().String(),
	}).Info("node started")
	select {
	case <-ctx.Done():
	case <-n.leave:
		n.drain(ctx)
	}
	cut := n.InFlight()
	cancel()
	if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
		n.log.WithError(err).Warn("supervisor ended")
	}
	n.stop()
	n.log.Info("node stopped")
	if cut > 0 {
		return errors.Annotatef(ErrRequestsCut, "%d of them", cut)
	}
	return nil
}

func (n *Node) stop() {
	n.links.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.gates {
		g.Close()
	}
	for _, r := range n.retired {
		r.gate.Close()
	}
	n.entryPool.Release()
	n.gatePool.Release()
}

// logSupervisorEvent logs what the supervisor restarts.
func (n *Node) logSupervisorEvent(e suture.Event) {
	n.log.WithFields(logrus.Fields(e.Map())).Warn("supervisor event")
}
