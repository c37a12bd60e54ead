package standin

import (
	"context"

	"github.com/juju/errors"
)

// broadcast wakes all goroutines that wait for a change of its owner's state. The owner's
// lock guards it.
type broadcast struct {
	changed chan struct{}
}

// wait returns a channel that closes at the next change. The caller must hold the lock.
func (b *broadcast) wait() <-chan struct{} {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// notify closes the channels that wait has returned. The caller must hold the lock.
func (b *broadcast) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// await returns once check reports true. It calls check again whenever the channel that
// check returns is closed, and returns an error if ctx ends before.
func await(ctx context.Context, check func() (bool, <-chan struct{})) error {
	for {
		reached, changed := check()
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
