// Package node runs the process of one instance: an entry for callers, a gate for each
// upstream beside it, links to other nodes, the platform reader and the admin server, under
// one supervisor.
package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"hash/maphash"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/departure"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/memory"
	"fuchsiapick.example/fuchsiapick/metrics"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/referral"
	"fuchsiapick.example/fuchsiapick/relay"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/versionguard"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// gateWorkers bounds the requests that all gates of a node run concurrently. The design
	// size is 83 upstreams with 7 slots each, and as many waiting requests.
	gateWorkers = 2048
	maxEvents   = 2000
	maxCallers  = 1000
)

// Config configures a Node.
type Config struct {
	Settings *settings.Settings
	Log      *logrus.Logger
	// Listeners are the open ports to serve on. If nil, Run opens the ports that the settings
	// name. Run closes them in either case.
	Listeners *Listeners
	// KeyMargin is by how much the age of an idempotency key may be understated; 0 stands for
	// resend.Margin. Tests set it to be able to resend immediately.
	KeyMargin clock.Millis
	// Store is the platform's store, or nil if there is no platform.
	Store mirror.Store
	// TableBuilder builds the tables if the platform publishes them in a format of its own.
	// It is nil if the platform holds tables in this project's format.
	TableBuilder TableBuilder
	// Panics recovers the panics of goroutines; nil stands for one that logs to Log.
	Panics *logging.Panics
	// LogDrops reports how many log lines were dropped; it may be nil.
	LogDrops metrics.LogDrops
	// CallerHeaders and UpstreamHeaders are the platform's names of headers; empty names stand
	// for those of this project.
	CallerHeaders   entry.Headers
	UpstreamHeaders gate.Headers
}

// Node is one process of the fleet. It is safe for concurrent use.
type Node struct {
	settings     *settings.Settings
	tableBuilder TableBuilder
	follower     *mirror.Follower // nil if there is no platform
	listeners    *Listeners       // nil before Run if Config has none
	// upstreamHeaders are the names of the headers that backend servers receive.
	upstreamHeaders gate.Headers
	log             logrus.FieldLogger
	panics          *logging.Panics
	held            atomic.Pointer[Held]
	peerRestarts    atomic.Uint64
	failures        chan error            // why the node must end at once
	leaveReason     atomic.Pointer[error] // why the node leaves by itself
	serving         serving
	clock           *clock.System
	incarnation     uint64
	seed            uint64
	accessLog       *access.Log
	metrics         *metrics.Set
	entry           *entry.Entry
	links           *link.Server
	callerServer    *fasthttp.Server
	keys            *gate.KeyStore
	crashes         *crashTracker
	quotas          *quotas
	memory          *memory.Budget
	answers         *memory.Answers
	peersConfig     link.PeersConfig
	lockChecks      atomic.Int32 // requested, of which one runs
	localWaiters    *localWaiters
	entryPool       *ants.Pool
	gatePool        *ants.Pool
	root            *suture.Supervisor
	peerSupervisor  *suture.Supervisor
	leave           chan struct{}
	leaveOnce       sync.Once
	// peerVersionKnown is closed when the heartbeat of a dialled peer has shown that this
	// node's table is at least as new as the peer's. With a TableBuilder, the first heartbeat
	// of a dialled peer closes it.
	peerVersionKnown chan struct{}
	peerVersionOnce  sync.Once
	// inForce is closed when the first table is in force.
	inForce     chan struct{}
	inForceOnce sync.Once

	// copyKnown is closed when this node has its first copy of the platform's values.
	copyKnown     chan struct{}
	copyKnownOnce sync.Once
	// joinAnswers holds the answers of the nodes that this node asks while it joins the fleet.
	joinAnswers chan joinAnswer
	// receivedParts holds the parts of a copy that is being received, by node.
	receivedParts map[string][]mirror.Item

	// heartbeatRequested is filled when a change of a gate should reach the entries of other
	// nodes immediately.
	heartbeatRequested chan struct{}

	// offerMu is held from the decision about an offered table until it is logged: peers offer
	// tables at the same time, and the log must have them in the order in which they were in
	// force. It is locked before mu.
	offerMu      sync.Mutex
	mu           sync.Mutex
	versionGuard *versionguard.VersionGuard
	table        *table.Table
	tableText    []byte
	gates        map[string]*gate.Gate
	// retired holds the gate that was removed last, by the name of its upstream. unknownUpstreams
	// holds when an upstream that this node doesn't know was asked for first.
	retired          map[string]*gate.Gate
	unknownUpstreams map[string]clock.Millis
	// earlyAnnouncements holds announcements of upstreams that have no gate yet, by name.
	earlyAnnouncements map[string]earlyAnnouncement
	peers              map[string]*peer
	// members are the nodes that the table names, topology is theirs or nil until it is needed.
	members  []relay.Member
	topology *relay.Topology
	// joinParent is the node that serves this one while it joins the fleet; empty afterwards.
	// placements records the joining nodes that this node serves, awaitedCopies those that wait
	// for this node's first copy, until sendsCopies is set.
	joinParent    string
	placements    *referral.Book
	awaitedCopies []uint64
	sendsCopies   bool
	stopping      bool // a shutdown has begun
	// gatesStop is when the last runs of requests that may run only once have to end.
	gatesStop departure.Stop
	leaving   bool // the gates refuse new requests
	// readRevisions holds the revisions of the values that were applied, by key. Only the
	// follower's goroutine uses it.
	readRevisions       map[string]uint64
	neighbourSeed       maphash.Seed // for rank
	platformUnavailable bool
	listedLeaving       map[string]bool // by the instance list: whether a node is leaving
}

// New returns a node that Run starts. It returns an error if a worker pool can't be created.
func New(c Config) (*Node, error) {
	if c.UpstreamHeaders == (gate.Headers{}) {
		c.UpstreamHeaders = gate.DefaultHeaders()
	}
	if c.Panics == nil {
		c.Panics = logging.NewPanics(c.Log.WithField("node", c.Settings.Node), Parts...)
	}
	n := newNode(c)
	n.seed = n.incarnation
	n.keys = gate.NewKeyStore(n.clock.Now)
	n.crashes = newCrashTracker(n.clock.Now, func(c *wire.CrashReport) { n.links.BroadcastCrashes(c) })
	n.quotas = newQuotas(n)
	n.panics.Observe(n.checkLocks)
	n.metrics = n.newMetrics(c.LogDrops)
	if err := n.buildPools(); err != nil {
		return nil, errors.Trace(err)
	}
	n.entry = entry.New(entry.Config{
		Domain:        c.Settings.Domain,
		Service:       c.Settings.Service,
		Headers:       c.CallerHeaders,
		Announcements: n.upstreamHeaders.Announcements,
		Incarnation:   n.incarnation,
		Seed:          n.seed,
		Now:           n.clock.Now,
		Pool:          n.entryPool,
		MaxBody:       c.Settings.Limits.Body,
		Memory:        n.memory,
		Recorder:      n.metrics,
		Retries:       n.metrics,
		Claims:        n.metrics,
		WriteTimeout:  callerWriteTimeout,
		Deliveries:    n.metrics,
		GateClient:    n.gateClient,
		CrashTracker:  n.crashes,
		Quotas:        n.quotas,
		KeyMargin:     c.KeyMargin,
		Panics:        n.panics,
		Log:           n.log,
	})
	if c.Store != nil {
		n.follower = n.newFollower(c.Store)
	}
	n.peersConfig = link.PeersConfig{Answers: n.answers, Panics: n.panics, OnReplaced: n.recordRestart}
	n.links = link.NewServer(link.ServerConfig{
		Identity:          n.identity(),
		MaxFrame:          n.frameLimit(),
		Handshakes:        n.shares().Handshakes,
		HeartbeatInterval: c.Settings.HeartbeatInterval,
		Now:               n.clock.Now,
		Handler:           n,
		Panics:            n.panics,
		Log:               n.log,
	})
	return n, nil
}

// newNode returns a node without the parts that New builds.
func newNode(c Config) *Node {
	return &Node{
		settings:           c.Settings,
		tableBuilder:       c.TableBuilder,
		upstreamHeaders:    c.UpstreamHeaders,
		listeners:          c.Listeners,
		log:                c.Log.WithField("node", c.Settings.Node),
		panics:             c.Panics,
		failures:           make(chan error, 1),
		clock:              clock.NewSystem(),
		incarnation:        randomUint64(),
		answers:            memory.NewAnswers(int64(c.Settings.Limits.Memory)),
		memory:             memory.NewBudget(int64(c.Settings.Limits.Memory)),
		leave:              make(chan struct{}),
		heartbeatRequested: make(chan struct{}, 1),
		peerVersionKnown:   make(chan struct{}),
		inForce:            make(chan struct{}),
		copyKnown:          make(chan struct{}),
		joinAnswers:        make(chan joinAnswer, joinAnswerQueue),
		receivedParts:      map[string][]mirror.Item{},
		placements:         referral.NewBook(c.Settings.Domain),
		versionGuard:       versionguard.New(),
		gates:              map[string]*gate.Gate{},
		retired:            map[string]*gate.Gate{},
		unknownUpstreams:   map[string]clock.Millis{},
		earlyAnnouncements: map[string]earlyAnnouncement{},
		localWaiters:       newLocalWaiters(),
		peers:              map[string]*peer{},
		listedLeaving:      map[string]bool{},
		readRevisions:      map[string]uint64{},
		neighbourSeed:      maphash.MakeSeed(),
		accessLog: access.New(access.Config{
			Records: c.Settings.Limits.Records,
			Events:  maxEvents,
			Callers: maxCallers,
		}),
	}
}

// newMetrics returns the node's metrics, which read the state of its parts.
func (n *Node) newMetrics(drops metrics.LogDrops) *metrics.Set {
	return metrics.New(metrics.Config{
		Recorder:  n.accessLog,
		State:     n,
		Readiness: n,
		Platform:  n,
		Links:     n,
		Gates:     n,
		Quotas:    n.quotas,
		LogDrops:  drops,
		Panics:    n.panics,
		Restarts:  n,
		Requests:  n.settings.Limits.Requests,
		Memory:    n.memory,
		Answers:   n.answers,
	})
}

func (n *Node) buildPools() error {
	var err error
	n.entryPool, err = ants.NewPool(n.settings.Limits.Requests, ants.WithNonblocking(true))
	if err != nil {
		return errors.Annotate(err, "creating the worker pool of the entry")
	}
	n.gatePool, err = ants.NewPool(gateWorkers, ants.WithNonblocking(true), ants.WithPanicHandler(n.recordGatePanic))
	return errors.Annotate(err, "creating the worker pool of the gates")
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return binary.BigEndian.Uint64(b[:])
}

// address returns the link address under which tables name this node.
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

// packedOverhead is more than the size in bytes of a frame's fields besides packed values.
const packedOverhead = 1 << 10

// fitsFrame reports whether a frame can carry packed values. A peer ends the link at a larger frame.
func (n *Node) fitsFrame(packed []byte) bool {
	return len(packed) <= n.frameLimit()-packedOverhead
}

// maxPlatformValue is the size in bytes of the platform's largest value, which a table
// version frame has to hold.
const maxPlatformValue = 1 << 20

// ErrRequestsCut means that the node stopped with requests in flight: its grace period was
// over, or the context of Run ended.
const ErrRequestsCut = errors.ConstError("requests in flight were cut")

// Run serves until the context ends or the shutdown that Leave began is finished. It returns
// ErrRequestsCut if requests were still in flight, and an error if a port that the node needs can never
// be opened or the node has to end by itself.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.openListeners(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	defer listeners.Close()
	n.buildSupervisors(listeners)
	n.bootstrap()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	served := n.root.ServeBackground(ctx)
	go func() { done <- <-served }()
	n.log.WithFields(logrus.Fields{
		"caller": listeners.Caller.Addr().String(),
		"link":   listeners.Link.Addr().String(),
		"admin":  listeners.Admin.Addr().String(),
	}).Info("node started")
	ended := make(chan error, 1)
	go func() {
		defer n.panics.Recover(PartCommand)
		reason := errors.Trace(ErrPanic)
		defer func() { ended <- reason }()
		reason = n.end(ctx, cancel, done)
	}()
	select {
	case reason := <-ended:
		return reason
	case reason := <-n.failures: // the rest may wait for the lock
		n.held.Store(&Held{Requests: n.entry.InFlight()})
		return reason
	}
}

// end waits until the node has left, the context has ended, or the node must end, and then stops it.
func (n *Node) end(ctx context.Context, cancel context.CancelFunc, done chan error) error {
	cut, reason := n.awaitEnd(ctx, done)
	n.recordHeld(cut)
	cancel()
	if !errors.Is(reason, ErrSupervisorEnded) {
		if err := <-done; err != nil && !errors.Is(err, context.Canceled) {
			n.log.WithError(err).Warn("supervisor stopped with an error")
		}
	}
	n.stop()
	n.log.Info("node stopped")
	if reason != nil {
		return reason
	}
	if cut > 0 {
		return errors.Annotatef(ErrRequestsCut, "%d unfinished requests", cut)
	}
	return nil
}

// openListeners returns the listeners of Config, or opens those that the settings name.
func (n *Node) openListeners(ctx context.Context) (*Listeners, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners != nil {
		return n.listeners, nil
	}
	var err error
	n.listeners, err = Listen(ctx, n.settings.Listen, n.log)
	return n.listeners, err
}

func (n *Node) stop() {
	n.links.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, g := range n.gates {
		g.Close()
	}
	for _, g := range n.retired {
		g.Close()
	}
	n.entryPool.Release()
	n.gatePool.Release()
}

// logSupervisorEvent logs failures and restarts of services.
func (n *Node) logSupervisorEvent(e suture.Event) {
	if panicked, ok := e.(suture.EventServicePanic); ok {
		n.panics.Record(PartService, panicked.ServiceName+": "+panicked.PanicMsg, []byte(panicked.Stacktrace))
		return
	}
	n.log.WithFields(logrus.Fields(e.Map())).Warn("supervisor event")
}
