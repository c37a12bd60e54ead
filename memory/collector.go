package memory

import (
	"runtime"
	"sync"
	"time"
)

// collectInterval is the minimum time between two collections for memory that is in use. A collection
// takes milliseconds of a core.
const collectInterval = 200 * time.Millisecond

// collector frees memory that isn't used any more when a count is full.
type collector struct {
	mu          sync.Mutex // held during a collection; guards collectedAt
	collectedAt time.Time
}

// collect frees what isn't used any more, unless that was tried a moment ago.
func (c *collector) collect() {
	if !c.mu.TryLock() {
		return
	}
	defer c.mu.Unlock()
	if time.Since(c.collectedAt) < collectInterval {
		return
	}
	runtime.GC()
	c.collectedAt = time.Now()
}
