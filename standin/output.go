package standin

import (
	"bytes"
	"sync"
)

// Output is a buffer that a test can read while a process or a node writes to it. The zero
// value is ready for use. It is safe for concurrent use.
type Output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends p to the buffer.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// String returns everything written so far.
func (o *Output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}
