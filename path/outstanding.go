package path

import "fuchsiapick.example/fuchsiapick/clock"

// maxOutstanding bounds the requests that are tracked for one peer. It covers the slots and
// queues of the 83 upstreams beside a node in a fleet of the design size, with a margin.
// Requests beyond it aren't tracked; those that are show a dead link as well.
const maxOutstanding = 4096

// outstanding tracks requests that are not completed yet.
type outstanding struct {
	due map[uint64]clock.Millis // by request ID
	// earliest is a lower bound of all due times. If stale is false, it is the earliest due
	// time.
	earliest clock.Millis
	stale    bool
}

func (o *outstanding) add(id uint64, due clock.Millis) {
	o.remove(id)
	if len(o.due) >= maxOutstanding {
		return
	}
	if len(o.due) == 0 || due < o.earliest {
		o.earliest = due
		o.stale = false
	}
	o.due[id] = due
}

func (o *outstanding) remove(id uint64) {
	due, ok := o.due[id]
	if !ok {
		return
	}
	o.stale = o.stale || due <= o.earliest
	delete(o.due, id)
}

// dropOverdue removes the overdue requests, for which the path has been checked by a new
// link.
func (o *outstanding) dropOverdue(now clock.Millis) {
	for id, due := range o.due {
		if due <= now {
			o.remove(id)
		}
	}
}

// hasOverdue reports whether a request is overdue. It searches for the earliest due time
// only if the lower bound has passed and may be stale, so that calls are cheap while answers
// arrive in time.
func (o *outstanding) hasOverdue(now clock.Millis) bool {
	if len(o.due) == 0 || o.earliest >= now {
		return false
	}
	if o.stale {
		o.findEarliest()
	}
	return o.earliest < now
}

// findEarliest sets earliest to the earliest due time.
func (o *outstanding) findEarliest() {
	first := true
	for _, due := range o.due {
		if first || due < o.earliest {
			o.earliest = due
			first = false
		}
	}
	o.stale = false
}
