package standin

import (
	"context"
	"sync"

	"github.com/juju/errors"

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
	once sync.Once
	stop chan struct{}

	mu      sync.Mutex
	mode    PlatformMode
	delay   clock.Millis
	values  map[string]published
	frozen  map[string]published // what Stale answers from
	changed broadcast            // of values or mode
	calls   uint64
	called  broadcast
}

// StartPlatform listens and serves until Close.
func StartPlatform(ctx context.Context, config PlatformConfig) (*Platform, error) {
	ln, err := listen(ctx, config.Address)
	if err != nil {
		return nil, errors.Annotate(err, "starting the platform")
	}
	p := &Platform{
		ln:     ln,
		stop:   make(chan struct{}),
		mode:   Up,
		delay:  defaultDelay,
		values: make(map[string]published),
	}
	go serve(ln, p.handle)
	return p, nil
}

// Address returns the IP number and port that the platform listens on.
func (p *Platform) Address() string {
	return p.ln.Addr().String()
}

// Publish sets a value. A version that isn't above the present one is left
// out: of two operators who publish the same version the first one wins. The
// value's size isn't bounded, so that tests can break MaxValue.
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
	p.changed.notify()
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
	p.changed.notify()
}

// SetDelay sets what the mode Slow adds to each answer.
func (p *Platform) SetDelay(delay clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// Calls returns how many reads and watches readers have made; a waiting watch
// counts once.
func (p *Platform) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// AwaitCalls waits until readers have made that many calls, or ctx ends.
func (p *Platform) AwaitCalls(ctx context.Context, calls uint64) error {
	return await(ctx, func() (bool, <-chan struct{}) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.calls >= calls, p.called.wait()
	})
}

func (p *Platform) count() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	p.called.notify()
}

// Close ends the platform and all its connections. A second call does nothing.
func (p *Platform) Close() {
	p.once.Do(func() {
		close(p.stop)
		p.ln.shut()
	})
}
