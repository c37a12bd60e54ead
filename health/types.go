// Package health judges one backend server by the outcomes of the requests
// that were sent to it, and says when it is set aside and how it returns.
//
// A Judge is a plain value for one goroutine: it reads no clock, does no I/O
// and draws its jitter from a seed, so that the same calls give the same
// verdict on every run.
package health

import (
	"strconv"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

// Result classifies the end of one request at the backend server.
type Result uint8

// The results. Only Good, Failed and Overdue are evidence; the others say
// nothing about the backend server's health.
const (
	// Good is a whole answer. It may be slow: the judge compares its latency
	// with the baseline.
	Good Result = iota
	// Failed is a broken, refused or torn answer, or a 5xx of its own.
	Failed
	// Overdue is a request without an answer at the age of OverdueAfter. It
	// is observed at that moment, and its later end isn't observed again.
	Overdue
	// Shed is a refusal for load.
	Shed
	// Cancelled is a request that its caller gave up.
	Cancelled
	// CallerFault is an answer that blames the request (4xx).
	CallerFault
	// ShortDeadline is a request whose deadline was too short to be met.
	ShortDeadline
)

// String names the result for logs.
func (r Result) String() string {
	names := [...]string{"good", "failed", "overdue", "shed", "cancelled", "caller fault", "short deadline"}
	if int(r) < len(names) {
		return names[r]
	}
	return "result " + strconv.Itoa(int(r))
}

// Observation is the outcome of one request.
type Observation struct {
	Result Result
	// Latency is the time from dispatch to the outcome.
	Latency clock.Millis
	// StillOverdue marks a request that was observed as Overdue before and still
	// has no answer after as long again. Such reports are optional: they
	// find a hang that holds every slot, so that no other request can tell.
	// They count only while nothing else has ended in between.
	StillOverdue bool
	// IsTruncated marks a failure without a whole answer: the connection broke, which has
	// causes beside the upstream's, too.
	IsTruncated bool
	// Caller bounds what one caller can contribute. Empty is a caller too.
	Caller string
}

// Baseline is what is usual for a service, over all its upstreams.
type Baseline struct {
	// Known is false while too few upstreams have told their own.
	Known bool
	// Failed is the usual share of failures, from 0 to 1.
	Failed float64
	// Latency is the usual median latency.
	Latency clock.Millis
	// Tail is the latency that one good answer in ten usually exceeds. 0
	// means that it wasn't told; then the judge takes a multiple of Latency.
	Tail clock.Millis
	// Age is how long ago an entry heard it from the gate, and of a median
	// the median age. An entry that always tells 0 makes the verdict quicker
	// and a fault common to the service harder to tell from one upstream's.
	Age clock.Millis
}

// Config configures a Judge.
type Config struct {
	// Caution is the service's setting; an unknown value means Balanced.
	Caution table.Caution
	// Seed starts the judge's source of jitter.
	Seed uint64
}

// State is what an upstream may be given.
type State uint8

// The states, in the order in which a set aside upstream returns.
const (
	// InUse takes its full share of work.
	InUse State = iota
	// Ejected takes no work until its hold-off is over.
	Ejected
	// Trial takes a bounded number of repeatable requests.
	Trial
	// Ramp takes a growing share of work.
	Ramp
)

// String names the state as logs and the report do.
func (s State) String() string {
	names := [...]string{"in use", "aside", "trial", "ramp"}
	if int(s) < len(names) {
		return names[s]
	}
	return "state " + strconv.Itoa(int(s))
}

// MarshalText writes the state as String does.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Evidence is why an upstream was set aside, as of the verdict.
type Evidence struct {
	// Since is when the score last left zero, At when the verdict fell.
	Since, At clock.Millis
	// Outcomes counts the evidence from Since to At; Failed, Slow and
	// Overdue count the bad outcomes among them.
	Outcomes, Failed, Slow, Overdue int
	// Score is the log-likelihood ratio reached, Threshold the one needed.
	Score, Threshold float64
	// Baseline is the one that was judged against.
	Baseline Baseline
	// Reason is a sentence for the report.
	Reason string
}

// Status is the verdict at an instant.
type Status struct {
	State State
	// Severity orders upstreams from healthy (0) to worst (1).
	Severity float64
	// Share is the part of its normal load to give it, from 0 to 1.
	Share float64
	// Until is when the state ends by itself; 0 means that it doesn't.
	Until clock.Millis
	// Relapses counts earlier set asides not yet forgiven.
	Relapses int
	// Evidence is that of the last set aside.
	Evidence Evidence
}
