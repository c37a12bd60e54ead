package path

import "fuchsiapick.example/fuchsiapick/clock"

// maxOutstanding bounds the requests remembered for one peer: the slots and queues
// of 83 upstreams beside it, as at the size to design for, with room. Beyond
// it requests aren't watched; those watched show a silent link as well.
const maxOutstanding = 4096

// outstanding holds the requests not yet settled.
type outstanding struct {
	due map[uint64]clock.Millis
	// earliest is at most the earliest due; stale says that it may be less.
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

// dropOverdue drops the requests that are overdue: they were judged.
func (o *outstanding) dropOverdue(now clock.Millis) {
	for id, due := range o.due {
		if due <= now {
			o.remove(id)
		}
	}
}

// hasOverdue says whether any request is. The search for the earliest due is made
// only when the bound has passed and its request is gone, so that a call costs
// nothing while answers come in time.
func (o *outstanding) hasOverdue(now clock.Millis) bool {
	if len(o.due) == 0 || o.earliest >= now {
		return false
	}
	if o.stale {
		o.findEarliest()
	}
	return o.earliest < now
}

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
