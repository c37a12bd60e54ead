// Package report merges the access log snapshots of nodes into one report that a reader
// without knowledge of the program understands: how each caller's requests ended, which
// requests were refused and why, which upstreams were ejected on what evidence, and how fast
// services spend their error budgets.
//
// Each node measures time by its own clock, so the report converts instants into ages as of
// the moment when the node answered. The wall time of the reporting machine is used only as
// the report's date.
package report

import (
	"time"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
)

// Format is the version of the report's JSON format.
const Format = 1

// Report is the merged report on the nodes that were queried.
type Report struct {
	Format int `json:"format"`
	// AsOf is the wall time of the machine that made the report.
	AsOf   time.Time     `json:"asof"`
	Filter access.Filter `json:"filter"`
	// Partial means that a node did not answer, so that every total may be too small.
	Partial bool `json:"partial"`
	// TableNodes is the number of nodes that the upstreams in the nodes' tables belong to,
	// so that a reader sees whether all of them were queried.
	TableNodes int        `json:"named"`
	Findings   []Finding  `json:"findings"`
	Nodes      []Node     `json:"nodes"`
	Requests   Requests   `json:"requests"`
	Upstreams  []Upstream `json:"upstreams"`
	// Totals counts the finished requests by caller, service, upstream, outcome and reason,
	// the largest first.
	Totals []access.Total `json:"totals"`
	// Callers counts the requests of each caller, and how many the totals may miss.
	Callers  []Caller  `json:"callers"`
	Services []Service `json:"services"`
	// Shares are the accounts that use most of each service in which requests wait for the
	// whole service.
	Shares    []access.AccountShare `json:"shares,omitempty"`
	Refusals  []Refusal             `json:"refusals"`
	Ejections []Ejection            `json:"asides"`
	Paths     []Path                `json:"paths"`
	// Events is sorted newest first. It includes the events that Ejections and Paths are
	// made from.
	Events []Event `json:"events"`
	// Unserved holds records of requests that were not served, the newest first.
	Unserved []Record `json:"unserved"`
	Burn     []Burn   `json:"burn"`
	// Retries is the use of the services' retry budgets, summed over nodes.
	Retries []access.ServiceRetries `json:"retries"`
}

// Level is the severity of a finding.
type Level string

// The levels, the most severe first.
const (
	LevelBad   Level = "bad"
	LevelWatch Level = "watch"
	LevelNote  Level = "note"
)

// Finding is a statement on the report in a sentence or two, for a reader who doesn't
// program.
type Finding struct {
	Level Level  `json:"level"`
	Text  string `json:"text"`
}

// Node describes a queried node and its answer.
type Node struct {
	// Address is the admin address that was queried.
	Address string `json:"address"`
	// Fault describes why there is no answer; it is empty if there is one.
	Fault string `json:"fault"`
	// Duplicate means that the node Name also answered at another address and is counted
	// there.
	Duplicate bool   `json:"duplicate"`
	Name      string `json:"name"`
	// Node is the node's link address.
	Node   string `json:"node"`
	Domain string `json:"domain"`
	// Table is the version of the table in force, 0 if there is none.
	Table uint64 `json:"table"`
	// Uptime is the time since the node started, Span the time back to which its totals
	// reach.
	Uptime  clock.Millis   `json:"life"`
	Span    clock.Millis   `json:"span"`
	Open    uint64         `json:"open"`
	Dropped access.Dropped `json:"dropped"`
}

// Requests counts requests. Received, Closed and Open count all requests since the nodes
// started, without the filter; the outcomes are the sums of Totals.
type Requests struct {
	Received uint64 `json:"received"`
	Closed   uint64 `json:"closed"`
	Open     uint64 `json:"open"`
	Outcomes
}

// Outcomes counts finished requests by outcome.
type Outcomes struct {
	Served uint64 `json:"served"`
	// Errors counts the served requests that got a 5xx status from an upstream.
	Errors  uint64 `json:"errors"`
	NotRun  uint64 `json:"notrun"`
	Unknown uint64 `json:"unknown"`
}

// Sum returns the number of finished requests.
func (o *Outcomes) Sum() uint64 {
	return o.Served + o.NotRun + o.Unknown
}

func (o *Outcomes) add(t *access.Total) {
	switch t.Outcome {
	case access.Served:
		o.Served += t.Count
		if t.Reason == access.ReasonUpstreamError {
			o.Errors += t.Count
		}
	case access.NotRun:
		o.NotRun += t.Count
	default:
		o.Unknown += t.Count
	}
}

// Upstream is an upstream's state as its own gate reports it or, if that gate's node didn't
// answer, as the entries report it.
type Upstream struct {
	access.UpstreamState
	Outcomes

	// Mean is the mean duration of the requests that it served.
	Mean clock.Millis `json:"mean"`
	// FromGate means that the state comes from the upstream's own gate.
	FromGate bool `json:"gate"`
	// UnreachableFrom names the nodes that can't reach the upstream's node, out of
	// NodesReporting.
	UnreachableFrom []string `json:"lost"`
	// ForcedBy names the nodes that use the upstream although it is ejected, since the
	// service's floor requires it.
	ForcedBy []string `json:"kept"`
	// NodesReporting is the number of nodes that sent a state of the upstream.
	NodesReporting int `json:"views"`
}

// Caller counts a caller's requests.
type Caller struct {
	Name string `json:"name"`
	Outcomes

	// Missed is the maximum number of the caller's requests that may be counted under
	// access.Others, in addition to its outcomes.
	Missed uint64 `json:"missed"`
	// Upstreams is the number of upstreams that got its requests.
	Upstreams int `json:"upstreams"`
	// Mean is the mean duration of the requests that were served.
	Mean clock.Millis `json:"mean"`
}

// Service counts a service's requests.
type Service struct {
	Name string `json:"name"`
	Outcomes
}

// Refusal counts the requests of a service that were not served for one reason.
type Refusal struct {
	Service string         `json:"service"`
	Outcome access.Outcome `json:"outcome"`
	Reason  string         `json:"reason"`
	// Meaning describes the reason in words.
	Meaning string `json:"meaning"`
	Count   uint64 `json:"count"`
	// CallerFault means that the caller is at fault, so that the requests don't spend the
	// service's error budget.
	CallerFault bool `json:"fault"`
}

// Ejection is one period for which a gate ejected its upstream.
type Ejection struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	// By is the node whose gate ejected the upstream.
	By string `json:"by"`
	// Age is the time since the ejection began.
	Age clock.Millis `json:"age"`
	// State is one of "set-aside", "trial", "ramp", "relapsed" and "back".
	State string `json:"state"`
	// Duration is how long the upstream got no requests other than trials.
	Duration clock.Millis `json:"out"`
	// Trial, Ramp and Back are the times since the upstream entered these phases, -1 for a
	// phase that it did not reach. If the upstream was ejected again, Back is the time since
	// then.
	Trial clock.Millis `json:"trial"`
	Ramp  clock.Millis `json:"ramp"`
	Back  clock.Millis `json:"back"`
	// Remaining is the time until the first trial; 0 if none is scheduled or trials have begun.
	Remaining clock.Millis    `json:"left"`
	Reason    string          `json:"reason"`
	Evidence  access.Evidence `json:"evidence"`
	// ForcedBy names the nodes that kept using the upstream under the service's floor.
	ForcedBy []string `json:"kept"`
}

// Path is one period for which a node could not reach another.
type Path struct {
	From string `json:"from"`
	To   string `json:"to"`
	// Age is the time since the path was lost.
	Age    clock.Millis `json:"age"`
	Reason string       `json:"reason"`
	// Back is the time since the path was restored, -1 while it is lost.
	Back clock.Millis `json:"back"`
}

// Event is an event that the node By recorded.
type Event struct {
	By       string           `json:"by"`
	Age      clock.Millis     `json:"age"`
	Kind     access.EventKind `json:"kind"`
	Service  string           `json:"service"`
	Upstream string           `json:"upstream"`
	Node     string           `json:"node"`
	Reason   string           `json:"reason"`
	// Remaining is the time until an ejected upstream is tried again; 0 if no trial is
	// scheduled or its time has passed.
	Remaining clock.Millis    `json:"left"`
	Evidence  access.Evidence `json:"evidence"`
}

// Record describes how one request ended. Age is the time since its end, Entry the name of
// the node that received it.
type Record struct {
	Entry    string         `json:"entry"`
	Age      clock.Millis   `json:"age"`
	ID       string         `json:"id"`
	Caller   string         `json:"caller"`
	Service  string         `json:"service"`
	Route    string         `json:"route"`
	Domain   string         `json:"domain"`
	Method   string         `json:"method"`
	Outcome  access.Outcome `json:"outcome"`
	Reason   string         `json:"reason"`
	Upstream string         `json:"upstream"`
	Attempts int            `json:"attempts"`
	Status   int            `json:"status"`
	Took     clock.Millis   `json:"took"`
	Forced   bool           `json:"forced"`
}

// Burn holds the error budgets and burn rates of one service's objective.
type Burn struct {
	Service   string           `json:"service"`
	Objective access.Objective `json:"objective"`
	burn.Evaluation
}
