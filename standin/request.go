package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
)

// faultPlan is the effect of the current fault on one request.
type faultPlan struct {
	fault    Fault
	affected bool // whether the request belongs to the fault's share
	// failsFast means that the request is answered immediately with 500.
	failsFast bool
	duration  time.Duration
}

// planFault returns the effect of the current fault on a request that takes serviceTime
// without one.
func (b *Backend) planFault(serviceTime clock.Millis) faultPlan {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := faultPlan{fault: b.fault}
	p.affected = b.rand.Float64() < p.fault.share()
	p.duration = time.Duration(float64(serviceTime.Duration()) * p.fault.slowdown(b.sequence, p.affected))
	p.failsFast = p.fault.FailFastShare > 0 && b.rand.Float64() < p.fault.FailFastShare
	b.sequence++
	return p
}

func (b *Backend) serveRequest(ctx *fasthttp.RequestCtx) {
	conn, ok := connOf(ctx)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	left, err := deadlineLeft(ctx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	serviceTime, err := b.serviceTime(ctx)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if !b.admit(ctx, conn, b.planFault(serviceTime), left) {
		conn.abort()
		return
	}
	b.announce(ctx)
}

// announce adds what the backend server states about itself to an answer.
func (b *Backend) announce(ctx *fasthttp.RequestCtx) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch b.fault.Kind {
	case Limits:
		ctx.Response.Header.Set(RateLimitHeader, strconv.FormatFloat(b.fault.Rate, 'f', -1, 64))
	case Leaves:
		ctx.Response.Header.Set(LeavingHeader, "1")
	default: // nothing to state
	}
}

// deadlineLeft returns the time that is left for the request by its DeadlineHeader, and an
// hour without the header. It returns an error if the header isn't a number.
func deadlineLeft(ctx *fasthttp.RequestCtx) (time.Duration, error) {
	text := ctx.Request.Header.Peek(DeadlineHeader)
	if len(text) == 0 {
		return time.Hour, nil
	}
	left, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return 0, errors.Annotatef(err, "reading %s", DeadlineHeader)
	}
	return clock.Millis(left).Duration(), nil
}

// serviceTime returns the time that the request's query argument WorkArgument says, else that of
// the backend server. It returns an error if the argument isn't a duration.
func (b *Backend) serviceTime(ctx *fasthttp.RequestCtx) (clock.Millis, error) {
	text := ctx.QueryArgs().Peek(WorkArgument)
	if len(text) == 0 {
		return b.config.Service, nil
	}
	var span clock.Millis
	err := span.UnmarshalText(text)
	return span, errors.Annotatef(err, "reading %s", WorkArgument)
}

// admit runs the request in a slot, or refuses it. It returns false if the connection is to
// be closed without an answer.
func (b *Backend) admit(ctx *fasthttp.RequestCtx, conn *watchedConn, p faultPlan, left time.Duration) bool {
	if p.fault.Kind == Drains {
		ctx.SetConnectionClose()
		b.refuse(ctx)
		return true
	}
	// A slow backend server doesn't know that it is slow, so it refuses by its normal
	// service time.
	maxWait := left - b.config.Service.Duration()
	if p.fault.Kind == Sheds && p.affected || maxWait < 0 {
		b.refuse(ctx)
		return true
	}
	select {
	case b.slots <- struct{}{}:
	default:
		if p.fault.Kind == Sheds {
			b.refuse(ctx)
			return true
		}
		if hasAnswer, hasSlot := b.waitForSlot(ctx, conn, maxWait); !hasSlot {
			return hasAnswer
		}
	}
	defer func() { <-b.slots }()
	return b.run(ctx, conn, p)
}

// waitForSlot waits for a slot for at most maxWait, and then refuses the request. Without a
// slot, hasAnswer says whether there is an answer to write.
func (b *Backend) waitForSlot(ctx *fasthttp.RequestCtx, conn *watchedConn, maxWait time.Duration) (hasAnswer, hasSlot bool) {
	b.ledger.updateTotals(func(t *Totals) { t.Queued++ })
	gone, release := conn.watch()
	defer release()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case b.slots <- struct{}{}:
		return false, true
	case <-timer.C:
		b.refuse(ctx)
		return true, false
	case <-gone:
		b.ledger.updateTotals(func(t *Totals) { t.Abandoned++ })
		return false, false
	case <-b.stop:
		return false, false
	}
}

// refuse answers 503 to a request that did not run.
func (b *Backend) refuse(ctx *fasthttp.RequestCtx) {
	b.ledger.updateTotals(func(t *Totals) { t.Refused++ })
	ctx.Response.Header.Set(RefusalHeader, RefusalShed)
	ctx.Response.Header.Set("Retry-After", "1")
	ctx.Response.Header.Set(BackendHeader, b.config.Name)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// run adds the request to the ledger and serves it. It returns false if the connection is to
// be closed without an answer.
func (b *Backend) run(ctx *fasthttp.RequestCtx, conn *watchedConn, p faultPlan) bool {
	number := b.ledger.begin(b.newEntry(ctx))
	b.recordLoad(number)
	if p.failsFast {
		return b.fail(ctx, number)
	}
	if p.fault.crashes(ctx) {
		p.duration = p.fault.CrashDelay.Duration()
		isCompleted := b.simulateWork(conn, p)
		b.ledger.end(number, Cancelled, b.clock.Now())
		if isCompleted {
			go b.CrashFor(p.fault.Downtime) // it waits until this handler returns
		}
		return false
	}
	if !b.simulateWork(conn, p) {
		b.ledger.end(number, Cancelled, b.clock.Now())
		return false
	}
	if p.fault.Kind == Fails && p.affected {
		return b.fail(ctx, number)
	}
	b.ledger.end(number, Served, b.clock.Now())
	b.writeAnswer(ctx)
	return true
}

// fail answers 500 to a begun request. It always returns true.
func (b *Backend) fail(ctx *fasthttp.RequestCtx, number uint64) bool {
	b.ledger.end(number, Failed, b.clock.Now())
	ctx.Response.Header.Set(BackendHeader, b.config.Name)
	ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	return true
}

func (b *Backend) newEntry(ctx *fasthttp.RequestCtx) Entry {
	hash := sha256.Sum256(ctx.PostBody())
	return Entry{
		ID:            string(ctx.Request.Header.Peek(RequestHeader)),
		Caller:        string(ctx.Request.Header.Peek(CallerHeader)),
		Account:       string(ctx.Request.Header.Peek(AccountHeader)),
		Authorization: string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)),
		Method:        string(ctx.Method()),
		Path:          pathOf(ctx),
		BodyHash:      hex.EncodeToString(hash[:]),
		Started:       b.clock.Now(),
		Outcome:       Running,
		Arrived:       time.Now(),
		Gate:          ctx.RemoteAddr().String(),
	}
}

// recordLoad updates the answer to /load after every loadUpdateInterval requests.
func (b *Backend) recordLoad(number uint64) {
	if number%loadUpdateInterval != 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.Running = len(b.slots)
}

// simulateWork waits for the request's duration. It returns false if the connection or the
// backend server closes before.
func (b *Backend) simulateWork(conn *watchedConn, p faultPlan) bool {
	hangs := p.fault.Kind == Hangs && p.affected
	if p.duration <= 0 && !hangs {
		return true
	}
	gone, release := conn.watch()
	defer release()
	var completed <-chan time.Time // nil if the request hangs
	if !hangs {
		timer := time.NewTimer(p.duration)
		defer timer.Stop()
		completed = timer.C
	}
	select {
	case <-completed:
		return true
	case <-gone:
		return false
	case <-b.stop:
		return false
	}
}

// writeAnswer writes a 200 with a body of as many bytes as the query argument size says, and
// the request's id.
func (b *Backend) writeAnswer(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(RequestHeader))
	size, err := ctx.QueryArgs().GetUint("size")
	if err != nil {
		size = 0
	}
	ctx.Response.Header.Set(RequestHeader, id)
	ctx.Response.Header.Set(BackendHeader, b.config.Name)
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(AnswerBody(id, min(size, maxRequestBody)))
}

// AnswerBody returns the body of the answer to a request: size pseudo-random bytes that
// depend only on the id, followed by the id.
func AnswerBody(id string, size int) []byte {
	sum := sha256.Sum256([]byte(id))
	source := rand.NewChaCha8(sum)
	body := make([]byte, size, size+len(id))
	_, _ = source.Read(body)
	return append(body, id...)
}
