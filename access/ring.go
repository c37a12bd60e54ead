package access

// ring holds the last values put into it, up to its bound.
type ring[T any] struct {
	values   []T
	capacity int
	next     int
	// overwritten counts the values that were overwritten.
	overwritten uint64
}

func newRing[T any](bound int) *ring[T] {
	return &ring[T]{capacity: bound}
}

func (r *ring[T]) put(v T) {
	if len(r.values) < r.capacity {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % r.capacity
	r.overwritten++
}

// newestFirst ranges from the last value put in to the oldest one held.
func (r *ring[T]) newestFirst(yield func(*T) bool) {
	for i := range r.values {
		at := (r.next - 1 - i + 2*len(r.values)) % len(r.values)
		if !yield(&r.values[at]) {
			return
		}
	}
}
