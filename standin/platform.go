package standin

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
)

// MaxValue is the largest value, in bytes, that the platform holds.
const MaxValue = 1 << 20

// ErrMode reports the name of a mode or of a fault that doesn't exist.
const ErrMode = errors.ConstError("unknown mode")

// PlatformMode is how the platform answers its readers.
type PlatformMode string

// Modes of a platform, beside Slow.
const (
	// Up answers at once.
	Up PlatformMode = "up"
	// Down closes every reader's connection without an answer.
	Down PlatformMode = "down"
	// Stale answers from what the platform held when the mode was set.
	Stale PlatformMode = "stale"
)

// Slow is the platform's mode that delays each answer, and the backend
// server's fault that lengthens each request. It is untyped since both use it.
const Slow = "slow"

// defaultDelay is what Slow adds until SetDelay: well over a reader's usual
// milliseconds and within its usual timeout.
const defaultDelay = clock.Second / 2

// valuePrefix is the path under which values are read.
const valuePrefix = "/v1/values/"

// PlatformConfig describes a platform to start.
type PlatformConfig struct {
	// Address to listen on, for example "127.0.0.1:0".
	Address string
}

// published is one value at one version.
type published struct {
	version uint64
	body    []byte
}

// Platform stands in for the configuration service: values with versions that
// can be read and watched over HTTP. It is safe for concurrent use.
type Platform struct {
	ln   *listener
	stop chan struct{}

	mu      sync.Mutex
	mode    PlatformMode
	delay   clock.Millis
	values  map[string]published
	frozen  map[string]published // what Stale answers from
	changed chan struct{}        // closed at each change of values or mode
	calls   uint64
}

// StartPlatform listens and serves until Close.
func StartPlatform(config PlatformConfig) (*Platform, error) {
	ln, err := listen(config.Address)
	if err != nil {
		return nil, errors.Annotate(err, "starting the platform")
	}
	p := &Platform{
		ln:      ln,
		stop:    make(chan struct{}),
		mode:    Up,
		delay:   defaultDelay,
		values:  make(map[string]published),
		changed: make(chan struct{}),
	}
	go serve(ln, p.handle)
	return p, nil
}

func serve(ln *listener, handle fasthttp.RequestHandler) {
	server := &fasthttp.Server{
		Handler:               handle,
		Name:                  "standin",
		MaxRequestBodySize:    maxRequestBody,
		NoDefaultServerHeader: true,
		Logger:                silent{},
	}
	// Serve ends with an error of the closed listener, which is no fault.
	_ = server.Serve(ln)
}

// silent keeps the errors of connections that were broken on purpose from the
// output of tests.
type silent struct{}

// Printf drops the message.
func (silent) Printf(string, ...any) {}

// Address returns the IP number and port that the platform listens on.
func (p *Platform) Address() string {
	return p.ln.Addr().String()
}

// Publish sets a value. A version that isn't above the present one is left
// out, as the platform's version order decides between operators.
func (p *Platform) Publish(key string, version uint64, value []byte) {
	p.set(key, version, value, false)
}

// Restore sets a value at any version, as a platform restored from a backup.
func (p *Platform) Restore(key string, version uint64, value []byte) {
	p.set(key, version, value, true)
}

func (p *Platform) set(key string, version uint64, value []byte, lower bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.values[key]
	if ok && version <= old.version && !lower {
		return
	}
	p.values[key] = published{version: version, body: append([]byte(nil), value...)}
	p.wake()
}

// SetMode changes how readers are answered, those that wait included.
func (p *Platform) SetMode(mode PlatformMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == Stale && p.mode != Stale {
		p.frozen = make(map[string]published, len(p.values))
		for key, value := range p.values {
			p.frozen[key] = value
		}
	}
	p.mode = mode
	p.wake()
}

// SetDelay sets what the mode Slow adds to each answer.
func (p *Platform) SetDelay(delay clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// wake tells all waiting watches to look again. It needs the lock.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Calls returns how many reads and watches readers have made; a waiting watch
// counts once.
func (p *Platform) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Close ends the platform and all its connections.
func (p *Platform) Close() {
	close(p.stop)
	p.ln.shut()
}

// view is what a reader is shown at one moment.
type view struct {
	mode    PlatformMode
	delay   clock.Millis
	value   published
	found   bool
	changed <-chan struct{}
}

func (p *Platform) look(key string) view {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.mode == Stale {
		values = p.frozen
	}
	value, found := values[key]
	return view{mode: p.mode, delay: p.delay, value: value, found: found, changed: p.changed}
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case strings.HasPrefix(path, adminPrefix):
		p.admin(ctx, path)
	case strings.HasPrefix(path, valuePrefix):
		p.read(ctx, strings.TrimPrefix(path, valuePrefix))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Platform) read(ctx *fasthttp.RequestCtx, key string) {
	if !ctx.IsGet() {
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	wait, after, err := watchArguments(ctx.QueryArgs())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()

	conn, ok := connOf(ctx)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	gone, release := conn.watch()
	seen, answered := p.await(key, after, wait, gone)
	release()
	if !answered {
		conn.abort()
		return
	}
	writeValue(ctx, seen, wait > 0 && seen.value.version <= after)
}

// watchArguments reads ?after=N&wait=30s. A read without wait is answered at
// once.
func watchArguments(args *fasthttp.Args) (wait clock.Millis, after uint64, err error) {
	if text := args.Peek("wait"); len(text) > 0 {
		if err := wait.UnmarshalText(text); err != nil {
			return 0, 0, errors.Annotate(err, "reading wait")
		}
	}
	if text := args.Peek("after"); len(text) > 0 {
		after, err = strconv.ParseUint(string(text), 10, 64)
		if err != nil {
			return 0, 0, errors.Annotate(err, "reading after")
		}
	}
	return wait, after, nil
}

// await returns what a read or watch is to be answered with, or false if it
// isn't to be answered at all.
func (p *Platform) await(key string, after uint64, wait clock.Millis, gone <-chan struct{}) (view, bool) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		seen := p.look(key)
		if seen.mode == Down {
			return seen, false
		}
		if wait <= 0 || seen.found && seen.value.version > after {
			return seen, p.dawdle(seen, gone)
		}
		select {
		case <-seen.changed:
		case <-timer.C:
			return seen, p.dawdle(seen, gone)
		case <-gone:
			return seen, false
		case <-p.stop:
			return seen, false
		}
	}
}

// dawdle holds an answer back in the mode Slow.
func (p *Platform) dawdle(seen view, gone <-chan struct{}) bool {
	if seen.mode != Slow {
		return true
	}
	timer := time.NewTimer(seen.delay.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-gone:
		return false
	case <-p.stop:
		return false
	}
}

func writeValue(ctx *fasthttp.RequestCtx, seen view, unchanged bool) {
	if seen.found {
		ctx.Response.Header.Set("Version", strconv.FormatUint(seen.value.version, 10))
	}
	switch {
	case unchanged:
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	case !seen.found:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	default:
		ctx.SetBody(seen.value.body)
	}
}
