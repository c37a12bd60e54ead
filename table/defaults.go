package table

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/document"
)

// Defaults of the keys that a table leaves out.
const (
	// DefaultFloor lets half of a service's capacity be ejected. When more than
	// half fails, the cause is seldom in the upstreams themselves.
	DefaultFloor = 0.5
	// DefaultDeadline is longer than a person waits for a page, and short enough
	// that few requests pile up when all upstreams hang.
	DefaultDeadline = 2 * clock.Second
	// DefaultDrain is the time after which a leaving upstream gets no new work. The
	// project promises "a few seconds".
	DefaultDrain = 3 * clock.Second
	// DefaultQueuePerSlot lets a queue hold twice the requests being served, so
	// that a waiting request has at most two service times ahead of it.
	DefaultQueuePerSlot = 2
	// DefaultRetryRatio bounds the extra load of retries to a tenth: enough to retry
	// after single faults, too little to turn an overload into a collapse.
	DefaultRetryRatio = 0.1
	// DefaultCaution is a compromise between fast detection and few false ejections.
	DefaultCaution = Balanced
	// DefaultAvailability allows 43 minutes of full outage in 30 days.
	DefaultAvailability = 0.999
	// DefaultLatency is a quarter of DefaultDeadline.
	DefaultLatency = 500 * clock.Millis(1)
	// DefaultLatencyRatio leaves out the slowest 1 in 100 requests.
	DefaultLatencyRatio = 0.99
	// DefaultAccountWeight gives all accounts the same share.
	DefaultAccountWeight = 1.0
	// DefaultWeight leaves room to raise or lower an upstream's share in whole
	// numbers.
	DefaultWeight = 100
	// DefaultConnections is the number that an upstream of today's deployments accepts.
	DefaultConnections = 400
)

// defaultRepeatable are the methods that HTTP defines as safe and that callers
// use to read. All routes share the slice, so it must not be modified.
var defaultRepeatable = []string{"GET", "HEAD"}

// setDefault sets a value whose key the text doesn't give. A zero that the text gives
// stays, because a weight of 0, for example, is an operator's decision.
func setDefault[T any](n *document.Node, key string, value *T, fallback T) {
	if !n.Has(key) {
		*value = fallback
	}
}

func (t *Table) setDefaults(root *document.Node) {
	for i := range t.Services {
		t.Services[i].setDefaults(root.Field("service").Item(i))
	}
	for i := range t.Routes {
		setDefault(root.Field("route").Item(i), "repeatable", &t.Routes[i].Repeatable, defaultRepeatable)
	}
	for i := range t.Accounts {
		a := &t.Accounts[i]
		n := root.Field("account").Item(i)
		setDefault(n, "burst", &a.Burst, max(a.Rate, 1))
		setDefault(n, "priority", &a.Priority, RoutePriority)
	}
}

func (s *Service) setDefaults(n *document.Node) {
	setDefault(n, "caution", &s.Caution, DefaultCaution)
	setDefault(n, "floor", &s.Floor, DefaultFloor)
	setDefault(n, "deadline", &s.Deadline, DefaultDeadline)
	setDefault(n, "drain", &s.Drain, DefaultDrain)
	setDefault(n, "retries", &s.RetryRatio, DefaultRetryRatio)
	maxSlots := 0
	for i := range s.Upstreams {
		s.Upstreams[i].setDefaults(n.Field("upstream").Item(i))
		maxSlots = max(maxSlots, s.Upstreams[i].Slots)
	}
	setDefault(n, "queue", &s.Queue, min(DefaultQueuePerSlot*maxSlots, MaxQueue))

	objective := n.Field("objective")
	setDefault(objective, "availability", &s.Objective.Availability, DefaultAvailability)
	latency := DefaultLatency
	if s.Deadline >= MinDeadline {
		// No served request takes longer than the deadline, so an objective above it
		// could never be missed.
		latency = min(latency, s.Deadline)
	}
	setDefault(objective, "latency", &s.Objective.Latency, latency)
	setDefault(objective, "within", &s.Objective.LatencyRatio, DefaultLatencyRatio)
}

func (u *Upstream) setDefaults(n *document.Node) {
	setDefault(n, "weight", &u.Weight, DefaultWeight)
	setDefault(n, "connections", &u.Connections, DefaultConnections)
}
