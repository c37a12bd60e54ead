package node

import (
	"sync"

	"fuchsiapick.example/fuchsiapick/lease"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/wire"
)

// localWaiters holds the observers of the dispatches that this node's entry sends to the
// node's own gates. It is safe for concurrent use.
type localWaiters struct {
	mu      sync.Mutex
	waiters map[lease.Key]link.DispatchObserver
}

func newLocalWaiters() *localWaiters {
	return &localWaiters{waiters: map[lease.Key]link.DispatchObserver{}}
}

func (s *localWaiters) add(d *wire.Dispatch, w link.DispatchObserver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters[d.ID.Key(d.Attempt)] = w
}

func (s *localWaiters) remove(d *wire.Dispatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, d.ID.Key(d.Attempt))
}

// notifyHung notifies the observer of a dispatch that its run has most likely hung.
func (s *localWaiters) notifyHung(m *wire.HungRun) {
	s.mu.Lock()
	w, ok := s.waiters[m.ID.Key(m.Attempt)]
	s.mu.Unlock()
	if ok {
		w.Hung()
	}
}
