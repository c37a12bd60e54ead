package standin

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
)

// adminPrefix is the prefix of the paths by which scripts control a stand-in that runs as a
// separate process. Faults and modes don't apply to these paths.
const adminPrefix = "/standin/"

// Admin paths.
const (
	publishPath = adminPrefix + "publish"
	restorePath = adminPrefix + "restore"
	backupPath  = adminPrefix + "backup"
	rewindPath  = adminPrefix + "rewind"
	modePath    = adminPrefix + "mode"
	callsPath   = adminPrefix + "calls"
	faultPath   = adminPrefix + "fault"
	crashPath   = adminPrefix + "crash"
	ledgerPath  = adminPrefix + "ledger"
	totalsPath  = adminPrefix + "totals"
	awaitPath   = adminPrefix + "await"
	statsPath   = adminPrefix + "stats"
)

func (p *Platform) serveAdmin(ctx *fasthttp.RequestCtx, path string) {
	actions := map[string]func(*fasthttp.RequestCtx) error{
		publishPath: p.adminPublish,
		restorePath: p.adminRestore,
		modePath:    p.adminMode,
		backupPath:  p.adminBackup,
		rewindPath:  p.adminRewind,
	}
	switch {
	case path == callsPath && ctx.IsGet():
		writeJSON(ctx, p.Calls())
	case path == awaitPath && ctx.IsGet():
		p.adminAwait(ctx)
	default:
		runPost(ctx, actions[path])
	}
}

func (p *Platform) adminBackup(*fasthttp.RequestCtx) error {
	p.Backup()
	return nil
}

func (p *Platform) adminRewind(*fasthttp.RequestCtx) error {
	p.Rewind()
	return nil
}

// adminAwait answers GET /standin/await?calls=N&wait=10s.
func (p *Platform) adminAwait(ctx *fasthttp.RequestCtx) {
	calls, err := countArgument(ctx, "calls")
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	runAwait(ctx, func(ctx context.Context) error { return p.AwaitCalls(ctx, calls) })
	if ctx.Response.StatusCode() == fasthttp.StatusOK {
		writeJSON(ctx, p.Calls())
	}
}

// countArgument reads a count from the query arguments, 0 if it isn't given.
func countArgument(ctx *fasthttp.RequestCtx, name string) (uint64, error) {
	text := ctx.QueryArgs().Peek(name)
	if len(text) == 0 {
		return 0, nil
	}
	count, err := strconv.ParseUint(string(text), 10, 64)
	return count, errors.Annotatef(err, "reading %s", name)
}

// defaultAwaitTimeout bounds GET /standin/await for requests without the argument wait.
const defaultAwaitTimeout = 10 * clock.Second

// runAwait calls await with the timeout of the argument wait. It leaves status 200 if await
// succeeds, and sets 408 if await returns an error.
func runAwait(ctx *fasthttp.RequestCtx, await func(context.Context) error) {
	timeout := defaultAwaitTimeout
	if text := ctx.QueryArgs().Peek("wait"); len(text) > 0 {
		if err := timeout.UnmarshalText(text); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
	}
	conn, ok := connOf(ctx)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	// WithoutCancel detaches the wait from the request: the server reuses the request's
	// memory after the answer, while the goroutine below may still cancel the wait.
	waitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout.Duration())
	defer cancel()
	gone, release := conn.watch()
	defer release()
	go func() {
		defer cancel()
		select {
		case <-gone:
		case <-waitCtx.Done():
		}
	}()
	if err := await(waitCtx); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusRequestTimeout)
	}
}

func (p *Platform) adminPublish(ctx *fasthttp.RequestCtx) error {
	key, version, err := parsePublish(ctx)
	if err != nil {
		return err
	}
	p.Publish(key, version, ctx.PostBody())
	return nil
}

func (p *Platform) adminRestore(ctx *fasthttp.RequestCtx) error {
	key, version, err := parsePublish(ctx)
	if err != nil {
		return err
	}
	p.Restore(key, version, ctx.PostBody())
	return nil
}

// parsePublish reads the query arguments key and version.
func parsePublish(ctx *fasthttp.RequestCtx) (key string, version uint64, err error) {
	args := ctx.QueryArgs()
	key = string(args.Peek("key"))
	if key == "" {
		return "", 0, errors.New("key is missing")
	}
	version, err = strconv.ParseUint(string(args.Peek("version")), 10, 64)
	if err != nil {
		return "", 0, errors.Annotate(err, "reading version")
	}
	return key, version, nil
}

func (p *Platform) adminMode(ctx *fasthttp.RequestCtx) error {
	args := ctx.QueryArgs()
	if text := args.Peek("delay"); len(text) > 0 {
		var delay clock.Millis
		if err := delay.UnmarshalText(text); err != nil {
			return errors.Annotate(err, "reading delay")
		}
		p.SetDelay(delay)
	}
	mode := PlatformMode(args.Peek("mode"))
	switch mode {
	case Up, Down, Stale, Slow, Busy, Silent:
		p.SetMode(mode)
		return nil
	default:
		return errors.Annotatef(ErrMode, "reading mode %q", string(mode))
	}
}

// runPost runs the action of a POST. It answers 204 if the action succeeds, 400 with the
// error if the action fails, 404 if action is nil, and 405 for another method.
func runPost(ctx *fasthttp.RequestCtx, action func(*fasthttp.RequestCtx) error) {
	if action == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !ctx.IsPost() {
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	if err := action(ctx); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// writeJSON sets the JSON encoding of the value as the body of the answer.
func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
