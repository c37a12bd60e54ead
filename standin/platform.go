package standin

import (
	"context"
	"slices"
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
	// Busy answers 429.
	Busy PlatformMode = "busy"
	// Silent takes requests and never answers.
	Silent PlatformMode = "silent"
)

// Slow is the platform's mode that delays each answer, and the backend
// server's fault that lengthens each request. It is untyped since both use it.
const Slow = "slow"

// defaultDelay is what Slow adds until SetDelay: well over a reader's usual
// milliseconds and within its usual timeout.
const defaultDelay = clock.Second / 2

// PlatformConfig describes a platform to start.
type PlatformConfig struct {
	// Address to listen on, for example "127.0.0.1:0".
	Address string
}

// PlatformItem is one value of the platform, or its removal among changes.
type PlatformItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	IsGone   bool   `json:"isGone,omitempty"`
}

// snapshot is what a platform holds at one revision.
type snapshot struct {
	revision  uint64
	compacted uint64 // changes up to it are dropped
	items     map[string]PlatformItem
	history   []PlatformItem
}

func (c *snapshot) clone() snapshot {
	copied := snapshot{revision: c.revision, compacted: c.compacted, items: map[string]PlatformItem{}, history: slices.Clone(c.history)}
	for key, item := range c.items {
		copied.items[key] = item
	}
	return copied
}

// Platform stands in for the users' metadata store: items under keys, one counter
// of revisions, lists in pages and watches. It is safe for concurrent use.
type Platform struct {
	ln   *listener
	once sync.Once
	stop chan struct{}

	mu           sync.Mutex
	mode         PlatformMode
	delay        clock.Millis
	current      snapshot
	frozen       snapshot // what Stale answers from
	versions     map[string]uint64
	changed      broadcast // of values or mode
	calls        uint64
	callsChanged broadcast
}

// StartPlatform listens and serves until Close.
func StartPlatform(ctx context.Context, config PlatformConfig) (*Platform, error) {
	ln, err := listen(ctx, config.Address)
	if err != nil {
		return nil, errors.Annotate(err, "starting the platform")
	}
	p := &Platform{
		ln:       ln,
		stop:     make(chan struct{}),
		mode:     Up,
		delay:    defaultDelay,
		current:  snapshot{revision: 1, items: map[string]PlatformItem{}},
		versions: map[string]uint64{},
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
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.versions[key]; ok && version <= old {
		return
	}
	p.versions[key] = version
	p.put(key, value)
}

// Restore sets a value at any version, as operators do from a backup.
func (p *Platform) Restore(key string, version uint64, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions[key] = version
	p.put(key, value)
}

// Put writes a value.
func (p *Platform) Put(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(key, value)
}

func (p *Platform) put(key string, value []byte) {
	p.current.revision++
	item := PlatformItem{Key: key, Value: slices.Clone(value), Revision: p.current.revision, Created: p.current.revision}
	if old, ok := p.current.items[key]; ok {
		item.Created = old.Created
	}
	p.current.items[key] = item
	p.current.history = append(p.current.history, item)
	p.changed.notify()
}

// Delete removes a value.
func (p *Platform) Delete(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.revision++
	delete(p.current.items, key)
	p.current.history = append(p.current.history, PlatformItem{Key: key, Revision: p.current.revision, IsGone: true})
	p.changed.notify()
}

// Compact drops the history.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.compacted, p.current.history = p.current.revision, nil
	p.changed.notify()
}

// SetMode changes how readers are answered, those that wait included.
func (p *Platform) SetMode(mode PlatformMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == Stale && p.mode != Stale {
		p.frozen = p.current.clone()
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
		return p.calls >= calls, p.callsChanged.wait()
	})
}

func (p *Platform) countCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	p.callsChanged.notify()
}

// Close ends the platform and all its connections. A second call does nothing.
func (p *Platform) Close() {
	p.once.Do(func() {
		close(p.stop)
		p.ln.closeAll()
	})
}
