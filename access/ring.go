package access

// ring holds the last values that were put into it, up to its capacity.
type ring[T any] struct {
	values      []T
	capacity    int
	next        int
	overwritten uint64
}

func newRing[T any](capacity int) *ring[T] {
	return &ring[T]{capacity: capacity}
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

// newestFirst iterates from the newest value to the oldest one.
func (r *ring[T]) newestFirst(yield func(*T) bool) {
	for i := range r.values {
		at := (r.next - 1 - i + 2*len(r.values)) % len(r.values)
		if !yield(&r.values[at]) {
			return
		}
	}
}
