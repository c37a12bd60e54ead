package node_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// endTimeout is how long a test waits for a node to end, on a busy machine.
const endTimeout = 30 * time.Second

// runNode runs a node that the test ends some other way than by its context. It returns the node, and the
// channel of Run's error.
func runNode(t *testing.T, l *node.Listeners, log *logrus.Logger) (*node.Node, <-chan error) {
	t.Helper()
	return runNodeUntil(t.Context(), t, l, log)
}

// runNodeUntil runs a node until the context ends, at the latest.
func runNodeUntil(ctx context.Context, t *testing.T, l *node.Listeners, log *logrus.Logger) (*node.Node, <-chan error) {
	t.Helper()
	n, err := node.New(node.Config{Log: log, Listeners: l, Settings: &settings.Settings{
		Node: "n", Domain: "palermo", Secret: "a secret of this test", HeartbeatInterval: 200, Grace: clock.Second,
		Listen: settings.Listen{Caller: "127.0.0.1:1", Link: l.Link.Addr().String(), Admin: "127.0.0.1:2"},
		Limits: settings.Limits{Body: 1 << 20, Answer: 1 << 20, Requests: 16, Records: 16},
	}})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	return n, done
}

// offerTable makes a table with one upstream beside the node known to it.
func offerTable(t *testing.T, n *node.Node, l *node.Listeners, upstream string) {
	t.Helper()
	text, err := toml.Marshal(table.Table{
		Format: table.Format, Version: 1,
		Services: []table.Service{{
			Name: "conferme", Caution: table.ShortEpisodes, Floor: 0.3, Deadline: clock.Second, Queue: 1,
			Objective: table.Objective{Availability: table.DefaultAvailability, Latency: 500, LatencyRatio: table.DefaultLatencyRatio},
			Upstreams: []table.Upstream{{
				Name: "c1", Address: upstream, Node: l.Link.Addr().String(),
				Domain: "palermo", Weight: 100, Slots: 1, Connections: 1,
			}},
		}},
		Routes: []table.Route{{Prefix: "/", Service: "conferme", MaxAttempts: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	n.ReceiveTable("peer", &wire.TableVersion{Version: 1, Text: text})
	select {
	case <-n.InForce():
	case <-time.After(endTimeout):
		t.Fatal("got no table in force, want one")
	}
}

func awaitRunError(t *testing.T, done <-chan error, want error) {
	t.Helper()
	select {
	case err := <-done:
		if !errors.Is(err, want) {
			t.Errorf("got %v, want %v", err, want)
		}
	case <-time.After(endTimeout):
		t.Errorf("got a node that goes on, want its end: %v", want)
	}
}

func awaitReady(t *testing.T, n *node.Node, want bool) {
	t.Helper()
	for deadline := time.After(endTimeout); n.Ready() != want; {
		select {
		case <-deadline:
			t.Fatalf("got ready %v, want %v", !want, want)
		case <-time.After(time.Millisecond):
		}
	}
}

// faultyListener fails or panics instead of accepting connections.
type faultyListener struct {
	node.Listener

	fault func()
	err   error
}

func (l *faultyListener) Accept() (net.Conn, error) {
	if l.fault != nil {
		l.fault()
	}
	if l.err != nil {
		return nil, l.err
	}
	return l.Listener.Accept()
}

// Guards against a node that lives and serves nobody, because its supervisor has ended.
func TestNodeEndsWithItsSupervisor(t *testing.T) {
	l := listen(t)
	l.Link = &faultyListener{Listener: l.Link, err: suture.ErrTerminateSupervisorTree}
	_, done := runNode(t, l, logging.Silent())
	awaitRunError(t, done, node.ErrSupervisorEnded)
}

// Guards against a node that lives and serves no callers, or no peers, because its port was closed: a
// restart of the service can't open it again.
func TestNodeEndsWhenAPortIsClosed(t *testing.T) {
	for name, pick := range map[string]func(*node.Listeners) node.Listener{
		"callers": func(l *node.Listeners) node.Listener { return l.Caller },
		"links":   func(l *node.Listeners) node.Listener { return l.Link },
	} {
		t.Run(name, func(t *testing.T) {
			l := listen(t)
			n, done := runNode(t, l, logging.Silent())
			offerTable(t, n, l, "127.0.0.1:1")
			awaitReady(t, n, true)
			if err := pick(l).Close(); err != nil {
				t.Fatal(err)
			}
			awaitRunError(t, done, node.ErrPortClosed)
		})
	}
}

// Guards against a node that ends without its admin port, which nobody needs to be served.
func TestNodeOutlivesItsAdminPort(t *testing.T) {
	l := listen(t)
	n, done := runNode(t, l, logging.Silent())
	offerTable(t, n, l, "127.0.0.1:1")
	awaitReady(t, n, true)
	if err := l.Admin.Close(); err != nil {
		t.Fatal(err)
	}
	address := l.Caller.Addr().String()
	for range 20 {
		if status, _, err := fasthttp.Get(nil, "http://"+address+"/turno"); err != nil || status != fasthttp.StatusServiceUnavailable {
			t.Fatalf("got %d, %v; want 503, for the upstream is down", status, err)
		}
	}
	n.Leave()
	awaitRunError(t, done, nil)
}

// Guards against a node that says it is ready while a service which panics at once after each restart serves
// no peers, and against one that doesn't recover.
func TestNodeIsNotReadyWhileAServicePanics(t *testing.T) {
	l := listen(t)
	var isBroken atomic.Bool
	var panics atomic.Int64
	isBroken.Store(true)
	l.Link = &faultyListener{Listener: l.Link, fault: func() {
		if isBroken.Load() {
			panics.Add(1)
			panic("a fault of this test")
		}
	}}
	n, done := runNode(t, l, logging.Silent())
	offerTable(t, n, l, "127.0.0.1:1")
	for panics.Load() <= 5 {
		time.Sleep(time.Millisecond) //nolint:forbidigo // nothing else tells of a restart
	}
	awaitReady(t, n, false)
	isBroken.Store(false)
	awaitReady(t, n, true)
	n.Leave()
	awaitRunError(t, done, nil)
	if got := panics.Load(); got > 100 {
		t.Errorf("got %d restarts, want them bounded", got)
	}
}

// panicHook panics while a line is logged.
type panicHook struct{ message string }

func (*panicHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h *panicHook) Fire(e *logrus.Entry) error {
	if e.Message == h.message {
		panic("a fault of this test")
	}
	return nil
}

// Guards against a node whose gate never answers again, because a panic has left its lock held.
func TestNodeEndsWhenAPanicLeavesALockHeld(t *testing.T) {
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set(gate.HeaderRateLimit, "5") }}
	go func() { _ = server.Serve(upstream) }() // until the test closes its port
	defer func() { _ = upstream.Close() }()
	log := logging.Silent()
	log.AddHook(&panicHook{"backend server announced a change"}) // logged with the gate's lock held
	l := listen(t)
	n, done := runNode(t, l, log)
	offerTable(t, n, l, upstream.Addr().String())
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + l.Caller.Addr().String() + "/turno")
	request.Header.SetMethod(fasthttp.MethodPost)
	_ = fasthttp.DoTimeout(request, response, endTimeout) // the node may end before it has answered
	awaitRunError(t, done, node.ErrLockHeld)
}

// signallingHook is a panicHook that tells of its panic.
type signallingHook struct {
	panicHook

	fired chan struct{}
	once  sync.Once
}

func (h *signallingHook) Fire(e *logrus.Entry) error {
	if e.Message == h.message {
		h.once.Do(func() { close(h.fired) })
	}
	return h.panicHook.Fire(e)
}

// Guards against a process that never ends, because it is asked to stop while a lock is held since a panic.
func TestNodeEndsWhenItStopsWithALockHeld(t *testing.T) {
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.Response.Header.Set(gate.HeaderRateLimit, "5") }}
	go func() { _ = server.Serve(upstream) }() // until the test closes its port
	defer func() { _ = upstream.Close() }()
	log := logging.Silent()
	hook := &signallingHook{panicHook: panicHook{"backend server announced a change"}, fired: make(chan struct{})}
	log.AddHook(hook)
	l := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	n, done := runNodeUntil(ctx, t, l, log)
	offerTable(t, n, l, upstream.Addr().String())
	go func() {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + l.Caller.Addr().String() + "/turno")
		request.Header.SetMethod(fasthttp.MethodPost)
		_ = fasthttp.DoTimeout(request, response, endTimeout) // the node may end before it has answered
	}()
	<-hook.fired
	n.Leave()
	cancel()
	awaitRunError(t, done, node.ErrLockHeld)
}

// panickingBuilder panics as long as a count lasts.
type panickingBuilder struct {
	fixedTable

	left *atomic.Int64
}

func (b panickingBuilder) Table(items []mirror.Item) (*table.Table, bool) {
	if b.left.Add(-1) >= 0 {
		panic("a fault of this test")
	}
	return b.fixedTable.Table(items)
}

// Guards against a node that ends, or never has a table, because the reader of the platform panics at once
// after each restart.
func TestNodeOutlivesAReaderOfThePlatformThatPanics(t *testing.T) {
	const panics = 7 // more than the supervisor allows without a pause
	l := listen(t)
	left := &atomic.Int64{}
	left.Store(panics)
	counts := logging.NewPanics(logging.Silent(), node.Parts...)
	n, err := node.New(node.Config{
		Log: logging.Silent(), Listeners: l, Panics: counts, Store: fakeStore{},
		TableBuilder: panickingBuilder{fixedTable{tableOf([]*node.Listeners{l})}, left},
		Settings: &settings.Settings{
			Node: "n", Domain: "palermo", Secret: "a secret of this test", HeartbeatInterval: 200, Grace: clock.Second,
			Listen: settings.Listen{Caller: "127.0.0.1:1", Link: l.Link.Addr().String(), Admin: "127.0.0.1:2"},
			Limits: settings.Limits{Body: 1 << 20, Answer: 1 << 20, Requests: 16, Records: 16},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- n.Run(t.Context()) }()
	awaitReady(t, n, true)
	if got := counts.PanicCounts()[node.PartService]; got != panics {
		t.Errorf("got %d panics counted, want %d", got, panics)
	}
	n.Leave()
	awaitRunError(t, done, nil)
}
