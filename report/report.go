// Package report merges the accounts of nodes into one report that a manager
// can read: who got what, what was refused and why, which upstreams were set
// aside on what evidence, and how fast objectives burn.
//
// Each node counts time by its own clock, so instants are turned into ages as
// of the moment the node answered; the reporter's wall time stands only as the
// report's date.
package report

import (
	"time"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
)

// Format is the version of the report's JSON.
const Format = 1

// Report is the merged account of the nodes asked.
type Report struct {
	Format int `json:"format"`
	// AsOf is the reporter's wall time.
	AsOf   time.Time     `json:"asof"`
	Filter access.Filter `json:"filter"`
	// Partial means that a node did not answer, so that every total may be
	// too small.
	Partial bool `json:"partial"`
	// TableNodes is how many nodes the upstreams' table names, so that a reader
	// sees whether all of them were asked.
	TableNodes int        `json:"named"`
	Findings   []Finding  `json:"findings"`
	Nodes      []Node     `json:"nodes"`
	Requests   Requests   `json:"requests"`
	Upstreams  []Upstream `json:"upstreams"`
	// Totals says who got what, the largest first.
	Totals []access.Total `json:"totals"`
	// Callers says how exact each caller's totals are.
	Callers   []Caller   `json:"callers"`
	Services  []Service  `json:"services"`
	Refusals  []Refusal  `json:"refusals"`
	Ejections []Ejection `json:"asides"`
	Paths     []Path     `json:"paths"`
	// Events is the newest first; those that Asides and Paths tell of are in
	// it too.
	Events []Event `json:"events"`
	// Unserved holds single requests that were not served, the newest first.
	Unserved []Record `json:"unserved"`
	Burn     []Burn   `json:"burn"`
}

// Level says how much a finding matters.
type Level string

// The levels, the most pressing first.
const (
	LevelBad   Level = "bad"
	LevelWatch Level = "watch"
	LevelNote  Level = "note"
)

// Finding is one sentence for a person who doesn't program.
type Finding struct {
	Level Level  `json:"level"`
	Text  string `json:"text"`
}

// Node is what a node that was asked answered.
type Node struct {
	// Address is the admin address that was asked.
	Address string `json:"address"`
	// Fault says why there is no answer; it is empty if there is one.
	Fault string `json:"fault"`
	// Duplicate means that the node Name answered at another address too and
	// was counted there.
	Duplicate bool   `json:"duplicate"`
	Name      string `json:"name"`
	Node      string `json:"node"`
	Domain    string `json:"domain"`
	Table     uint64 `json:"table"`
	// Uptime is the span since the node started, Span how far its totals reach.
	Uptime  clock.Millis   `json:"life"`
	Span    clock.Millis   `json:"span"`
	Open    uint64         `json:"open"`
	Dropped access.Dropped `json:"dropped"`
}

// Requests counts requests. Received, Closed and Open are of the nodes' whole
// lives and unfiltered; the others are the sums of Totals.
type Requests struct {
	Received uint64 `json:"received"`
	Closed   uint64 `json:"closed"`
	Open     uint64 `json:"open"`
	Outcomes
}

// Outcomes counts accounts by outcome.
type Outcomes struct {
	Served uint64 `json:"served"`
	// Errors is how many of those served got an upstream's 5xx.
	Errors  uint64 `json:"errors"`
	NotRun  uint64 `json:"notrun"`
	Unknown uint64 `json:"unknown"`
}

// Sum returns the number of accounts.
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

// Upstream is an upstream's state, as its own gate has it or, if that didn't
// answer, as the entries that did have it.
type Upstream struct {
	access.UpstreamState
	Outcomes

	// Mean is the mean span of the requests it served.
	Mean clock.Millis `json:"mean"`
	// FromGate means that the state is from the upstream's own gate.
	FromGate bool `json:"gate"`
	// UnreachableFrom names the nodes that can't reach the upstream's node, of Views
	// that answered.
	UnreachableFrom []string `json:"lost"`
	// ForcedBy names the nodes that use it although it is set aside, since the
	// service's floor leaves them no choice.
	ForcedBy       []string `json:"kept"`
	NodesReporting int      `json:"views"`
}

// Caller counts a caller's requests.
type Caller struct {
	Name string `json:"name"`
	Outcomes

	// Missed is how many more of its requests at most stand under
	// access.Others.
	Missed uint64 `json:"missed"`
	// Upstreams is how many upstreams had its requests.
	Upstreams int `json:"upstreams"`
	// Mean is the mean span of the requests that were served.
	Mean clock.Millis `json:"mean"`
}

// Service counts a service's requests.
type Service struct {
	Name string `json:"name"`
	Outcomes
}

// Refusal counts the requests that were not served for one reason.
type Refusal struct {
	Service string         `json:"service"`
	Outcome access.Outcome `json:"outcome"`
	Reason  string         `json:"reason"`
	// Meaning says the reason in words.
	Meaning string `json:"meaning"`
	Count   uint64 `json:"count"`
	// CallerFault means that the caller is to answer for it, so that it burns none
	// of the service's budget.
	CallerFault bool `json:"fault"`
}

// Ejection is one time that an upstream was set aside.
type Ejection struct {
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	// By is the node whose gate set it aside.
	By string `json:"by"`
	// Age is how long ago that was.
	Age clock.Millis `json:"age"`
	// State is set-aside, trial, ramp, relapsed or back.
	State string `json:"state"`
	// Duration is how long it had no work, trials not counted.
	Duration clock.Millis `json:"out"`
	// Trial, Ramp and Back are ages; each is -1 if it did not come to that. Of
	// a relapsed one, Back is when it was set aside again.
	Trial clock.Millis `json:"trial"`
	Ramp  clock.Millis `json:"ramp"`
	Back  clock.Millis `json:"back"`
	// Remaining is how long the hold-off still lasts; 0 if it has no set end.
	Remaining clock.Millis    `json:"left"`
	Reason    string          `json:"reason"`
	Evidence  access.Evidence `json:"evidence"`
	// ForcedBy names the nodes that went on using it under the service's floor.
	ForcedBy []string `json:"kept"`
}

// Path is one time that a node could not reach another.
type Path struct {
	From   string       `json:"from"`
	To     string       `json:"to"`
	Age    clock.Millis `json:"age"`
	Reason string       `json:"reason"`
	// Back is the age of its end, -1 while it lasts.
	Back clock.Millis `json:"back"`
}

// Event is an event as the node By noted it.
type Event struct {
	By       string           `json:"by"`
	Age      clock.Millis     `json:"age"`
	Kind     access.EventKind `json:"kind"`
	Service  string           `json:"service"`
	Upstream string           `json:"upstream"`
	Node     string           `json:"node"`
	Reason   string           `json:"reason"`
	// Remaining is how long a hold-off still lasts; 0 if it has no set end or is
	// over.
	Remaining clock.Millis    `json:"left"`
	Evidence  access.Evidence `json:"evidence"`
}

// Record is what became of one request, with its age since it ended and the
// name of its entry.
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

// Burn is the burn of one service's objective.
type Burn struct {
	Service   string           `json:"service"`
	Objective access.Objective `json:"objective"`
	burn.Evaluation
}
