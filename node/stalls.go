package node

import (
	"sync"

	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/wire"
)

// stalls finds who waits for the dispatches of this node's own gates. It is safe for
// concurrent use.
type stalls struct {
	mu      sync.Mutex
	waiters map[lease.Key]link.DispatchObserver
}

func newStalls() *stalls {
	return &stalls{waiters: map[lease.Key]link.DispatchObserver{}}
}

func (s *stalls) add(d *wire.Dispatch, w link.DispatchObserver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters[d.ID.Key(d.Attempt)] = w
}

func (s *stalls) remove(d *wire.Dispatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, d.ID.Key(d.Attempt))
}

// tell tells the waiter of a dispatch that its run most likely comes to no end.
func (s *stalls) tell(m *wire.HungRun) {
	s.mu.Lock()
	w, ok := s.waiters[m.ID.Key(m.Attempt)]
	s.mu.Unlock()
	if ok {
		w.Hung()
	}
}
