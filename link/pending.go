package link

import (
	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/path"
	"fuchsiapick.example/fuchsiapick/wire"
)

// pendingRequest is a request without a reply.
type pendingRequest[A any] struct {
	message wire.Message
	// onReply is called with the reply, with nil if the request couldn't be sent, or never.
	onReply func(*A)
	sentAt  clock.Millis
	// unsent is true while the request waits for a link.
	unsent bool
}

// pendingRequests holds requests that are sent once, over the open link or the next link
// that opens.
type pendingRequests[K comparable, A any] map[K]*pendingRequest[A]

// send sends a request to a peer whose lock the caller holds. Without an open link the
// request waits for the next one. It returns ErrNoLink, ErrBusy or ErrClosed if the request
// isn't sent; onReply is then never called.
func (q pendingRequests[K, A]) send(p *Peer, key K, message wire.Message, onReply func(*A)) error {
	now := p.config.Now()
	p.lastUsed = now
	request := &pendingRequest[A]{message: message, onReply: onReply, sentAt: now}
	if p.conn == nil {
		p.Connect()
		if p.draining != nil || p.state == path.Lost || len(q) >= queueLength {
			return ErrNoLink
		}
		request.unsent = true
	} else {
		if err := p.conn.Send(message); err != nil {
			return errors.Trace(err)
		}
		p.startProbe(now)
	}
	q[key] = request
	return nil
}

// flush sends the requests that have waited for a link. The caller holds the peer's lock.
func (q pendingRequests[K, A]) flush(p *Peer, now clock.Millis) {
	for _, request := range q {
		if request.unsent {
			request.unsent, request.sentAt = false, now
			p.startProbe(now)
			_ = p.conn.Send(request.message) // after a failure the requester goes on without a reply
		}
	}
}

// hasSent reports whether a request that was sent has no reply.
func (q pendingRequests[K, A]) hasSent() bool {
	for _, request := range q {
		if !request.unsent {
			return true
		}
	}
	return false
}

// removeUnsent removes the requests that still wait for a link and returns their reply
// functions. The caller holds the peer's lock.
func (q pendingRequests[K, A]) removeUnsent() []func(*A) {
	var unsent []func(*A)
	for key, request := range q {
		if request.unsent {
			unsent = append(unsent, request.onReply)
			delete(q, key)
		}
	}
	return unsent
}

// complete removes a request whose reply has arrived and returns its reply function. The
// caller holds the peer's lock.
func (q pendingRequests[K, A]) complete(p *Peer, key K) (onReply func(*A), ok bool) {
	request, ok := q[key]
	if !ok {
		return nil, false
	}
	delete(q, key)
	p.probe.Answered(request.sentAt)
	return request.onReply, true
}

// failUnsentRequests fails the requests that still wait for a link.
func (p *Peer) failUnsentRequests() {
	p.mu.Lock()
	capacityProbes, quotaRequests := p.capacityProbes.removeUnsent(), p.quotaRequests.removeUnsent()
	p.mu.Unlock()
	for _, onReply := range capacityProbes {
		onReply(nil)
	}
	for _, onReply := range quotaRequests {
		onReply(nil)
	}
}
