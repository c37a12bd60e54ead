package entry

import (
	"sync"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// eventKind says what a waiter was told of its dispatch.
type eventKind uint8

const (
	replied eventKind = iota
	revoked
	gateReplaced
	unsent
	pathLost
	stalled // most likely the run comes to no end
	expired
	callerGone // the caller has left
)

type event struct {
	kind  eventKind
	reply *wire.Reply
}

// waiter receives what becomes of one dispatch. A dispatch ends with one reply
// or settlement; the second place is for one notice.
type waiter struct {
	events chan event
}

func newWaiter() *waiter {
	return &waiter{events: make(chan event, 2)}
}

// Replied takes in the gate's whole answer.
func (w *waiter) Replied(r *wire.Reply) {
	w.put(event{kind: replied, reply: r})
}

// Resolved takes in a settlement.
func (w *waiter) Resolved(isVoided bool) {
	if isVoided {
		w.put(event{kind: revoked})
		return
	}
	w.put(event{kind: gateReplaced})
}

// NotSent takes in that nothing was sent.
func (w *waiter) NotSent() {
	w.put(event{kind: unsent})
}

// PathLost takes in that the path is lost for now.
func (w *waiter) PathLost() {
	w.putNotice(pathLost)
}

// Hung takes in that the run most likely comes to no end.
func (w *waiter) Hung() {
	w.putNotice(stalled)
}

// putNotice puts what leaves room for the outcome.
func (w *waiter) putNotice(kind eventKind) {
	if len(w.events) == 0 {
		w.put(event{kind: kind})
	}
}

// poll returns an event that has come.
func (w *waiter) poll() (event, bool) {
	select {
	case e := <-w.events:
		return e, true
	default:
		return event{}, false
	}
}

func (w *waiter) put(e event) {
	select {
	case w.events <- e:
	default: // the entry has its outcome and isn't listening any more
	}
}

var timerPool = sync.Pool{New: func() any { return time.NewTimer(time.Hour) }}

// next waits for the next event, at most for the span, or until the caller has
// left.
func (w *waiter) next(span clock.Millis, left <-chan struct{}) event {
	timer, _ := timerPool.Get().(*time.Timer)
	timer.Reset(span.Duration())
	defer timerPool.Put(timer)
	select {
	case e := <-w.events:
		timer.Stop()
		return e
	case <-left:
		timer.Stop()
		return event{kind: callerGone}
	case <-timer.C:
		return event{kind: expired}
	}
}
