package standin

import (
	"bytes"
	"sync"
)

// Output collects what a process or a node writes while a test reads it. The zero value is
// ready; it is safe for concurrent use.
type Output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// String returns what was written so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}
