package standin

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Headers between a gate and its backend server.
const (
	// RequestHeader carries the request's id, and is echoed.
	RequestHeader = "Fuchsiapick-Request"
	// CallerHeader carries who asks.
	CallerHeader = "Fuchsiapick-Caller"
	// AccountHeader carries the client account whose key the request came with.
	AccountHeader = "Fuchsiapick-Account"
	// DeadlineHeader carries the milliseconds that are left.
	DeadlineHeader = "Fuchsiapick-Deadline"
	// RefusalHeader is on a 503 for a request that did not run.
	RefusalHeader = "Fuchsiapick-Backend"
	// RefusalShed is the value of RefusalHeader.
	RefusalShed = "shed"
	// BackendHeader names the backend server that answered.
	BackendHeader = "Backend"
)

// loadUpdateInterval is after how many begun requests /load is brought up to date.
const loadUpdateInterval = 32

// BackendConfig describes a backend server to start.
type BackendConfig struct {
	Name    string
	Address string
	// Slots is how many requests run at once; the next ones wait.
	Slots int
	// Service is the time that a request takes.
	Service clock.Millis
	// Ledger is how many entries the ledger holds; 0 stands for 65,536.
	Ledger int
	// Seed draws which requests a fault's share meets.
	Seed uint64
}

// Backend stands in for a backend server. It is safe for concurrent use.
type Backend struct {
	config  BackendConfig
	address string
	once    sync.Once
	stop    chan struct{}
	clock   *clock.System
	slots   chan struct{}
	ledger  ledger

	mu       sync.Mutex
	ln       *listener
	isDown   bool
	crashes  int
	rand     *rand.Rand
	fault    Fault
	sequence int // requests since the fault was set
	load     load
}

// load is what /load answers.
type load struct {
	Running int `json:"running"`
	Slots   int `json:"slots"`
}

// StartBackend listens and serves until Close.
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

// SetFault changes how requests that arrive from now on are treated.
func (b *Backend) SetFault(fault Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = fault
	b.sequence = 0
}

// Ledger returns the latest requests that were begun, oldest first.
func (b *Backend) Ledger() []Entry {
	return b.ledger.entries()
}

// Totals returns the counts of all requests since the start.
func (b *Backend) Totals() Totals {
	return b.ledger.counts()
}

// Await waits until the totals reach what is asked, or ctx ends.
func (b *Backend) Await(ctx context.Context, reached func(Totals) bool) error {
	return await(ctx, func() (bool, <-chan struct{}) {
		b.ledger.mu.Lock()
		defer b.ledger.mu.Unlock()
		return reached(b.ledger.totals), b.ledger.changed.wait()
	})
}

// Close ends the backend server and all its connections. A second call does
// nothing.
func (b *Backend) Close() {
	b.once.Do(func() {
		b.mu.Lock()
		close(b.stop)
		ln := b.ln
		b.mu.Unlock()
		ln.closeAll()
	})
}

func (b *Backend) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/healthz":
		ctx.SetStatusCode(fasthttp.StatusOK)
	case path == "/load":
		writeJSON(ctx, b.staleLoad())
	case strings.HasPrefix(path, adminPrefix):
		b.admin(ctx, path)
	default:
		b.serveRequest(ctx)
	}
}

func (b *Backend) staleLoad() load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load
}

func (b *Backend) admin(ctx *fasthttp.RequestCtx, path string) {
	switch {
	case path == ledgerPath && ctx.IsGet():
		writeJSON(ctx, b.Ledger())
	case path == totalsPath && ctx.IsGet():
		writeJSON(ctx, b.Totals())
	case path == awaitPath && ctx.IsGet():
		b.adminAwait(ctx)
	case path == faultPath:
		runPost(ctx, b.adminFault)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (b *Backend) adminFault(ctx *fasthttp.RequestCtx) error {
	fault, err := faultArguments(ctx)
	if err != nil {
		return err
	}
	b.SetFault(fault)
	return nil
}

// adminAwait answers GET /standin/await?begun=N&ended=N&refused=N&wait=10s.
func (b *Backend) adminAwait(ctx *fasthttp.RequestCtx) {
	var wanted [3]uint64
	for i, name := range []string{"begun", "ended", "refused"} {
		count, err := countArgument(ctx, name)
		if err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		wanted[i] = count
	}
	runAwait(ctx, func(wait context.Context) error {
		return b.Await(wait, func(t Totals) bool {
			return t.Begun >= wanted[0] && t.Ended() >= wanted[1] && t.Refused >= wanted[2]
		})
	})
	if ctx.Response.StatusCode() == fasthttp.StatusOK {
		writeJSON(ctx, b.Totals())
	}
}
