package link_test

import (
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/memory"
	"fuchsiapick.example/fuchsiapick/wire"
)

// heldObserver holds the reading of a link at a reply whose upstream is named "held".
type heldObserver struct {
	workRequestObserver

	proceed chan struct{}
}

func (o heldObserver) PeerUpstream(_ string, u wire.Upstream) {
	if u.Name == "held" {
		<-o.proceed
	}
}

// acceptLinks accepts links and passes on their sockets after the handshake.
func acceptLinks(t *testing.T) (address string, sockets chan *websocket.Conn) {
	t.Helper()
	listener := listen(t)
	address, sockets = listener.Addr().String(), make(chan *websocket.Conn, 8)
	upgrader := websocket.FastHTTPUpgrader{}
	serve := func(socket *websocket.Conn) {
		nonce := wire.Nonce()
		writeMessage(t, socket, &wire.Challenge{Format: wire.Format, Node: address, Incarnation: 2, Nonce: nonce})
		proof, ok := readMessage(t, socket).(*wire.Proof)
		if !ok {
			return
		}
		writeMessage(t, socket, &wire.Welcome{MAC: wire.ComputeMAC(secret, wire.Acceptor, address, 2, nonce, proof.Nonce), Time: 1})
		sockets <- socket
		<-t.Context().Done()
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { _ = upgrader.Upgrade(ctx, serve) }}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return address, sockets
}

// readMessage returns the next message, nil if the link has ended.
func readMessage(t *testing.T, socket *websocket.Conn) wire.Message {
	t.Helper()
	_, frame, err := socket.ReadMessage()
	if err != nil {
		return nil
	}
	m, err := wire.Decode(frame, limit)
	if err != nil {
		t.Error(err)
	}
	return m
}

// awaitKind reads messages until one of the kind arrives.
func awaitKind(t *testing.T, socket *websocket.Conn, kind wire.Kind) {
	t.Helper()
	for {
		m := readMessage(t, socket)
		if m == nil {
			t.Fatalf("got the end of the link, want a message of kind %d", kind)
		}
		if m.Kind() == kind {
			return
		}
	}
}

// Guards against a response that is taken for a torn one, because parts of it arrive on a link
// that another one has replaced meanwhile.
func TestPartsOfAReplyOnAReplacedLinkAreIgnored(t *testing.T) {
	address, sockets := acceptLinks(t)
	received, proceed := make(chan int, 8), make(chan struct{})
	peer, _ := runPeer(t, link.PeerConfig{
		Address: address, HeartbeatInterval: 300 * clock.Millis(1),
		Observer: heldObserver{workRequestObserver{received: received}, proceed},
	})
	observer := replyObserver{replies: make(chan *wire.Reply, 1)}
	d := newDispatch(1)
	if err := peer.Dispatch(d, observer); err != nil {
		t.Fatal(err)
	}
	part := func(upstream string) *wire.Reply {
		return &wire.Reply{ID: d.ID, Attempt: d.Attempt, Outcome: wire.Answered, Status: 200, Body: []byte("a"), Length: 3, Upstream: wire.Upstream{Name: upstream}}
	}
	replaced := <-sockets
	awaitKind(t, replaced, wire.KindDispatch)
	writeMessage(t, replaced, part("held"))
	current := <-sockets // the peer opens another link, as the first is silent
	awaitKind(t, current, wire.KindResolve)
	writeMessage(t, current, part("conferme-1"))
	writeMessage(t, current, &wire.Chunk{ID: d.ID, Attempt: d.Attempt, Offset: 1, Data: []byte("b")})
	writeMessage(t, current, &wire.WorkRequest{Upstream: "conferme-1"})
	<-received
	close(proceed)
	<-time.After(50 * time.Millisecond) // the held reply is handled
	writeMessage(t, current, &wire.Chunk{ID: d.ID, Attempt: d.Attempt, Offset: 2, Data: []byte("c")})
	select {
	case got := <-observer.replies:
		if got.Outcome != wire.Answered || string(got.Body) != "abc" {
			t.Errorf("got outcome %v (%s), body %q; want the whole response", got.Outcome, got.Reason, got.Body)
		}
	case <-time.After(30 * time.Second):
		t.Error("got no reply within 30s")
	}
}

// Guards against taking the refusal of a late frame for one by the gate, if it arrives before the
// resolution that has revoked the dispatch.
func TestRefusalOfALateFrameCountsAsResolution(t *testing.T) {
	address, sockets := acceptLinks(t)
	peer, _ := runPeer(t, link.PeerConfig{Address: address, HeartbeatInterval: 300 * clock.Millis(1), Observer: workRequestObserver{}})
	observer := resolutionObserver{replyObserver{replies: make(chan *wire.Reply, 1)}, make(chan bool, 1)}
	d := newDispatch(1)
	if err := peer.Dispatch(d, observer); err != nil {
		t.Fatal(err)
	}
	awaitKind(t, <-sockets, wire.KindDispatch)
	current := <-sockets // the peer opens another link, as the first is silent
	awaitKind(t, current, wire.KindResolve)
	writeMessage(t, current, &wire.Reply{ID: d.ID, Attempt: d.Attempt, Outcome: wire.NotRun, Reason: wire.ReasonRevoked})
	select {
	case got := <-observer.resolutions:
		if !got {
			t.Error("got a resolution of an unknown dispatch, want of a revoked one")
		}
	case got := <-observer.replies:
		t.Errorf("got reply %q, want a resolution", got.Reason)
	case <-time.After(30 * time.Second):
		t.Error("got neither within 30s, want a resolution")
	}
}

// resolutionObserver is a replyObserver that passes on the resolutions, too.
type resolutionObserver struct {
	replyObserver

	resolutions chan bool
}

func (o resolutionObserver) Resolved(revoked bool) { o.resolutions <- revoked }

// Guards against replies that together take more memory than the instance has. The reply without room
// ends at once as a cut one, and the link goes on.
func TestRepliesStayWithinTheMemory(t *testing.T) {
	address, sockets := acceptLinks(t)
	const length = limit // of a reply in several frames
	answers := memory.NewAnswers(8*memory.Copies*length/3 + 8)
	peer, _ := runPeer(t, link.PeerConfig{Address: address, HeartbeatInterval: clock.Minute, Observer: workRequestObserver{}, Shared: &link.PeersConfig{Answers: answers}})
	first, second := replyObserver{replies: make(chan *wire.Reply, 1)}, replyObserver{replies: make(chan *wire.Reply, 1)}
	dispatches := []*wire.Dispatch{newDispatch(1), newDispatch(2)}
	for i, observer := range []replyObserver{first, second} {
		if err := peer.Dispatch(dispatches[i], observer); err != nil {
			t.Fatal(err)
		}
	}
	socket := <-sockets
	awaitKind(t, socket, wire.KindDispatch)
	awaitKind(t, socket, wire.KindDispatch)
	half := make([]byte, length/2)
	for _, d := range dispatches {
		writeMessage(t, socket, &wire.Reply{ID: d.ID, Attempt: d.Attempt, Outcome: wire.Answered, Status: 200, Body: half, Length: length})
	}
	if got := awaitReply(t, second); got.Outcome != wire.Broken || got.Reason != wire.ReasonTruncated {
		t.Errorf("got outcome %v (%s) without room for the reply, want a cut one", got.Outcome, got.Reason)
	}
	if got, bound := answers.Held(), answers.Bound(); got > bound {
		t.Errorf("got %d bytes counted, want %d at most", got, bound)
	}
	writeMessage(t, socket, &wire.Chunk{ID: dispatches[0].ID, Attempt: dispatches[0].Attempt, Offset: len(half), Data: half})
	if got := awaitReply(t, first); got.Outcome != wire.Answered || len(got.Body) != length {
		t.Errorf("got outcome %v (%s) and %d bytes, want the whole reply", got.Outcome, got.Reason, len(got.Body))
	}
}

func awaitReply(t *testing.T, o replyObserver) *wire.Reply {
	t.Helper()
	select {
	case r := <-o.replies:
		return r
	case <-time.After(30 * time.Second):
		t.Fatal("got no reply within 30s")
		return nil
	}
}
