package link

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/head"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Path is the URL path under which a node accepts WebSocket links.
const Path = "/link"

// Identity is the identity of a node on its links.
type Identity struct {
	// Node is the link address of the node as the table has it.
	Node string
	// Incarnation is drawn at random when the process starts.
	Incarnation uint64
	Secret      string
}

// Remote describes the other side of a link after the handshake.
type Remote struct {
	Node        string
	Incarnation uint64
	// Time is when the accepting side accepted the link, on its clock.
	Time clock.Millis
}

// deadline returns the time of the system clock after a span.
func deadline(span clock.Millis) time.Time {
	return time.Now().Add(span.Duration())
}

// Dial opens a link to a node, on which frames have at most maxFrame bytes. It returns
// ErrProof, ErrFormat or ErrWrongPeer if the other side doesn't hold the secret, uses another
// message format or isn't the node with that address.
func Dial(ctx context.Context, address string, self Identity, maxFrame int) (*Conn, Remote, error) {
	return dial(ctx, address, self, maxFrame, nil)
}

// dial is Dial for a link whose panics are recorded.
func dial(ctx context.Context, address string, self Identity, maxFrame int, panics PanicRecorder) (*Conn, Remote, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout.Duration())
	defer cancel()
	dialer := websocket.Dialer{
		NetDialContext:  dialChecked,
		ReadBufferSize:  bufferSize,
		WriteBufferSize: bufferSize,
	}
	socket, response, err := dialer.DialContext(ctx, "ws://"+address+Path, http.Header{headerLastKind: {ownLastKind}})
	if err != nil {
		return nil, Remote{}, errors.Annotatef(err, "dialling %s", address)
	}
	_ = response.Body.Close()
	c := newConn(socket, maxFrame, parseLastKind(response.Header.Get(headerLastKind)))
	c.panics = panics
	remote, err := c.dialHandshake(address, self)
	if err != nil {
		c.Close()
		return nil, Remote{}, errors.Annotatef(err, "handshake with %s", address)
	}
	go c.write()
	return c, remote, nil
}

// dialChecked opens a connection on which the head of the response to the handshake is checked, and its size
// bounded, before the WebSocket library reads it.
func dialChecked(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &checkedConn{Conn: conn, response: head.NewReader(conn)}, nil
}

type checkedConn struct {
	net.Conn

	// response reads the bytes up to those that arrived with the head; nil after them.
	response  *head.Reader
	isChecked bool
}

// Read returns an error if the connection doesn't begin with the head of a response.
func (c *checkedConn) Read(p []byte) (int, error) {
	if c.response == nil {
		return c.Conn.Read(p)
	}
	if !c.isChecked {
		if err := c.response.CheckHead(); err != nil {
			return 0, errors.Trace(err)
		}
		c.isChecked = true
	}
	n, err := c.response.Read(p)
	if c.response.Buffered() == 0 {
		c.response = nil
	}
	return n, err
}

// headerLastKind carries, in the request and the response that open a link, the highest kind of
// message that the sender accepts. Releases without it accept wire.BaseKind.
const headerLastKind = "Fuchsiapick-Last-Kind"

var ownLastKind = strconv.Itoa(int(wire.LastKind))

// parseLastKind returns the highest kind that a peer accepts, by the value of headerLastKind.
func parseLastKind(value string) wire.Kind {
	kind, err := strconv.ParseUint(value, 10, 8)
	if err != nil {
		return wire.BaseKind // an older release sends no value
	}
	return max(wire.Kind(kind), wire.BaseKind)
}

// dialHandshake proves this side to the accepting side and checks the proof of that side.
func (c *Conn) dialHandshake(address string, self Identity) (Remote, error) {
	if err := c.socket.SetReadDeadline(deadline(handshakeTimeout)); err != nil {
		return Remote{}, errors.Trace(err)
	}
	challenge, err := expect[*wire.Challenge](c)
	if err != nil {
		return Remote{}, errors.Trace(err)
	}
	if challenge.Format != wire.Format {
		return Remote{}, errors.Annotatef(ErrFormat, "format %d, want %d", challenge.Format, wire.Format)
	}
	if challenge.Node != address {
		return Remote{}, errors.Annotatef(ErrWrongPeer, "peer identifies as %s", challenge.Node)
	}
	nonce := wire.Nonce()
	proof := &wire.Proof{Node: self.Node, Entry: self.Incarnation, Nonce: nonce}
	proof.MAC = wire.ComputeMAC(self.Secret, wire.Dialler, self.Node, self.Incarnation, nonce, challenge.Nonce)
	if err := c.writeMessage(proof); err != nil {
		return Remote{}, errors.Trace(err)
	}
	welcome, err := expect[*wire.Welcome](c)
	if err != nil {
		return Remote{}, errors.Trace(err)
	}
	want := wire.ComputeMAC(self.Secret, wire.Acceptor, challenge.Node, challenge.Incarnation, challenge.Nonce, nonce)
	if !wire.EqualMAC(welcome.MAC, want) {
		return Remote{}, ErrProof
	}
	remote := Remote{Node: challenge.Node, Incarnation: challenge.Incarnation, Time: welcome.Time}
	return remote, errors.Trace(c.socket.SetReadDeadline(time.Time{}))
}

// acceptHandshake checks the proof of the dialling side and proves this side. It runs
// before anything else is read from the peer. From the call of admit on, the peer may hold the
// link for open; if admit returns an error, the handshake fails instead.
func (c *Conn) acceptHandshake(self Identity, now func() clock.Millis, admit func(Remote) error) (Remote, error) {
	if err := c.socket.SetReadDeadline(deadline(handshakeTimeout)); err != nil {
		return Remote{}, errors.Trace(err)
	}
	nonce := wire.Nonce()
	challenge := &wire.Challenge{Format: wire.Format, Node: self.Node, Incarnation: self.Incarnation, Nonce: nonce}
	if err := c.writeMessage(challenge); err != nil {
		return Remote{}, errors.Trace(err)
	}
	proof, err := expect[*wire.Proof](c)
	if err != nil {
		return Remote{}, errors.Trace(err)
	}
	want := wire.ComputeMAC(self.Secret, wire.Dialler, proof.Node, proof.Entry, proof.Nonce, nonce)
	if len(proof.Nonce) != wire.NonceSize || !wire.EqualMAC(proof.MAC, want) {
		return Remote{}, ErrProof
	}
	remote := Remote{Node: proof.Node, Incarnation: proof.Entry}
	if err := admit(remote); err != nil {
		return Remote{}, errors.Trace(err)
	}
	mac := wire.ComputeMAC(self.Secret, wire.Acceptor, self.Node, self.Incarnation, nonce, proof.Nonce)
	remote.Time = now()
	if err := c.writeMessage(&wire.Welcome{MAC: mac, Time: remote.Time}); err != nil {
		return remote, errors.Trace(err)
	}
	return remote, errors.Trace(c.socket.SetReadDeadline(time.Time{}))
}

// expect receives the next message of the handshake, which must be of type M. Frames of a
// peer that has not proven that it holds the secret are limited to maxHandshakeSize.
func expect[M wire.Message](c *Conn) (M, error) {
	var none M
	c.socket.SetReadLimit(maxHandshakeSize)
	m, err := c.receive()
	c.socket.SetReadLimit(int64(c.limit))
	if err != nil {
		return none, errors.Trace(err)
	}
	got, ok := m.(M)
	if !ok {
		return none, errors.Annotatef(wire.ErrFrame, "unexpected frame kind %d in the handshake", m.Kind())
	}
	return got, nil
}

// maxHandshakeSize bounds a frame of the handshake in bytes.
const maxHandshakeSize = 1 << 10
