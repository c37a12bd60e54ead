package link_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fasthttp/websocket"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// refusingHandler refuses all dispatches, as the gates of a leaving node do.
type refusingHandler struct {
	countingHandler

	server *link.Server
}

func (h *refusingHandler) Dispatch(entry uint64, d *wire.Dispatch) {
	h.dispatched.Add(1)
	h.server.SendReply(entry, &wire.Reply{ID: d.ID, Attempt: d.Attempt, Outcome: wire.NotRun, Reason: wire.ReasonLeaving})
}

func (h *refusingHandler) Resolve(entry uint64, r *wire.Resolve) {
	h.server.SendResolution(entry, &wire.Resolution{ID: r.ID, Attempt: r.Attempt, Revoked: true})
}

// serveLeaving starts the link server of a leaving node. Its clock is now.
func serveLeaving(t *testing.T, now func() clock.Millis) (string, *refusingHandler) {
	t.Helper()
	listener := listen(t)
	handler := &refusingHandler{}
	handler.server = link.NewServer(link.ServerConfig{
		Identity: identity(listener.Addr().String(), secret), MaxFrame: limit, HeartbeatInterval: 20 * clock.Millis(1), Now: now,
		Handler: handler, Log: logger(),
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = handler.server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		handler.server.Close()
		<-done
	})
	return listener.Addr().String(), handler
}

// resultObserver passes on how a dispatch ended.
type resultObserver struct {
	results chan string
}

func newResultObserver() resultObserver        { return resultObserver{make(chan string, 4)} }
func (o resultObserver) Replied(r *wire.Reply) { o.results <- string(r.Reason) }
func (o resultObserver) Resolved(isRevoked bool) {
	o.results <- map[bool]string{true: "revoked", false: "unknown"}[isRevoked]
}
func (o resultObserver) NotSent() { o.results <- "not sent" }
func (resultObserver) PathLost()  {}
func (resultObserver) Hung()      {}
func (o resultObserver) await(t *testing.T) string {
	t.Helper()
	select {
	case got := <-o.results:
		return got
	case <-time.After(30 * time.Second):
		t.Fatal("got no result of the dispatch within 30s")
		return ""
	}
}

func runQuietPeer(t *testing.T, address string) *link.Peer {
	t.Helper()
	peer, _ := runPeer(t, link.PeerConfig{
		Address: address, Observer: pathObserver{states: make(chan path.State, 1000)}, HeartbeatInterval: 20 * clock.Millis(1),
	})
	return peer
}

func newDispatch(seq uint64) *wire.Dispatch {
	return &wire.Dispatch{ID: wire.RequestID{Entry: 1, Seq: seq}, Attempt: 1, Upstream: "conferme-1", Budget: clock.Hour}
}

// Guards against a node that stops while a link is being opened to it: the entry sends a request on
// the link, and its caller would receive the outcome "unknown".
func TestDrainWaitsForALinkThatIsBeingOpened(t *testing.T) {
	entered, proceed := make(chan struct{}), make(chan struct{})
	var isEntered atomic.Bool
	system := clock.NewSystem()
	address, handler := serveLeaving(t, func() clock.Millis {
		if isEntered.CompareAndSwap(false, true) { // the time in the last message of the handshake
			close(entered)
			<-proceed
		}
		return system.Now()
	})
	observer := newResultObserver()
	if err := runQuietPeer(t, address).Dispatch(newDispatch(1), observer); err != nil {
		t.Fatal(err)
	}
	<-entered
	handler.server.Drain()
	if handler.server.Drained() {
		t.Error("got a drained server while a link is being opened")
	}
	close(proceed)
	if got := observer.await(t); got != string(wire.ReasonLeaving) {
		t.Errorf("got %q, want the gate's refusal", got)
	}
	waitFor(t, handler.server.Drained)
}

// Guards against requests that are sent to a node after it has confirmed that nothing is left to
// do, over a link that is still open.
func TestNothingIsSentAfterGoAway(t *testing.T) {
	address, handler := serveLeaving(t, clock.NewSystem().Now)
	peer := runQuietPeer(t, address)
	peer.EnsureLink()
	waitFor(t, func() bool { return peer.Ready() && handler.server.OpenLinks() == 1 })
	handler.server.Drain()
	waitFor(t, handler.server.Drained)
	before := handler.dispatched.Load()
	observer := newResultObserver()
	if err := peer.Dispatch(newDispatch(1), observer); err == nil {
		if got := observer.await(t); got != "not sent" {
			t.Errorf("got %q, want it not sent", got)
		}
	}
	if got := handler.dispatched.Load(); got != before {
		t.Errorf("got %d dispatches at the drained server, want none", got-before)
	}
}

// Guards against a leaving node that refuses the link of an entry which has lost its link with a
// request on it: the entry could not find out that the request has not run.
func TestDrainAdmitsAnEntryWhoseLinkBroke(t *testing.T) {
	address, handler := serveLeaving(t, clock.NewSystem().Now)
	conn, _, err := link.Dial(t.Context(), address, identity("10.0.0.1:7000", secret), limit)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Send(newDispatch(1)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool { return handler.dispatched.Load() == 1 })
	handler.server.Drain()
	conn.Close()
	waitFor(t, func() bool { return handler.server.OpenLinks() == 0 })
	if handler.server.Drained() {
		t.Error("got a drained server while an entry may need an outcome")
	}
	observer := newResultObserver()
	if err := runQuietPeer(t, address).Dispatch(newDispatch(2), observer); err != nil {
		t.Fatal(err)
	}
	if got := observer.await(t); got != string(wire.ReasonLeaving) {
		t.Errorf("got %q, want the gate's refusal", got)
	}
	waitFor(t, handler.server.Drained)
}

// Guards against a leaving node that waits until the end of its grace period for an entry of an
// older release, which doesn't know that it has to close its link, or doesn't wait for it at all.
func TestDrainWaitsUntilAnOlderEntryConfirms(t *testing.T) {
	address, handler := serveLeaving(t, clock.NewSystem().Now)
	socket, response, err := websocket.DefaultDialer.DialContext(t.Context(), "ws://"+address+link.Path, http.Header{})
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	defer func() { _ = socket.Close() }()
	challenge := readChallenge(t, socket)
	nonce := wire.Nonce()
	mac := wire.ComputeMAC(secret, wire.Dialler, "10.0.0.1:1", 1, nonce, challenge.Nonce)
	writeMessage(t, socket, &wire.Proof{Node: "10.0.0.1:1", Entry: 1, Nonce: nonce, MAC: mac})
	writeMessage(t, socket, &wire.Heartbeat{Time: 1})
	waitFor(t, func() bool { return handler.server.OpenLinks() == 1 })
	handler.server.Drain()
	for !handler.server.Drained() {
		_, frame, err := socket.ReadMessage()
		if err != nil {
			t.Fatal(err)
		}
		m, err := wire.Decode(frame, limit)
		if err != nil || m.Kind() > wire.BaseKind {
			t.Fatalf("got %T, error %v; want messages of the older release", m, err)
		}
		heartbeat, ok := m.(*wire.Heartbeat)
		if !ok {
			continue
		}
		if handler.server.Drained() {
			t.Fatal("got a drained server, want it to wait for the entry")
		}
		writeMessage(t, socket, &wire.Heartbeat{Time: 2, Echo: heartbeat.Time})
		<-time.After(10 * time.Millisecond)
	}
}
