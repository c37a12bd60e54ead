package mirror

import (
	"hash/fnv"

	"fuchsiapick.example/fuchsiapick/difference"
)

const (
	// maxSteps limits the steps of an edit: an array in a frame has at most 4,096
	// entries.
	maxSteps = 2000
	// maxValueSize limits the size in bytes of a value that an edit produces; the
	// platform stores up to a megabyte.
	maxValueSize = 1 << 20
)

// Edit describes a large value by its differences from the value before, so that nodes
// receive a change within one hop. Otherwise each node would have to read the value over
// its own connection and the store's.
type Edit struct {
	// Base and Sum are the hashes of the previous value and of the one that Steps
	// produce. A node that holds a different base reads the value from the store.
	Base, Sum uint64
	Steps     []difference.Step
}

// newEdit returns an edit that turns base into value. It returns false if the edit has
// more than maxSteps steps or over half as many bytes of text as the value.
func newEdit(base, value []byte) (*Edit, bool) {
	steps, ok := difference.Make(base, value, len(value)/2)
	if !ok || len(steps) > maxSteps {
		return nil, false
	}
	return &Edit{Base: hashOf(base), Sum: hashOf(value), Steps: steps}, true
}

// size returns the number of bytes of text in the edit.
func (e *Edit) size() int {
	size := 0
	for i := range e.Steps {
		size += len(e.Steps[i].Text)
	}
	return size
}

// apply returns the value that the edit makes of the previous one. It returns false if
// the previous value is not the edit's base, or if the result differs from the sender's
// value.
func (e *Edit) apply(previous []byte) ([]byte, bool) {
	if hashOf(previous) != e.Base {
		return nil, false
	}
	value, err := difference.Apply(previous, e.Steps, maxValueSize)
	if err != nil || hashOf(value) != e.Sum {
		return nil, false
	}
	return value, true
}

func hashOf(value []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(value) // a hash's Write never fails
	return hash.Sum64()
}

// encodeEdits replaces large values by edits. The base of an edit is the value of the
// preceding event for the key, or else the value in the copy.
func encodeEdits(c *Copy, events []Event) {
	previous := map[string][]byte{}
	for i := range events {
		e := &events[i]
		old, ok := previous[e.Key]
		if !ok {
			old = c.items[e.Key].Value
		}
		value := e.Value
		previous[e.Key] = value
		if len(value) < largeValueSize || len(old) == 0 {
			continue
		}
		if edit, ok := newEdit(old, value); ok {
			e.Value, e.Edit = nil, edit
		}
	}
}

// decodeEdits replaces edits by the values that they produce. It leaves out the changes
// whose base this node doesn't hold, and returns false if there are any.
func decodeEdits(c *Copy, events []Event) ([]Event, bool) {
	previous := map[string][]byte{}
	isComplete := true
	decoded := make([]Event, 0, len(events))
	for _, e := range events {
		if e.Edit != nil && c.items[e.Key].Revision >= e.Revision {
			continue
		}
		if e.Edit != nil {
			old, ok := previous[e.Key]
			if !ok {
				old = c.items[e.Key].Value
			}
			e.Value, ok = e.Edit.apply(old)
			if e.Edit = nil; !ok {
				isComplete = false
				continue
			}
		}
		previous[e.Key] = e.Value
		decoded = append(decoded, e)
	}
	return decoded, isComplete
}
