// Package health detects failures of one backend server from the outcomes of the
// requests that are sent to it. It decides when the server is ejected and how it returns
// to use.
//
// A Detector is a plain value for one goroutine: it reads no clock, does no I/O and takes
// its jitter from a seeded generator, so that the same calls give the same verdict on
// every run.
package health

import (
	"strconv"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

// Result classifies the end of one request at the backend server.
type Result uint8

// The results. Only Good, Failed and Overdue are evidence of the backend server's health.
const (
	// Good is a complete answer. It may be slow: the detector compares its latency with
	// the baseline.
	Good Result = iota
	// Failed is a refused connection, a malformed or truncated answer, or a 5xx response
	// of the backend server.
	Failed
	// Overdue is a request without an answer at the age of OverdueAfter. It is observed
	// at that moment, and its later end isn't observed.
	Overdue
	// Shed is a request that the backend server refused because of load.
	Shed
	// Cancelled is a request that its caller cancelled.
	Cancelled
	// CallerFault is an answer that reports a fault of the request (4xx).
	CallerFault
	// ShortDeadline is a request whose deadline was too short to be met.
	ShortDeadline
)

// String returns the name of the result for logs.
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
	// StillOverdue marks a request that was observed as Overdue before and still has no
	// answer after the same time again. Such observations are optional: they detect a
	// hang that occupies every slot, so that no other request can show it. They count
	// only if no other request has ended in between.
	StillOverdue bool
	// IsTruncated marks a failure without a complete answer: the connection broke, which
	// may have causes other than the upstream.
	IsTruncated bool
	// Caller identifies the caller, so that the contribution of each caller can be
	// bounded. An empty name counts as a caller, too.
	Caller string
}

// Baseline holds the typical figures of a service, over all its upstreams, or the local
// figures of one upstream.
type Baseline struct {
	// Known is false while there is too little data.
	Known bool
	// Failed is the typical share of failures, from 0 to 1.
	Failed float64
	// Latency is the typical median latency.
	Latency clock.Millis
	// Tail is the latency that one good answer in ten typically exceeds. If it is 0, it
	// is unknown and the detector uses a multiple of Latency.
	Tail clock.Millis
	// Age is the time since an entry received the figures from the gate; in a median, it
	// is the median age. An entry that always reports 0 makes verdicts faster, and makes
	// a fault common to the service harder to distinguish from that of one upstream.
	Age clock.Millis
}

// Config configures a Detector.
type Config struct {
	// Caution is the service's setting; an unknown value means Balanced.
	Caution table.Caution
	// Seed seeds the generator of the hold-off jitter.
	Seed uint64
}

// State says which requests an upstream may be sent.
type State uint8

// The states. An ejected upstream returns through them in the order Ejected, Trial, Ramp,
// InUse.
const (
	// InUse upstreams get their full share of load.
	InUse State = iota
	// Ejected upstreams get no requests until their hold-off is over.
	Ejected
	// Trial upstreams get a bounded number of repeatable requests.
	Trial
	// Ramp upstreams get a growing share of load.
	Ramp
)

// String returns the name of the state that logs and the report use.
func (s State) String() string {
	names := [...]string{"in use", "aside", "trial", "ramp"}
	if int(s) < len(names) {
		return names[s]
	}
	return "state " + strconv.Itoa(int(s))
}

// MarshalText returns the same text as String.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Evidence explains why an upstream was ejected, as of the ejection.
type Evidence struct {
	// Since is when the score last rose above zero, At the time of the ejection.
	Since, At clock.Millis
	// Outcomes counts the outcomes from Since to At that are evidence. Failed, Slow and
	// Overdue count the bad ones among them.
	Outcomes, Failed, Slow, Overdue int
	// Score is the log-likelihood ratio that was reached, Threshold the one required for
	// an ejection.
	Score, Threshold float64
	// Baseline is the baseline that the outcomes were compared with.
	Baseline Baseline
	// Reason is a sentence for the report.
	Reason string
}

// Status is the verdict on an upstream at one instant.
type Status struct {
	State State
	// Severity orders upstreams from healthy (0) to worst (1).
	Severity float64
	// Share is the fraction of its normal load that the upstream should get, from 0 to 1.
	Share float64
	// Until is when the state ends by itself; 0 means that it doesn't.
	Until clock.Millis
	// Relapses is the number of earlier ejections that still lengthen the hold-off.
	Relapses int
	// Evidence is that of the last ejection.
	Evidence Evidence
}
