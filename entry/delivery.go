package entry

import (
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/caller"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// CallerConn is a caller's connection that knows when a request arrived on it and when its
// answer was written.
type CallerConn interface {
	// ArrivedAt returns when the request had arrived in full.
	ArrivedAt() clock.Millis
	// OnWritten notifies the observer once the answer to the request has been written. It is
	// called before the request's handler returns.
	OnWritten(observer caller.AnswerObserver)
}

// DeliveryRecorder records when answers were written.
type DeliveryRecorder interface {
	RecordDelivery(service string, d access.Delivery)
}

// arrivalOf returns when the request arrived. It may have waited since then, behind an earlier one of
// its connection.
func arrivalOf(ctx *fasthttp.RequestCtx, now clock.Millis) clock.Millis {
	if conn, ok := ctx.Conn().(CallerConn); ok {
		return min(conn.ArrivedAt(), now)
	}
	return now
}

// watchDelivery asks the caller's connection to report when the answer has been written.
func (r *request) watchDelivery() {
	conn, ok := r.ctx.Conn().(CallerConn)
	if !ok || r.service == nil || r.isCallerGone() {
		return
	}
	r.endedAt = r.entry.config.Now()
	conn.OnWritten(r)
}

// AnswerWritten records when the answer to the request was written, and logs one that is late. The
// request's context may be in use for the next one.
func (r *request) AnswerWritten(at clock.Millis) {
	defer r.entry.recoverNotice()
	d := access.Delivery{
		Queued:  r.handledAt - r.started,
		Took:    r.endedAt - r.handledAt,
		Written: at - r.endedAt,
		Overrun: at - r.started - r.budget,
	}
	if r.entry.config.Deliveries != nil {
		r.entry.config.Deliveries.RecordDelivery(r.serviceName, d)
	}
	if !d.IsLate() {
		return
	}
	r.entry.config.Log.WithFields(logrus.Fields{
		"request": wire.RequestName(r.callerRequestID, r.id),
		"service": r.serviceName,
		"route":   r.route.Prefix,
		"version": r.table.Version,
		"budget":  r.budget.String(),
		"queued":  d.Queued.String(),
		"took":    d.Took.String(),
		"written": d.Written.String(),
		"overrun": d.Overrun.String(),
		"phase":   string(d.LatePhase()),
	}).Warn("request answered after its timeout")
}
