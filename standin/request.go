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

// faultPlan is what the present fault does to one request.
type faultPlan struct {
	fault    Fault
	affected bool // the fault's share met this request
	// failsFast says that it is failed at once.
	failsFast bool
	duration  time.Duration
}

func (b *Backend) planFault() faultPlan {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := faultPlan{fault: b.fault}
	p.affected = b.rand.Float64() < p.fault.share()
	p.duration = time.Duration(float64(b.config.Service.Duration()) * p.fault.slowdown(b.sequence, p.affected))
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
	if !b.admit(ctx, conn, b.planFault(), left) {
		conn.abort()
	}
}

// deadlineLeft reads how long the request may still take; without the header
// it may take an hour.
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

// admit gets the request a slot or refuses it, and tells whether there is an
// answer to write.
func (b *Backend) admit(ctx *fasthttp.RequestCtx, conn *watchedConn, p faultPlan, left time.Duration) bool {
	if p.fault.Kind == Drains {
		ctx.SetConnectionClose()
		b.refuse(ctx)
		return true
	}
	// A sick backend server doesn't know that it is slow, so that it promises
	// its usual time.
	patience := left - b.config.Service.Duration()
	if p.fault.Kind == Sheds && p.affected || patience < 0 {
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
		if answered, got := b.queue(ctx, conn, patience); !got {
			return answered
		}
	}
	defer func() { <-b.slots }()
	return b.run(ctx, conn, p)
}

// queue waits for a slot for as long as the deadline can still be met.
func (b *Backend) queue(ctx *fasthttp.RequestCtx, conn *watchedConn, patience time.Duration) (answered, got bool) {
	b.ledger.updateTotals(func(t *Totals) { t.Queued++ })
	gone, release := conn.watch()
	defer release()
	timer := time.NewTimer(patience)
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

// refuse answers a request that did not run.
func (b *Backend) refuse(ctx *fasthttp.RequestCtx) {
	b.ledger.updateTotals(func(t *Totals) { t.Refused++ })
	ctx.Response.Header.Set(RefusalHeader, RefusalShed)
	ctx.Response.Header.Set("Retry-After", "1")
	ctx.Response.Header.Set(BackendHeader, b.config.Name)
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

// run enters the request into the ledger and serves it, and tells whether
// there is an answer to write.
func (b *Backend) run(ctx *fasthttp.RequestCtx, conn *watchedConn, p faultPlan) bool {
	number := b.ledger.begin(b.newEntry(ctx))
	b.recordLoad(number)
	if p.failsFast {
		return b.fail(ctx, number)
	}
	if p.fault.crashes(ctx) {
		p.duration = p.fault.CrashDelay.Duration()
		isOver := b.simulateWork(conn, p)
		b.ledger.end(number, Cancelled, b.clock.Now())
		if isOver {
			go b.CrashFor(p.fault.Downtime) // it waits for this handler
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

// fail answers a begun request with a failure.
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
		Path:          string(ctx.Path()),
		BodyHash:      hex.EncodeToString(hash[:]),
		Started:       b.clock.Now(),
		Outcome:       Running,
	}
}

func (b *Backend) recordLoad(number uint64) {
	if number%loadUpdateInterval != 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.load.Running = len(b.slots)
}

// simulateWork takes the request's time, and tells whether it came to its end.
func (b *Backend) simulateWork(conn *watchedConn, p faultPlan) bool {
	hangs := p.fault.Kind == Hangs && p.affected
	if p.duration <= 0 && !hangs {
		return true
	}
	gone, release := conn.watch()
	defer release()
	var over <-chan time.Time // never, if it hangs
	if !hangs {
		timer := time.NewTimer(p.duration)
		defer timer.Stop()
		over = timer.C
	}
	select {
	case <-over:
		return true
	case <-gone:
		return false
	case <-b.stop:
		return false
	}
}

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

// AnswerBody returns the body of the answer to a request: size bytes that
// depend on the id only, and then the id.
func AnswerBody(id string, size int) []byte {
	sum := sha256.Sum256([]byte(id))
	source := rand.NewChaCha8(sum)
	body := make([]byte, size, size+len(id))
	_, _ = source.Read(body)
	return append(body, id...)
}
