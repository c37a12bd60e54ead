package table

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/document"
)

// Defaults of what a table leaves out.
const (
	// DefaultFloor lets half of a service be set aside: more than that is
	// seldom the upstreams' own fault.
	DefaultFloor = 0.5
	// DefaultDeadline is longer than any answer that a person still waits
	// for at a page, and short enough to hold few requests when all hang.
	DefaultDeadline = 2 * clock.Second
	// DefaultDrain is the "few seconds" after which a leaving upstream gets
	// no new work.
	DefaultDrain = 3 * clock.Second
	// DefaultQueuePerSlot lets a queue hold twice what is being served, so
	// that a waiting request has at most two service times ahead of it.
	DefaultQueuePerSlot = 2
	// DefaultRetryRatio bounds the extra load of retries to a tenth: enough for
	// single faults, too little to turn an overload into a collapse.
	DefaultRetryRatio = 0.1
	// DefaultCaution stands between the two trades.
	DefaultCaution = Balanced
	// DefaultAvailability allows 43 minutes of full outage in 30 days.
	DefaultAvailability = 0.999
	// DefaultLatency is a quarter of DefaultDeadline.
	DefaultLatency = 500 * clock.Millis(1)
	// DefaultLatencyRatio leaves out the slowest 1 in 100.
	DefaultLatencyRatio = 0.99
	// DefaultWeight leaves room to give an upstream more or less in whole
	// numbers.
	DefaultWeight = 100
	// DefaultConnections is what an upstream of today's deployments takes.
	DefaultConnections = 400
)

// defaultRepeatable are the methods that HTTP defines as safe and that callers
// use to read. Whoever gets the slice must not change it.
var defaultRepeatable = []string{"GET", "HEAD"}

// setDefault fills in a value whose key the text does not give. Presence
// decides and not the value: a weight of 0 is an operator's decision.
func setDefault[T any](n *document.Node, key string, value *T, standard T) {
	if !n.Has(key) {
		*value = standard
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
	slots := 0
	for i := range s.Upstreams {
		s.Upstreams[i].setDefaults(n.Field("upstream").Item(i))
		slots = max(slots, s.Upstreams[i].Slots)
	}
	setDefault(n, "queue", &s.Queue, min(DefaultQueuePerSlot*slots, MaxQueue))

	objective := n.Field("objective")
	setDefault(objective, "availability", &s.Objective.Availability, DefaultAvailability)
	latency := DefaultLatency
	if s.Deadline >= MinDeadline {
		// An objective above the deadline could not be missed.
		latency = min(latency, s.Deadline)
	}
	setDefault(objective, "latency", &s.Objective.Latency, latency)
	setDefault(objective, "within", &s.Objective.LatencyRatio, DefaultLatencyRatio)
}

func (u *Upstream) setDefaults(n *document.Node) {
	setDefault(n, "weight", &u.Weight, DefaultWeight)
	setDefault(n, "connections", &u.Connections, DefaultConnections)
}
