package standin

import (
	"context"

	"github.com/juju/errors"
)

// broadcast wakes all that wait for a change of something under a lock. The
// lock is the owner's.
type broadcast struct {
	changed chan struct{}
}

// wait returns a channel that closes at the next change. It needs the lock.
func (b *broadcast) wait() <-chan struct{} {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// notify wakes all that wait. It needs the lock.
func (b *broadcast) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// await calls look until it reports true, after each change that look
// returns, or until ctx ends.
func await(ctx context.Context, look func() (bool, <-chan struct{})) error {
	for {
		reached, changed := look()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "awaiting a stand-in")
		}
	}
}
