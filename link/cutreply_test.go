package link_test

import (
	"encoding/binary"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/fasthttp/websocket"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/wire"
)

// appendFrame appends a message as a WebSocket frame of a server.
func appendFrame(t *testing.T, b []byte, m wire.Message) []byte {
	t.Helper()
	frame, err := wire.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	const binaryMessage, length16 = 0x82, 126
	b = append(b, binaryMessage, length16)
	b = binary.BigEndian.AppendUint16(b, uint16(len(frame)))
	return append(b, frame...)
}

// Guards against a reply in parts that counts as a whole one, because its link has ended in or
// behind one of its frames, and against parts that are put together with those on the next link.
func TestReplyCutAtAnyByteIsNotWhole(t *testing.T) {
	d := newDispatch(1)
	whole := func(body string) *wire.Reply {
		return &wire.Reply{ID: d.ID, Attempt: d.Attempt, Outcome: wire.Answered, Status: 200, Body: []byte(body), Length: 6}
	}
	chunk := func(offset int, data string) *wire.Chunk {
		return &wire.Chunk{ID: d.ID, Attempt: d.Attempt, Offset: offset, Data: []byte(data)}
	}
	parts := appendFrame(t, nil, whole("ab"))
	parts = appendFrame(t, parts, chunk(2, "cd"))
	parts = appendFrame(t, parts, chunk(4, "ef"))
	for cut := range parts {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d of %d bytes, reset %v", cut, len(parts), isReset), func(t *testing.T) {
				address, sockets := acceptLinks(t)
				peer, _ := runPeer(t, link.PeerConfig{Address: address, HeartbeatInterval: clock.Hour, Observer: workRequestObserver{}})
				observer := replyObserver{replies: make(chan *wire.Reply, 1)}
				if err := peer.Dispatch(d, observer); err != nil {
					t.Fatal(err)
				}
				socket := <-sockets
				awaitKind(t, socket, wire.KindDispatch)
				if _, err := socket.NetConn().Write(parts[:cut]); err != nil {
					t.Fatal(err)
				}
				endConn(t, socket, isReset)
				next := <-sockets
				awaitKind(t, next, wire.KindResolve)
				writeMessage(t, next, chunk(2, "xx"))
				writeMessage(t, next, chunk(4, "xx"))
				writeMessage(t, next, whole("abcdef"))
				select {
				case got := <-observer.replies:
					if got.Outcome != wire.Answered || string(got.Body) != "abcdef" {
						t.Errorf("got outcome %v (%s), body %q; want the whole reply", got.Outcome, got.Reason, got.Body)
					}
				case <-time.After(30 * time.Second):
					t.Error("got no reply within 30s")
				}
			})
		}
	}
}

// endConn closes or resets the connection of a link that acceptLinks has accepted.
func endConn(t *testing.T, socket *websocket.Conn, isReset bool) {
	t.Helper()
	hijacked, ok := socket.NetConn().(interface{ UnsafeConn() net.Conn })
	if !ok {
		t.Fatalf("got a connection of type %T, want one that the HTTP server has handed over", socket.NetConn())
	}
	tcp, ok := hijacked.UnsafeConn().(*net.TCPConn)
	if !ok {
		t.Fatalf("got a connection of type %T, want TCP", hijacked.UnsafeConn())
	}
	if isReset {
		_ = tcp.SetLinger(0)
	}
	_ = tcp.Close()
}
