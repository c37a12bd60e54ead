package logging

import (
	"fmt"
	"maps"
	"runtime/debug"
	"sync"

	"github.com/sirupsen/logrus"
)

const (
	// maxPanicText and maxStack bound, in bytes, what a line says of a panic. The stack of a
	// goroutine with the library's frames has about 4 KB.
	maxPanicText = 2 << 10
	maxStack     = 16 << 10
)

// Panics logs and counts panics, which the goroutines of a process pass to it with deferred
// calls of Recover. It is safe for concurrent use. A nil Panics recovers nothing.
type Panics struct {
	log logrus.FieldLogger

	mu       sync.Mutex
	counts   map[string]uint64
	observer func(part string)
}

// NewPanics returns a Panics that counts by the named parts of the process. Each of them is
// counted from 0, so that the first panic of a part is an increase.
func NewPanics(log logrus.FieldLogger, parts ...string) *Panics {
	p := &Panics{log: log, counts: make(map[string]uint64, len(parts))}
	for _, part := range parts {
		p.counts[part] = 0
	}
	return p
}

// Observe sets the function that is called after each panic. It must not block.
func (p *Panics) Observe(observer func(part string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observer = observer
}

// Recover must be deferred. It ends a panic of the goroutine, and records it.
func (p *Panics) Recover(part string) {
	if p == nil {
		return
	}
	if value := recover(); value != nil {
		p.Record(part, value, debug.Stack())
	}
}

// Record logs and counts a panic that was recovered elsewhere. It doesn't block.
func (p *Panics) Record(part string, value any, stack []byte) {
	if p == nil {
		return
	}
	p.log.WithFields(logrus.Fields{
		"part":  part,
		"panic": cutText(fmt.Sprint(value), maxPanicText),
		"stack": cutText(string(stack), maxStack),
	}).Error("panic")
	p.mu.Lock()
	p.counts[part]++
	observer := p.observer
	p.mu.Unlock()
	if observer != nil {
		observer(part)
	}
}

// PanicCounts returns the number of panics by part.
func (p *Panics) PanicCounts() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.counts)
}

func cutText(text string, size int) string {
	if len(text) <= size {
		return text
	}
	return text[:size] + "..."
}
