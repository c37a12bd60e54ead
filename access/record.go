// Package access keeps a node's access log in bounded memory: one record for each request
// that reached the entry, totals by caller, service, upstream and outcome, events of
// upstreams, paths, the table and the platform, and the counts from which the burn rates of
// error budgets are computed.
//
// Times are milliseconds of the node's own monotonic clock and can't be compared between
// nodes. A Snapshot carries Now, so that a reader can convert times to ages. The log is not
// persistent: a node that is replaced starts with an empty Log. A Snapshot states how far
// back it reaches and how much was dropped.
package access

import "fuchsiapick.example/fuchsiapick/clock"

// Outcome is the outcome of a request that is reported to its caller.
type Outcome string

// The outcomes, as in the Fuchsiapick-Outcome header.
const (
	// Served means that the caller got the complete response of an upstream.
	Served Outcome = "served"
	// NotRun means that no upstream began to run the request.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have run the request.
	Unknown Outcome = "unknown"
)

// Record is the single record of one request. Log keeps its strings, so they must not share
// memory with a buffer that is reused.
type Record struct {
	// ID is the request id, which is also in the log lines of entry and gate.
	ID      string `json:"id"`
	Caller  string `json:"caller"`
	Service string `json:"service"`
	Route   string `json:"route"`
	// Domain is the failure domain of Upstream.
	Domain  string  `json:"domain"`
	Method  string  `json:"method"`
	Outcome Outcome `json:"outcome"`
	// Reason is the reason why a request was not served, failed or was slow.
	Reason string `json:"reason,omitempty"`
	// Upstream is the upstream that served the request or to which it was sent last; empty
	// if it was sent to none.
	Upstream string `json:"upstream,omitempty"`
	// Attempts is the number of upstreams to which the request was sent.
	Attempts int `json:"attempts"`
	// Status is the HTTP status of the response to the caller.
	Status int `json:"status"`
	// Started is the time the request reached the entry.
	Started clock.Millis `json:"started"`
	// Took is the time from Started to the end of the response.
	Took clock.Millis `json:"took"`
	// Waited is the time from Started until the last attempt was sent or abandoned. It
	// includes the search for an upstream with a free slot, and earlier attempts.
	Waited clock.Millis `json:"waited,omitempty"`
	// NoRetry is the reason why a failed request was not retried.
	NoRetry string `json:"noretry,omitempty"`
	// Forced means that the upstream was ejected, but in use because of the service's floor.
	Forced bool `json:"forced,omitempty"`
	// CrossBytes is the size of the bodies of the request and its responses that crossed between
	// failure domains, in bytes. It counts in the metrics only.
	CrossBytes int `json:"-"`
}

// EventKind is the kind of an event of an upstream, a path, the table or the platform.
type EventKind string

// The kinds of events.
const (
	// Ejected is recorded by the gate that ejects its upstream as unhealthy.
	Ejected EventKind = "set-aside"
	// Trial is recorded by the gate when a hold-off, the time without requests that follows
	// an ejection, ends and trial requests begin.
	Trial EventKind = "trial"
	// Ramp is recorded by the gate when slow start begins.
	Ramp EventKind = "ramp"
	// Restored is recorded by the gate when the upstream is in full use again.
	Restored EventKind = "back"
	// ForcedUnderFloor is recorded by an entry that continues to use an ejected upstream,
	// since the service's floor requires it.
	ForcedUnderFloor EventKind = "kept-under-floor"
	// PathLost is recorded by an entry that can't reach the peer Node.
	PathLost EventKind = "path-lost"
	// PathRestored is recorded by an entry that reaches the peer Node again.
	PathRestored EventKind = "path-back"
	// Crashed is recorded by the gate whose backend server's process ended while it ran
	// requests.
	Crashed EventKind = "crashed"
	// Quarantined is recorded by each node that quarantines a request, which crashes the
	// backend servers that run it.
	Quarantined EventKind = "quarantined"
	// Released is recorded by each node when the quarantine of a request ends.
	Released EventKind = "freed"
	// Leaving is recorded by the gate when its upstream gets no new requests any more.
	Leaving EventKind = "leaving"
	// TableAccepted is recorded when a table is put in force.
	TableAccepted EventKind = "table-accepted"
	// TableRejected is recorded when a table fails validation.
	TableRejected EventKind = "table-rejected"
	// TableOlder is recorded when the platform publishes a table whose version is too old
	// for the version guard.
	TableOlder EventKind = "table-older"
	// PlatformLost is recorded when the platform stops answering.
	PlatformLost EventKind = "platform-lost"
	// PlatformRestored is recorded when the platform answers again.
	PlatformRestored EventKind = "platform-back"
)

// Event is one decision or finding of a node.
type Event struct {
	At       clock.Millis `json:"at"`
	Kind     EventKind    `json:"kind"`
	Service  string       `json:"service,omitempty"`
	Upstream string       `json:"upstream,omitempty"`
	// Node is the link address of the node that the event is about: the
	// upstream's own, or the peer at the other end of a path.
	Node   string `json:"node,omitempty"`
	Reason string `json:"reason,omitempty"`
	// Until is the time a hold-off ends; 0 if it has no fixed end.
	Until    clock.Millis `json:"until,omitempty"`
	Evidence Evidence     `json:"evidence,omitzero"`
}

// Evidence holds the figures on which a gate based a decision about its upstream.
type Evidence struct {
	Outcomes int `json:"outcomes"`
	Failed   int `json:"failed"`
	Slow     int `json:"slow"`
	// Overdue is the number of requests that had not ended in time.
	Overdue int `json:"overdue"`
	// Score is the score of the sequential test, which ejects the upstream at Threshold.
	Score     float64 `json:"score"`
	Threshold float64 `json:"threshold"`
	// BaselineFailed is the service's typical ratio of failures, from 0 to 1.
	BaselineFailed float64 `json:"failing"`
	// BaselineLatency is the service's typical latency.
	BaselineLatency clock.Millis `json:"usual"`
}

// UpstreamState is the current state of an upstream as one node sees it.
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
	// Severity orders ejected upstreams; the worst has the highest value.
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
