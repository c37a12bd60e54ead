package standin

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
)

// MaxValue is the size, in bytes, of the largest value that the real platform holds. The
// stand-in doesn't enforce this limit.
const MaxValue = 1 << 20

// ErrMode means that no mode or kind of fault has the given name.
const ErrMode = errors.ConstError("unknown mode or kind of fault")

// PlatformMode is the way in which the platform answers its readers.
type PlatformMode string

// Modes of a platform, in addition to Slow.
const (
	// Up answers immediately.
	Up PlatformMode = "up"
	// Down closes every reader's connection without an answer.
	Down PlatformMode = "down"
	// Stale answers with the values as of the time when the mode was set.
	Stale PlatformMode = "stale"
	// Busy answers 429.
	Busy PlatformMode = "busy"
	// Silent accepts requests and doesn't answer them.
	Silent PlatformMode = "silent"
)

// Slow is the platform's mode that delays each answer, and the backend server's fault that
// lengthens the service time. The constant is untyped since both types use it.
const Slow = "slow"

// defaultSlowDelay is the delay of Slow until SetDelay changes it: well above the typical few
// milliseconds of a read, and within a reader's typical timeout.
const defaultSlowDelay = clock.Second / 2

// PlatformConfig describes a platform to start.
type PlatformConfig struct {
	// Address to listen on, for example "127.0.0.1:0".
	Address string
}

// PlatformItem is a value of the platform or, in a list of changes, its removal.
type PlatformItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	IsGone   bool   `json:"isGone,omitempty"`
}

// snapshot holds the items and the history of a platform at one revision.
type snapshot struct {
	revision  uint64
	era       uint64 // how often the platform was rewound
	compacted uint64 // the history has no changes up to this revision
	items     map[string]PlatformItem
	history   []PlatformItem
}

func (s *snapshot) clone() snapshot {
	copied := snapshot{revision: s.revision, era: s.era, compacted: s.compacted, items: map[string]PlatformItem{}, history: slices.Clone(s.history)}
	for key, item := range s.items {
		copied.items[key] = item
	}
	return copied
}

// Platform is a simulated metadata store of the platform: items under keys with one
// revision counter, paged lists, and watches. It is safe for concurrent use.
type Platform struct {
	ln        *listener
	closeOnce sync.Once
	stop      chan struct{}

	mu           sync.Mutex
	mode         PlatformMode
	delay        clock.Millis
	current      snapshot
	frozen       snapshot // served in mode Stale
	backup       snapshot
	backupOf     map[string]uint64 // the versions as of the backup
	versions     map[string]uint64
	changed      broadcast // notified when a value or the mode changes
	calls        uint64
	callsChanged broadcast
}

// StartPlatform starts a platform that serves until Close. It returns an error if it can't
// listen on the address.
func StartPlatform(ctx context.Context, config PlatformConfig) (*Platform, error) {
	ln, err := listen(ctx, config.Address)
	if err != nil {
		return nil, errors.Annotate(err, "starting the platform")
	}
	p := &Platform{
		ln:       ln,
		stop:     make(chan struct{}),
		mode:     Up,
		delay:    defaultSlowDelay,
		current:  snapshot{revision: 1, items: map[string]PlatformItem{}},
		versions: map[string]uint64{},
	}
	p.backup, p.backupOf = p.current.clone(), map[string]uint64{}
	go serve(ln, p.handle)
	return p, nil
}

// Address returns the IP number and port that the platform listens on.
func (p *Platform) Address() string {
	return p.ln.Addr().String()
}

// Publish sets a value. It ignores a version that isn't above the current one: if two
// operators publish the same version, the first wins. The value's size isn't limited, so that
// tests can exceed MaxValue.
func (p *Platform) Publish(key string, version uint64, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.versions[key]; ok && version <= old {
		return
	}
	p.versions[key] = version
	p.put(key, value)
}

// Restore sets a value at any version, as operators do who restore a backup.
func (p *Platform) Restore(key string, version uint64, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.versions[key] = version
	p.put(key, value)
}

// Put sets a value without a version.
func (p *Platform) Put(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put(key, value)
}

// put sets a value and notifies watches. The caller must hold p.mu.
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

// Compact drops the history, so that watches of earlier revisions get 410.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current.compacted, p.current.history = p.current.revision, nil
	p.changed.notify()
}

// Backup keeps a copy of all values for Rewind.
func (p *Platform) Backup() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backup, p.backupOf = p.current.clone(), maps.Clone(p.versions)
}

// Rewind restores all values from the last Backup, or from the empty state without one. What was
// written since is lost, its revisions are given out again, and the era rises by one.
func (p *Platform) Rewind() {
	p.mu.Lock()
	defer p.mu.Unlock()
	era := p.current.era + 1
	p.current, p.versions = p.backup.clone(), maps.Clone(p.backupOf)
	p.current.era = era
	p.changed.notify()
}

// SetMode changes how calls are answered, including watches that are waiting.
func (p *Platform) SetMode(mode PlatformMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if mode == Stale && p.mode != Stale {
		p.frozen = p.current.clone()
	}
	p.mode = mode
	p.changed.notify()
}

// SetDelay sets the delay that the mode Slow adds to each answer.
func (p *Platform) SetDelay(delay clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// Calls returns the number of lists and watches that readers have requested; a waiting watch
// counts once.
func (p *Platform) Calls() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// AwaitCalls waits until readers have made at least the given number of calls. It returns an
// error if ctx ends before.
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

// Close stops the platform and closes all its connections. A second call does nothing.
func (p *Platform) Close() {
	p.closeOnce.Do(func() {
		close(p.stop)
		p.ln.closeAll()
	})
}
