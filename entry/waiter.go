package entry

import (
	"sync"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// eventKind is what a waiter receives about its dispatch.
type eventKind uint8

const (
	replied eventKind = iota
	revoked
	gateReplaced
	notSent
	pathLost
	hung // the run will most likely never finish
	expired
	callerGone // the caller has closed the connection
	stopped    // the node stops
)

type event struct {
	kind  eventKind
	reply *wire.Reply
}

// waiter receives the events of one dispatch. A dispatch ends with one reply or
// resolution; the channel has room for one notice beside it.
type waiter struct {
	events chan event
}

func newWaiter() *waiter {
	return &waiter{events: make(chan event, 2)}
}

// Replied receives the gate's complete reply.
func (w *waiter) Replied(r *wire.Reply) {
	w.put(event{kind: replied, reply: r})
}

// Resolved receives the gate's resolution: the dispatch is revoked, or the gate that had
// it has been replaced.
func (w *waiter) Resolved(isRevoked bool) {
	if isRevoked {
		w.put(event{kind: revoked})
		return
	}
	w.put(event{kind: gateReplaced})
}

// NotSent receives the notice that the dispatch was not sent.
func (w *waiter) NotSent() {
	w.put(event{kind: notSent})
}

// PathLost receives the notice that the path is lost for now.
func (w *waiter) PathLost() {
	w.putNotice(pathLost)
}

// Hung receives the notice that the run is most likely hung.
func (w *waiter) Hung() {
	w.putNotice(hung)
}

// putNotice adds a notice only if the channel still has room for the outcome after it.
func (w *waiter) putNotice(kind eventKind) {
	if len(w.events) == 0 {
		w.put(event{kind: kind})
	}
}

// poll returns a pending event, or false if there is none.
func (w *waiter) poll() (event, bool) {
	select {
	case e := <-w.events:
		return e, true
	default:
		return event{}, false
	}
}

// pendingOr returns a pending event, or one of the given kind if there is none: an answer that has
// come is delivered.
func (w *waiter) pendingOr(kind eventKind) event {
	if e, ok := w.poll(); ok {
		return e
	}
	return event{kind: kind}
}

func (w *waiter) put(e event) {
	select {
	case w.events <- e:
	default: // the entry already has the outcome and reads no more events
	}
}

var timerPool = sync.Pool{New: func() any { return time.NewTimer(time.Hour) }}

// next returns the next event. It returns an expired event after span, a callerGone event when
// gone is closed, and a stopped event when stop is closed.
func (w *waiter) next(span clock.Millis, gone, stop <-chan struct{}) event {
	timer, _ := timerPool.Get().(*time.Timer)
	timer.Reset(span.Duration())
	defer timerPool.Put(timer)
	select {
	case e := <-w.events:
		timer.Stop()
		return e
	case <-gone:
		timer.Stop()
		return event{kind: callerGone}
	case <-stop:
		timer.Stop()
		return w.pendingOr(stopped)
	case <-timer.C:
		return w.pendingOr(expired)
	}
}
