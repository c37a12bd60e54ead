package fleet

import (
	"context"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/node"
)

// Replace ends a member's node at once and starts another process in its place,
// on the same addresses. It returns when that has the table in force.
func (f *Fleet) Replace(ctx context.Context, m *Member) error {
	m.Stop()
	listeners, err := node.Listen(ctx, m.ports)
	if err != nil {
		return errors.Annotatef(err, "replacing node %s", m.Name)
	}
	m.done = make(chan struct{})
	if err := f.startNode(ctx, m, m.domain, listeners); err != nil {
		listeners.Close()
		return errors.Trace(err)
	}
	return m.wait(ctx)
}
