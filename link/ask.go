package link

import (
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// pendingRequest is one that has no answer yet. Told is called with the answer, with nil where
// nothing could be asked, or never.
type pendingRequest[A any] struct {
	message wire.Message
	onReply func(*A)
	sent    clock.Millis
	unsent  bool
}

// pendingRequests are asked once, over the link that is open or the next one that opens.
type pendingRequests[K comparable, A any] map[K]*pendingRequest[A]

// send sends a question of a peer whose lock is held. After an error nothing is asked.
func (q pendingRequests[K, A]) send(p *Peer, key K, message wire.Message, told func(*A)) error {
	now := p.config.Now()
	p.lastUsed = now
	one := &pendingRequest[A]{message: message, onReply: told, sent: now}
	if p.conn == nil {
		p.Connect()
		if p.state == path.Lost || len(q) >= queueLength {
			return ErrNoLink
		}
		one.unsent = true
	} else {
		if err := p.conn.Send(message); err != nil {
			return errors.Trace(err)
		}
		p.startProbe(now)
	}
	q[key] = one
	return nil
}

// flush sends what has waited for the link. The peer's lock is held.
func (q pendingRequests[K, A]) flush(p *Peer, now clock.Millis) {
	for _, one := range q {
		if one.unsent {
			one.unsent, one.sent = false, now
			p.startProbe(now)
			_ = p.conn.Send(one.message) // who asked goes on without an answer
		}
	}
}

// removeUnsent takes out what still waits for a link. The peer's lock is held.
func (q pendingRequests[K, A]) removeUnsent() []func(*A) {
	var unsent []func(*A)
	for key, one := range q {
		if one.unsent {
			unsent = append(unsent, one.onReply)
			delete(q, key)
		}
	}
	return unsent
}

// complete takes out a question whose answer has come. The peer's lock is held.
func (q pendingRequests[K, A]) complete(p *Peer, key K) (told func(*A), ok bool) {
	one, ok := q[key]
	if !ok {
		return nil, false
	}
	delete(q, key)
	p.probe.Answered(one.sent)
	return one.onReply, true
}

// failUnsentRequests ends those that still wait for a link.
func (p *Peer) failUnsentRequests() {
	p.mu.Lock()
	enquiries, draws := p.capacityProbes.removeUnsent(), p.quotaRequests.removeUnsent()
	p.mu.Unlock()
	for _, told := range enquiries {
		told(nil)
	}
	for _, told := range draws {
		told(nil)
	}
}
