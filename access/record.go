// Package access keeps a node's access log in bounded memory: one record
// for each request that reached the entry, totals by caller, service, upstream
// and outcome, what became of upstreams, and the counts that burn is worked
// out from.
//
// Instants are milliseconds of the node's own monotonic clock. They mean
// nothing to another node: a Snapshot carries Now, so that a reader turns them
// into ages. Nothing lasts: a node that is replaced starts with an empty Book,
// and Snapshot says how far back it reaches and what it had to drop.
package access

import "fuchsiapick.example/fuchsiapick/clock"

// Outcome is what the caller was told about its request.
type Outcome string

// The outcomes, as the Fuchsiapick-Outcome header has them.
const (
	// Served means that the caller got a whole answer of an upstream.
	Served Outcome = "served"
	// NotRun means that no upstream began the request.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have run the request.
	Unknown Outcome = "unknown"
)

// Record is the single record of one request. Book keeps its strings, so they
// must not share memory with a buffer that is used again.
type Record struct {
	// ID is the request id that logs of entry and gate carry too.
	ID      string `json:"id"`
	Caller  string `json:"caller"`
	Service string `json:"service"`
	Route   string `json:"route"`
	// Domain is the failure domain of the upstream that Upstream names.
	Domain  string  `json:"domain"`
	Method  string  `json:"method"`
	Outcome Outcome `json:"outcome"`
	// Reason says why a request was not served, or not well.
	Reason string `json:"reason,omitempty"`
	// Upstream served the request or had it last; empty if none had it.
	Upstream string `json:"upstream,omitempty"`
	// Attempts counts the upstreams that the request was sent to.
	Attempts int `json:"attempts"`
	// Status is the HTTP status that the caller got.
	Status int `json:"status"`
	// Started is the instant the request reached the entry.
	Started clock.Millis `json:"started"`
	// Took is the span from Started to the end of the answer.
	Took clock.Millis `json:"took"`
	// Waited is the span from Started until the last try was sent or given up: the
	// search for an upstream with room, and earlier tries.
	Waited clock.Millis `json:"waited,omitempty"`
	// NoRetry says why a request that failed was not sent again.
	NoRetry string `json:"noretry,omitempty"`
	// Forced means that the upstream was set aside and served under the floor.
	Forced bool `json:"forced,omitempty"`
}

// EventKind says what happened to an upstream, a path, the table or the
// platform.
type EventKind string

// The kinds of events.
const (
	// Ejected is noted by the gate that set its upstream aside as sick.
	Ejected EventKind = "set-aside"
	// Trial is noted by the gate when a hold-off ends in trial requests.
	Trial EventKind = "trial"
	// Ramp is noted by the gate when slow start begins.
	Ramp EventKind = "ramp"
	// Restored is noted by the gate when the upstream is in full use again.
	Restored EventKind = "back"
	// ForcedUnderFloor is noted by an entry that goes on using an upstream that
	// is set aside, since the service's floor leaves it no choice.
	ForcedUnderFloor EventKind = "kept-under-floor"
	// PathLost is noted by an entry that can't reach the peer Node.
	PathLost EventKind = "path-lost"
	// PathRestored is noted by an entry that reaches the peer Node again.
	PathRestored EventKind = "path-back"
	// Crashed is noted by the gate whose backend server's process ended under its runs.
	Crashed EventKind = "crashed"
	// Quarantined is noted by each node that holds back a request, which crashes the
	// backend servers that run it.
	Quarantined EventKind = "quarantined"
	// Released is noted by each node when it is held back no longer.
	Released EventKind = "freed"
	// Leaving is noted by the gate whose upstream gets no new work any more.
	Leaving EventKind = "leaving"
	// TableAccepted is noted when a table comes into force.
	TableAccepted EventKind = "table-accepted"
	// TableRejected is noted when a table fails its check.
	TableRejected EventKind = "table-rejected"
	// TableOlder is noted when the platform offers a table below the fence.
	TableOlder EventKind = "table-older"
	// PlatformLost is noted when the platform stops answering.
	PlatformLost EventKind = "platform-lost"
	// PlatformRestored is noted when the platform answers again.
	PlatformRestored EventKind = "platform-back"
)

// Event is one decision or finding that a manager may ask about.
type Event struct {
	At       clock.Millis `json:"at"`
	Kind     EventKind    `json:"kind"`
	Service  string       `json:"service,omitempty"`
	Upstream string       `json:"upstream,omitempty"`
	// Node is the link address of the node that the event is about: the
	// upstream's own, or the peer at the other end of a path.
	Node   string `json:"node,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Until is the instant a hold-off ends; 0 if it has no set end.
	Until    clock.Millis `json:"until,omitempty"`
	Evidence Evidence     `json:"evidence,omitzero"`
}

// Evidence is what a gate had seen of its upstream when it decided.
type Evidence struct {
	Outcomes int `json:"outcomes"`
	Failed   int `json:"failed"`
	Slow     int `json:"slow"`
	// Overdue counts requests that had not ended in their time.
	Overdue int `json:"overdue"`
	// Score is the sequential test's; it set the upstream aside at Threshold.
	Score     float64 `json:"score"`
	Threshold float64 `json:"threshold"`
	// BaselineFailed is the service's usual share of failures, from 0 to 1.
	BaselineFailed float64 `json:"failing"`
	// BaselineLatency is the service's usual time.
	BaselineLatency clock.Millis `json:"usual"`
}

// UpstreamState is how one node sees one upstream now.
type UpstreamState struct {
	Service  string `json:"service"`
	Name     string `json:"name"`
	Domain   string `json:"domain"`
	Node     string `json:"node"`
	State    string `json:"state"`
	Reason   string `json:"reason,omitempty"`
	Weight   int    `json:"weight"`
	Slots    int    `json:"slots"`
	InFlight int    `json:"busy"`
	// Severity orders upstreams that are set aside, the worst highest.
	Severity float64 `json:"severity"`
}

// The states of an upstream.
const (
	StateInUse       = "in-use"
	StateEjected     = "set-aside"
	StateTrial       = "trial"
	StateRamp        = "ramp"
	StateForced      = "kept-under-floor"
	StateUnreachable = "unreachable"
	StateLeaving     = "leaving"
	StateOff         = "off"
	StateOverLimit   = "over-limit"
	StateUnknown     = "unknown"
)
