package gate

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// PanicRecorder records panics that were recovered. Its method must not block.
type PanicRecorder interface {
	Record(part string, value any, stack []byte)
}

// panicPart names this part of a node for the PanicRecorder.
const panicPart = "gate"

// timerRetryDelay is the time from a panic of a timer's call to the next try. Many timers are set
// again by their calls, and a gate without them would wait for ever.
const timerRetryDelay = clock.Second

// errPanicked means that a fault of this node ended the handling of a run.
const errPanicked = errors.ConstError("the handling of the run panicked")

func (g *Gate) recordPanic(value any) {
	if g.config.Panics != nil {
		g.config.Panics.Record(panicPart, value, debug.Stack())
	}
}

// do calls the backend server, and turns a panic into an error. No lock of the gate is held.
func (g *Gate) do(ctx context.Context, c *Call) (response Response, err error) {
	defer func() {
		if value := recover(); value != nil {
			g.recordPanic(value)
			response, err = Response{}, errors.Trace(errPanicked)
		}
	}()
	return g.config.Backend.Do(ctx, c)
}

// recoverRun must be deferred by the job that runs a request. It ends a run that has panicked. If the
// gate's lock is held since then, it waits for ever: the gate's state is half changed, and the node ends.
func (g *Gate) recoverRun(j *job) {
	value := recover()
	if value == nil {
		return
	}
	g.recordPanic(value)
	g.mu.Lock()
	_, isOpen := g.jobs[j.ticket]
	isRunning := j.running
	g.mu.Unlock()
	switch {
	case !isOpen:
	case isRunning:
		g.finish(j, j.began, Response{}, errPanicked)
	default:
		g.finishNotRun(j, wire.ReasonNodeFault)
	}
}

// after calls a function after a span of time. The call doesn't end the process if it panics, and is
// tried again.
func (g *Gate) after(span clock.Millis, call func()) *time.Timer {
	return time.AfterFunc(span.Duration(), func() {
		defer func() {
			if value := recover(); value != nil {
				g.recordPanic(value)
				g.after(timerRetryDelay, call)
			}
		}()
		call()
	})
}
