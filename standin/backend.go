package standin

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Headers of requests that a gate sends to its backend server, and of the answers.
const (
	// RequestHeader carries the request's id; the answer repeats it.
	RequestHeader = "Fuchsiapick-Request"
	// CallerHeader carries the caller's name.
	CallerHeader = "Fuchsiapick-Caller"
	// AccountHeader carries the client account of the request's key.
	AccountHeader = "Fuchsiapick-Account"
	// DeadlineHeader carries the time left for the request, in milliseconds.
	DeadlineHeader = "Fuchsiapick-Deadline"
	// RefusalHeader marks a 503 as an answer to a request that did not run.
	RefusalHeader = "Fuchsiapick-Backend"
	// RefusalShed is the only value of RefusalHeader.
	RefusalShed = "shed"
	// RateLimitHeader carries, in an answer, the requests per second that the backend server
	// accepts.
	RateLimitHeader = "Fuchsiapick-Rate-Limit"
	// LeavingHeader states with the value "1" in an answer that the backend server leaves.
	LeavingHeader = "Fuchsiapick-Leaving"
	// BackendHeader names the backend server that answered.
	BackendHeader = "Backend"
)

// WorkArgument is the query argument that says how long its request takes, such as "2.5s", in
// place of the backend server's service time.
const WorkArgument = "work"

// loadUpdateInterval is the number of begun requests after which /load is updated.
const loadUpdateInterval = 32

// BackendConfig describes a backend server to start.
type BackendConfig struct {
	Name    string
	Address string
	// Slots is how many requests run concurrently, at least 1; further requests wait.
	Slots int
	// Service is the time that a request takes without a fault.
	Service clock.Millis
	// Ledger is the maximum number of entries in the ledger; 0 means 65,536.
	Ledger int
	// Seed seeds the choice of the requests that a fault affects.
	Seed uint64
}

// Backend is a simulated backend server. It is safe for concurrent use.
type Backend struct {
	config    BackendConfig
	address   string
	closeOnce sync.Once
	stop      chan struct{}
	clock     *clock.System
	slots     chan struct{}
	ledger    ledger

	mu       sync.Mutex
	ln       *listener
	isDown   bool
	crashes  int
	rand     *rand.Rand
	fault    Fault
	sequence int // requests since the fault was set
	load     load
}

// load is the body of an answer to /load.
type load struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

// StartBackend starts a backend server that serves until Close. It returns an error if it
// can't listen on the address.
func StartBackend(ctx context.Context, config BackendConfig) (*Backend, error) {
	if config.Slots <= 0 {
		config.Slots = 1
	}
	if config.Ledger <= 0 {
		config.Ledger = defaultLedgerSize
	}
	ln, err := listen(ctx, config.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "starting backend server %s", config.Name)
	}
	b := &Backend{
		config:  config,
		ln:      ln,
		address: ln.Addr().String(),
		stop:    make(chan struct{}),
		clock:   clock.NewSystem(),
		slots:   make(chan struct{}, config.Slots),
		ledger:  ledger{size: uint64(config.Ledger)},
		rand:    rand.New(rand.NewPCG(config.Seed, 1)),
		fault:   Fault{Kind: Healthy},
		load:    load{Slots: config.Slots},
	}
	go serve(ln, b.handle)
	return b, nil
}

// Address returns the IP number and port that the backend server listens on.
func (b *Backend) Address() string {
	return b.address
}

// SetFault replaces the fault for requests that arrive from now on.
func (b *Backend) SetFault(fault Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = fault
	b.sequence = 0
}

// Ledger returns the most recently begun requests, oldest first.
func (b *Backend) Ledger() []Entry {
	return b.ledger.entries()
}

// Totals returns the counts of all requests since the start.
func (b *Backend) Totals() Totals {
	return b.ledger.counts()
}

// Await waits until reached returns true for the totals. It returns an error if ctx ends
// before.
func (b *Backend) Await(ctx context.Context, reached func(Totals) bool) error {
	return await(ctx, func() (bool, <-chan struct{}) {
		b.ledger.mu.Lock()
		defer b.ledger.mu.Unlock()
		return reached(b.ledger.totals), b.ledger.changed.wait()
	})
}

// Close stops the backend server and closes all its connections. A second call does
// nothing.
func (b *Backend) Close() {
	b.closeOnce.Do(func() {
		b.mu.Lock()
		close(b.stop)
		ln := b.ln
		b.mu.Unlock()
		ln.closeAll()
	})
}

func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	path := pathOf(ctx)
	switch {
	case path == "/healthz":
		ctx.SetStatusCode(fasthttp.StatusOK)
	case path == "/load":
		writeJSON(ctx, b.staleLoad())
	case strings.HasPrefix(path, adminPrefix):
		b.serveAdmin(ctx, path)
	default:
		b.serveRequest(ctx)
	}
}

// staleLoad returns the load as of the last update; see loadUpdateInterval.
func (b *Backend) staleLoad() load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load
}

func (b *Backend) serveAdmin(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == ledgerPath && ctx.IsGet():
		writeJSON(ctx, b.Ledger())
	case path == totalsPath && ctx.IsGet():
		writeJSON(ctx, b.Totals())
	case path == awaitPath && ctx.IsGet():
		b.adminAwait(ctx)
	case path == faultPath:
		runPost(ctx, b.adminFault)
	case path == crashPath:
		runPost(ctx, b.adminCrash)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (b *Backend) adminFault(ctx *fasthttp.RequestCtx) error {
	fault, err := parseFault(ctx)
	if err != nil {
		return err
	}
	b.SetFault(fault)
	return nil
}

// adminCrash crashes the backend server and restarts it after the time in the argument down.
func (b *Backend) adminCrash(ctx *fasthttp.RequestCtx) error {
	var downtime clock.Millis
	if err := downtime.UnmarshalText(ctx.QueryArgs().Peek("down")); err != nil {
		return errors.Annotate(err, "reading down")
	}
	time.AfterFunc(crashNotice, func() { b.CrashFor(downtime) })
	return nil
}

// crashNotice is the time in which the answer to a call that crashes the backend server is written:
// the crash closes all connections.
const crashNotice = 100 * time.Millisecond

// adminAwait answers GET /standin/await?begun=N&ended=N&refused=N&wait=10s.
func (b *Backend) adminAwait(ctx *fasthttp.RequestCtx) {
	var minCounts [3]uint64
	for i, name := range []string{"begun", "ended", "refused"} {
		count, err := countArgument(ctx, name)
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		minCounts[i] = count
	}
	runAwait(ctx, func(ctx context.Context) error {
		return b.Await(ctx, func(t Totals) bool {
			return t.Begun >= minCounts[0] && t.Ended() >= minCounts[1] && t.Refused >= minCounts[2]
		})
	})
	if ctx.Response.StatusCode() == fasthttp.StatusOK {
		writeJSON(ctx, b.Totals())
	}
}
