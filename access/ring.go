package access

// ring holds the last values put into it, up to its bound.
type ring[T any] struct {
	values []T
	bound  int
	next   int
	// lost counts the values that were overwritten.
	lost uint64
}

func newRing[T any](bound int) *ring[T] {
	return &ring[T]{bound: bound}
}

func (r *ring[T]) put(v T) {
	if len(r.values) < r.bound {
		r.values = append(r.values, v)
		return
	}
	r.values[r.next] = v
	r.next = (r.next + 1) % r.bound
	r.lost++
}

// newest ranges from the last value put in to the oldest one held.
func (r *ring[T]) newest(yield func(*T) bool) {
	for i := range r.values {
		at := (r.next - 1 - i + 2*len(r.values)) % len(r.values)
		if !yield(&r.values[at]) {
			return
		}
	}
}
