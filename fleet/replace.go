package fleet

import (
	"context"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/node"
)

// Replace stops a member's node immediately and starts a new node on the same addresses. It
// returns when the new node has the table in force.
func (f *Fleet) Replace(ctx context.Context, m *Member) error {
	m.Stop()
	listeners, err := node.Listen(ctx, m.listenAddresses, f.log)
	if err != nil {
		return errors.Annotatef(err, "replacing node %s", m.Name)
	}
	m.done = make(chan struct{})
	if err := f.startNode(ctx, m, m.domain, listeners); err != nil {
		listeners.Close()
		return errors.Trace(err)
	}
	return m.awaitTable(ctx)
}
