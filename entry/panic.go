package entry

import (
	"runtime/debug"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/wire"
)

// PanicRecorder records panics that were recovered. Its method must not block.
type PanicRecorder interface {
	Record(part string, value any, stack []byte)
}

// panicPart names this part of a node for the PanicRecorder.
const panicPart = "caller"

func (e *Entry) recordPanic(value any) {
	if e.config.Panics != nil {
		e.config.Panics.Record(panicPart, value, debug.Stack())
	}
}

// recoverNotice must be deferred. It ends a panic of a call that answers no request.
func (e *Entry) recoverNotice() {
	if value := recover(); value != nil {
		e.recordPanic(value)
	}
}

// recoverServe must be deferred by the handlers of the HTTP server. A panic would end the process
// and cut the requests of all callers. Nothing was sent to an upstream here: requests run in the pool.
func (e *Entry) recoverServe(ctx *fasthttp.RequestCtx) {
	if value := recover(); value != nil {
		e.recordPanic(value)
		if len(ctx.Response.Header.Peek(HeaderOutcome)) == 0 {
			writePanicAnswer(ctx, &finalAnswer{outcome: access.NotRun, status: fasthttp.StatusServiceUnavailable, reason: string(wire.ReasonNodeFault)})
		}
	}
}

// recoverServing must be deferred by the job that serves a request. Without an answer of its own the request
// would get the HTTP library's, an empty one with status 200.
func (r *request) recoverServing() {
	value := recover()
	if value == nil {
		return
	}
	r.entry.recordPanic(value)
	if r.isAnswered {
		return
	}
	answer := r.panicAnswer()
	defer func() {
		if !r.isAnswered {
			writePanicAnswer(r.ctx, &answer)
		}
	}()
	defer r.entry.recoverNotice() // of what has panicked before, perhaps
	if a := r.open; a != nil {
		r.open = nil
		a.member.gate.Abandon(r.id, a.number)
		r.service.endAttempt(r.entry.config.Now(), a.member, &result{})
	}
	r.finish(answer)
}

// panicAnswer is the final answer after a panic. The request may have run once it was sent.
func (r *request) panicAnswer() finalAnswer {
	if r.sends == 0 {
		return refused(fasthttp.StatusServiceUnavailable, string(wire.ReasonNodeFault), 0)
	}
	return finalAnswer{outcome: access.Unknown, status: fasthttp.StatusBadGateway, reason: string(wire.ReasonNodeFault)}
}

// writePanicAnswer writes an answer without the help of what may have panicked.
func writePanicAnswer(ctx *fasthttp.RequestCtx, f *finalAnswer) {
	ctx.Response.Reset()
	ctx.Error(refusalText(f)+"\n", f.status)
	ctx.Response.Header.Set(HeaderOutcome, string(f.outcome))
	ctx.Response.Header.Set(HeaderReason, f.reason)
}
