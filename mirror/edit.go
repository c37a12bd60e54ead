package mirror

import (
	"hash/fnv"

	"fuchsiapick.example/fuchsiapick/difference"
)

const (
	// maxSteps bounds the steps of an edit: a frame's arrays have 4,096 entries at most.
	maxSteps = 2000
	// maxValueSize bounds a value that an edit makes, in bytes: the platform holds a megabyte.
	maxValueSize = 1 << 20
)

// Edit tells a large value by what has changed, so that nodes hear of it within a hop and
// need not read the value, each over its own line and the store's.
type Edit struct {
	// Base and Sum are the hashes of the value before and of the one that the steps make:
	// a node that holds another one reads the value itself.
	Base, Sum uint64
	Steps     []difference.Step
}

// newEdit tells a value by what has changed since the one before, and returns false where
// that takes about as much as the value.
func newEdit(before, value []byte) (*Edit, bool) {
	steps, ok := difference.Make(before, value, len(value)/2)
	if !ok || len(steps) > maxSteps {
		return nil, false
	}
	return &Edit{Base: hashOf(before), Sum: hashOf(value), Steps: steps}, true
}

// size is how many bytes of text the edit has.
func (e *Edit) size() int {
	size := 0
	for i := range e.Steps {
		size += len(e.Steps[i].Text)
	}
	return size
}

// apply makes the value of the one before, and returns false where that isn't the base, or
// the value not the one that the teller holds.
func (e *Edit) apply(before []byte) ([]byte, bool) {
	if hashOf(before) != e.Base {
		return nil, false
	}
	value, err := difference.Apply(before, e.Steps, maxValueSize)
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

// encodeEdits puts edits in place of large values, each against the value of the event
// before it, or the one that the copy holds.
func encodeEdits(c *Copy, events []Event) {
	before := map[string][]byte{}
	for i := range events {
		e := &events[i]
		old, ok := before[e.Key]
		if !ok {
			old = c.items[e.Key].Value
		}
		value := e.Value
		before[e.Key] = value
		if len(value) < largeValueSize || len(old) == 0 {
			continue
		}
		if edit, ok := newEdit(old, value); ok {
			e.Value, e.Edit = nil, edit
		}
	}
}

// decodeEdits puts values in place of edits. It returns false if there is one whose base is
// not held here; that change is left out.
func decodeEdits(c *Copy, events []Event) ([]Event, bool) {
	before := map[string][]byte{}
	isWhole := true
	resolved := make([]Event, 0, len(events))
	for _, e := range events {
		if e.Edit != nil && c.items[e.Key].Revision >= e.Revision {
			continue
		}
		if e.Edit != nil {
			old, ok := before[e.Key]
			if !ok {
				old = c.items[e.Key].Value
			}
			e.Value, ok = e.Edit.apply(old)
			if e.Edit = nil; !ok {
				isWhole = false
				continue
			}
		}
		before[e.Key] = e.Value
		resolved = append(resolved, e)
	}
	return resolved, isWhole
}
