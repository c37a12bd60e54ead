// Package floor decides which verdicts of gates an entry honours, so that
// setting upstreams aside never takes a service below the share of its
// capacity that its table keeps in use.
//
// The decision is made by each entry alone, over its own view of the service:
// the verdicts it last heard, the upstreams it knows to be leaving and the
// paths it has lost itself.
package floor

// Member is one upstream of a service as one entry sees it.
type Member struct {
	// Capacity is the upstream's table weight times its slots.
	Capacity float64
	// Ejected is the verdict of the upstream's gate.
	Ejected bool
	// Severity orders verdicts: the higher, the worse the upstream serves.
	Severity float64
	// Leaving says that the upstream takes no new work.
	Leaving bool
	// Unreachable says that this entry can't reach the upstream's gate, or this its backend server.
	Unreachable bool
}

// Use says what an entry does with one upstream.
type Use uint8

// The values of Use.
const (
	// Normal upstreams get work.
	Normal Use = iota
	// Forced upstreams get work in spite of their gate's verdict, under a mark
	// that tells the gate to serve it.
	Forced
	// Ejected upstreams get no work: their gate's verdict is honoured.
	Ejected
	// Unavailable upstreams get no work: they are leaving, lost or without capacity.
	Unavailable
)

// tolerance is the part of the whole capacity by which rounding may hide that
// the floor is exactly met: 0.56 x 25 is 14.000000000000002.
const tolerance = 1e-9

// Decide appends the use of each member to dst[:0], in the order of members.
//
// Verdicts are honoured worst first, ties in the order of members, and only
// while the capacity left in use stays at or above share (0 to 1) of the whole
// capacity. The first verdict that can't be honoured ends it, also where a
// lesser one would still fit: so no upstream is set aside while a worse one
// serves. Where losses alone have taken the service below its floor, no
// verdict is honoured. It allocates only when dst is too short.
func Decide(dst []Use, share float64, members []Member) []Use {
	dst = dst[:0]
	total, left := 0.0, 0.0
	for i := range members {
		m := &members[i]
		use := initialUse(m)
		dst = append(dst, use)
		total += max(m.Capacity, 0)
		if use != Unavailable {
			left += m.Capacity
		}
	}
	least := share*total - tolerance*total
	for {
		worst := worstForced(dst, members)
		if worst < 0 || !(left-members[worst].Capacity >= least) {
			return dst
		}
		dst[worst] = Ejected
		left -= members[worst].Capacity
	}
}

// initialUse returns a member's use before any verdict is honoured.
func initialUse(m *Member) Use {
	switch {
	case m.Leaving, m.Unreachable, !(m.Capacity > 0):
		return Unavailable
	case m.Ejected:
		return Forced
	default:
		return Normal
	}
}

// worstForced returns the index of the worst member whose verdict isn't yet
// honoured, or -1.
func worstForced(uses []Use, members []Member) int {
	worst := -1
	for i, use := range uses {
		if use != Forced {
			continue
		}
		if worst < 0 || members[i].Severity > members[worst].Severity {
			worst = i
		}
	}
	return worst
}
