package wire

import (
	"strconv"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
)

// RequestName is the name by which logs and backend servers know a request: the one
// that its caller gave it, else its id.
func RequestName(label string, id RequestID) string {
	if label != "" {
		return label
	}
	return id.String()
}

// RequestID names one request of a caller in the whole fleet.
type RequestID struct {
	_ struct{} `cbor:",toarray"`
	// Entry is the incarnation of the entry that received the request.
	Entry uint64
	// Seq counts the requests of that incarnation.
	Seq uint64
}

// Key is the key by which gates and paths know one of the request's attempts.
func (id RequestID) Key(attempt uint8) lease.Key {
	return lease.Key{Entry: id.Entry, Seq: id.Seq, Attempt: attempt}
}

// String writes the id as logs, headers and reports show it.
func (id RequestID) String() string {
	buf := make([]byte, 0, 33)
	buf = strconv.AppendUint(buf, id.Entry, 16)
	buf = append(buf, '-')
	buf = strconv.AppendUint(buf, id.Seq, 16)
	return string(buf)
}

// Baseline is what is usual for a service: the median over its gates.
type Baseline struct {
	_           struct{} `cbor:",toarray"`
	Known       bool
	FailureRate float64
	// Latency is the median time of an answer.
	Latency clock.Millis
	// Tail is the time that one answer in ten exceeds.
	Tail clock.Millis
	// Age is how old the figures are.
	Age clock.Millis
}

// Upstream is what a gate says of its upstream on every reply and heartbeat.
type Upstream struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	State    uint8
	Severity float64
	// Share is the part of normal load to give it, from 0 to 1.
	Share    float64
	InFlight int
	Waiting  int
	// Until is how much longer the state holds at least.
	Until   clock.Millis
	Leaving bool
	// Down says that nothing listens at the backend server's address.
	Down  bool
	Local Baseline
}

// Challenge is the first frame on a link, from the node that accepted it.
type Challenge struct {
	_           struct{} `cbor:",toarray"`
	Format      int
	Node        string
	Incarnation uint64
	Nonce       []byte
}

// Proof answers a challenge: the dialling node holds the shared secret.
type Proof struct {
	_     struct{} `cbor:",toarray"`
	Node  string
	Entry uint64
	Nonce []byte
	MAC   []byte
}

// Welcome ends the handshake: the accepting node holds the secret too and is
// the node that was dialled.
type Welcome struct {
	_   struct{} `cbor:",toarray"`
	MAC []byte
	// Time is the gate's clock, from which leases are made.
	Time clock.Millis
}

// Dispatch asks a gate to run a request at its upstream.
type Dispatch struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
	// CallerRequestID is the id that the caller gave the request, empty without one.
	CallerRequestID string
	// Incarnation is the gate's, as the entry knows it.
	Incarnation uint64
	// Lease is the latest instant of the gate's clock at which the gate may
	// still begin the request.
	Lease clock.Millis
	// Budget is what is left of the request's deadline.
	Budget   clock.Millis
	Upstream string
	Caller   string
	// Account is the client account whose key the request came with, empty without one.
	Account    string
	Method     string
	URI        string
	Headers    Headers
	Body       []byte
	Repeatable bool
	// Retry says that an upstream has got the request before, or may have.
	Retry bool
	// AnyHost says that the request's route is one for all hosts.
	AnyHost bool
	// Verdict is what the entry knows of the request, a quarantine.Verdict.
	Verdict uint8
	// Priority ranks it among those that wait for a slot, 0 first.
	Priority int
	// MedianTime and Spread are the median time of the route's runs and the standard
	// deviation of its logarithm; 0 where the entry doesn't know.
	MedianTime clock.Millis
	LogStdDev  float64
	// Hanging is how the service's upstreams fail, a grade.Hanging.
	Hanging uint8
	// NoQueue asks for a free slot: the dispatch doesn't wait for one.
	NoQueue bool
	// Forced asks the gate to serve in spite of its verdict, for the floor.
	Forced   bool
	Baseline Baseline
	// Key is the caller's idempotency key, empty without one.
	Key string
	// Digest tells the keyed request from others.
	Digest []byte
	// Resend is the number that the caller gave a marked resend; 0 without.
	Resend uint32
	// LeaseSpan is the time from the entry's receipt of the request to the end of
	// the lease.
	LeaseSpan clock.Millis
}

// Outcome says what became of a dispatch at its gate.
type Outcome uint8

// The outcomes of a dispatch. Their numbers are part of the format.
const (
	// NotRun is definite: the upstream never saw the request and never will.
	NotRun Outcome = iota + 1
	// Answered means that the upstream gave a whole answer.
	Answered
	// Broken means that the upstream got the request and gave no whole answer.
	Broken
)

// Reason says why a gate did not run a request or got no answer.
type Reason string

// The reasons. They stand in headers, logs, metrics and reports.
const (
	ReasonEjected           Reason = "set-aside"
	ReasonLeaving           Reason = "leaving"
	ReasonFull              Reason = "full"
	ReasonDeadlineTooShort  Reason = "deadline-too-short"
	ReasonStaleLease        Reason = "stale-lease"
	ReasonRevoked           Reason = "voided"
	ReasonNoUpstream        Reason = "no-such-upstream"
	ReasonConnectionRefused Reason = "connection-refused"
	ReasonShed              Reason = "upstream-shed"
	ReasonRetryBudget       Reason = "retry-budget"
	ReasonTimeout           Reason = "timeout"
	ReasonTruncated         Reason = "torn-answer"
	// ReasonHung means that the entry gave the run up for a place at another upstream:
	// most likely it would have come to no end.
	ReasonHung Reason = "stalled"
	// ReasonCrashed means that the backend server's process ended under the run.
	ReasonCrashed Reason = "backend-crashed"
	// ReasonQuarantined means that the request crashes the backend servers that run it.
	ReasonQuarantined   Reason = "quarantined"
	ReasonReplyTooLarge Reason = "answer-too-large"
	// ReasonMismatchedReply means an answer that isn't the request's own.
	ReasonMismatchedReply Reason = "foreign-answer"
	// ReasonCallerLeft means that the caller has left.
	ReasonCallerLeft Reason = "caller-left"
	// ReasonKeyRevoked means that a resend has voided the key of this send.
	ReasonKeyRevoked Reason = "key-voided"
	// ReasonKeyReused means that the key was used for another request.
	ReasonKeyReused Reason = "key-reused"
	// ReasonKeyRunning means that an earlier send of the key runs.
	ReasonKeyRunning Reason = "key-running"
	// ReasonReplyNotKept means that an earlier send ran without a kept answer.
	ReasonReplyNotKept Reason = "answer-not-kept"
	// ReasonKeyPredatesNode means that the node can't tell whether the key was
	// voided, for it started since.
	ReasonKeyPredatesNode Reason = "key-older-than-node"
)

// Reply is a gate's answer to a dispatch. A body longer than ChunkSize goes on
// in Chunk frames.
type Reply struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when to come back, for a request that was not run.
	RetryAfter clock.Millis
	Status     int
	Headers    Headers
	// Length is the whole body's, Body its beginning.
	Length   int
	Body     []byte
	Time     clock.Millis
	Upstream Upstream
	// Took is how long the run lasted at the upstream.
	Took clock.Millis
	// Replay marks the answer of an earlier send of the same key.
	Replay bool
}

// Chunk carries the body bytes of a reply from Offset on.
type Chunk struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
	Offset  int
	Data    []byte
}

// Resolve asks a gate what became of a dispatch and forbids it to begin one
// that it has not begun.
type Resolve struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
	// Incarnation, Upstream and Lease are those of the dispatch.
	Incarnation uint64
	Upstream    string
	Lease       clock.Millis
	// Abandon says that the caller has left: a dispatch that has begun and may
	// run more than once is broken off.
	Abandon bool
}

// Resolution answers Settle for a dispatch without a reply yet.
type Resolution struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
	// Revoked is true for a dispatch that was not run and never will be; false
	// for one that has begun or that the gate can't vouch for.
	Revoked bool
	// Unknown is true for one that the gate can't vouch for: no reply will
	// follow.
	Unknown bool
	Time    clock.Millis
}

// Heartbeat is the heartbeat of a link, both ways.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Time is the sender's clock.
	Time clock.Millis
	// Echo echoes the Time of the last beat that the sender heard from the
	// receiver; 0 means none yet.
	Echo clock.Millis
	// Version and Digest name the table edition that the sender has in force.
	Version uint64
	Digest  string
	Leaving bool
	// CrashDigest sums up what the sender knows of backend servers that ended under their
	// runs; 0 for nothing.
	CrashDigest uint64
	// Upstreams holds all those beside the sender: their figures age at the
	// receiver, so that unchanged ones are said again.
	Upstreams []Upstream
}

// TableRequest asks a peer for the table edition that it has in force, if that goes
// before the asker's own, which Version and Digest name.
type TableRequest struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Digest  string
}

// TableVersion carries a whole table as it was published.
type TableVersion struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Text    []byte
}

// Kind names the frame.
func (*Challenge) Kind() Kind { return KindChallenge }

// Kind names the frame.
func (*Proof) Kind() Kind { return KindProof }

// Kind names the frame.
func (*Welcome) Kind() Kind { return KindWelcome }

// Kind names the frame.
func (*Dispatch) Kind() Kind { return KindDispatch }

// Kind names the frame.
func (*Reply) Kind() Kind { return KindReply }

// Kind names the frame.
func (*Chunk) Kind() Kind { return KindChunk }

// Kind names the frame.
func (*Resolve) Kind() Kind { return KindResolve }

// Kind names the frame.
func (*Resolution) Kind() Kind { return KindResolution }

// Kind names the frame.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind names the frame.
func (*TableRequest) Kind() Kind { return KindTableRequest }

// Kind names the frame.
func (*TableVersion) Kind() Kind { return KindTableVersion }
