// Package floor decides which ejections by gates an entry applies, so that ejections never
// take the capacity in use of a service below its floor, the share of capacity that its
// table sets.
//
// Each entry decides alone, from its own view of the service: the verdicts that it last
// received, the upstreams that it knows to be leaving and the paths that it has lost.
package floor

// Member is one upstream of a service as one entry sees it.
type Member struct {
	// Capacity is the upstream's table weight times its slots.
	Capacity float64
	// Ejected is true if the upstream's gate has ejected it.
	Ejected bool
	// Severity orders ejections: the higher, the worse the upstream serves.
	Severity float64
	// Leaving is true if the upstream takes no new requests.
	Leaving bool
	// Unreachable is true if this entry can't reach the upstream's gate, or the gate its
	// backend server.
	Unreachable bool
}

// Use says how an entry uses one upstream.
type Use uint8

// The values of Use.
const (
	// Normal upstreams get requests.
	Normal Use = iota
	// Forced upstreams get requests although their gate has ejected them. A flag in the
	// request asks the gate to serve it.
	Forced
	// Ejected upstreams get no requests: the ejection by their gate is applied.
	Ejected
	// Unavailable upstreams get no requests: they are leaving, unreachable or without
	// capacity.
	Unavailable
)

// tolerance is the fraction of the total capacity by which the remaining capacity may be
// below the floor, because rounding may hide that the floor is exactly met: 0.56 x 25 is
// 14.000000000000002.
const tolerance = 1e-9

// Decide returns the use of each member, in the order of members. It overwrites dst and
// allocates only if dst is too short.
//
// Decide applies ejections in the order of severity, the worst first and ties in the order
// of members, while the capacity left in use stays at or above share (0 to 1) of the total
// capacity. It stops at the first ejection that would take the capacity below that, even if
// one of a lower severity would still fit, so that no upstream is ejected while a worse one
// serves. If losses alone have taken the service below its floor, Decide applies no
// ejection.
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
	minCapacity := share*total - tolerance*total
	for {
		worst := worstForced(dst, members)
		if worst < 0 || !(left-members[worst].Capacity >= minCapacity) {
			return dst
		}
		dst[worst] = Ejected
		left -= members[worst].Capacity
	}
}

// initialUse returns a member's use before any ejection is applied.
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

// worstForced returns the index of the forced member of the highest severity, or -1 if no
// member is forced.
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
