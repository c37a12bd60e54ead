package wire

import (
	"strconv"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/lease"
)

// RequestName returns the name of a request in logs and towards backend servers: the id
// that its caller gave it, or else its RequestID.
func RequestName(callerID string, id RequestID) string {
	if callerID != "" {
		return callerID
	}
	return id.String()
}

// RequestID identifies a request throughout the fleet.
type RequestID struct {
	_ struct{} `cbor:",toarray"`
	// Entry is the incarnation of the entry that received the request from its caller.
	Entry uint64
	// Seq is the sequence number of the request within that incarnation.
	Seq uint64
}

// Key returns the key that identifies one of the request's attempts at gates and links.
func (id RequestID) Key(attempt uint8) lease.Key {
	return lease.Key{Entry: id.Entry, Seq: id.Seq, Attempt: attempt}
}

// String returns the id as logs, headers and reports show it: both numbers in
// hexadecimal, with a hyphen between them.
func (id RequestID) String() string {
	buf := make([]byte, 0, 33)
	buf = strconv.AppendUint(buf, id.Entry, 16)
	buf = append(buf, '-')
	buf = strconv.AppendUint(buf, id.Seq, 16)
	return string(buf)
}

// Baseline holds the typical failure rate and latency of a service: medians over its
// gates.
type Baseline struct {
	_           struct{} `cbor:",toarray"`
	Known       bool
	FailureRate float64
	// Latency is the median response time.
	Latency clock.Millis
	// Tail is the response time that one answer in ten exceeds.
	Tail clock.Millis
	// Age is the age of the figures.
	Age clock.Millis
}

// Upstream is a gate's status of its upstream, sent with every reply and heartbeat.
type Upstream struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	State    uint8
	Severity float64
	// Share is the part of its normal load that entries should send it, from 0 to 1.
	Share    float64
	InFlight int
	Waiting  int
	// Until is the minimum time for which the state will still hold.
	Until   clock.Millis
	Leaving bool
	// Down is true if nothing listens at the backend server's address.
	Down bool
	// Local is the baseline of this gate alone.
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

// Proof answers a challenge and proves that the dialling node holds the shared secret.
type Proof struct {
	_     struct{} `cbor:",toarray"`
	Node  string
	Entry uint64
	Nonce []byte
	MAC   []byte
}

// Welcome ends the handshake. It proves that the accepting node holds the secret too and
// is the node that was dialled.
type Welcome struct {
	_   struct{} `cbor:",toarray"`
	MAC []byte
	// Time is the time on the clock of the gate's node, from which leases are computed.
	Time clock.Millis
}

// Dispatch asks a gate to run a request at its upstream.
type Dispatch struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
	// CallerRequestID is the id that the caller gave the request; empty if it gave none.
	CallerRequestID string
	// Incarnation is that of the gate's node, as far as the entry knows.
	Incarnation uint64
	// Lease is the latest time, on the gate's clock, at which the gate may still begin the
	// request.
	Lease clock.Millis
	// Budget is the time left until the request's deadline.
	Budget   clock.Millis
	Upstream string
	Caller   string
	// Account is the client account whose key the request carried; empty if it carried none.
	Account    string
	Method     string
	URI        string
	Headers    Headers
	Body       []byte
	Repeatable bool
	// Retry is true if an upstream has received the request before, or may have.
	Retry bool
	// AnyHost is true if the request's route applies to all hosts.
	AnyHost bool
	// Verdict is the entry's quarantine.Verdict on the request.
	Verdict uint8
	// Priority orders the request among those that wait for a slot; 0 goes first.
	Priority int
	// MedianTime is the median run time on the route, LogStdDev the standard deviation of
	// the run time's logarithm. Both are 0 if the entry doesn't know them.
	MedianTime clock.Millis
	LogStdDev  float64
	// Hanging is the episode.HangShare of the service: which part of the failing runs hang.
	Hanging uint8
	// NoQueue asks for a slot that is free now: the dispatch must not be queued.
	NoQueue bool
	// Forced asks the gate to run the request in spite of its verdict, for the floor.
	Forced   bool
	Baseline Baseline
	// Key is the caller's idempotency key; empty if it gave none.
	Key string
	// Digest is the digest of a request with a key, by which gates detect that the key was
	// used for another request.
	Digest []byte
	// Resend is the number that the caller gave a resend; 0 for a first send.
	Resend uint32
	// LeaseSpan is the time from the entry's receipt of the request to the end of the
	// lease.
	LeaseSpan clock.Millis
}

// Outcome is the result of a dispatch at its gate.
type Outcome uint8

// The outcomes of a dispatch. Their numbers are part of the format.
const (
	// NotRun means that the upstream has not received the request and never will.
	NotRun Outcome = iota + 1
	// Answered means that the upstream returned a complete answer.
	Answered
	// Broken means that the upstream received the request but returned no complete answer.
	Broken
)

// Reason says why a gate did not run a request or received no complete answer.
type Reason string

// The reasons. They appear in headers, logs, metrics and reports.
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
	// ReasonRateLimit means that the backend server names a rate limit, which admits no
	// request in time.
	ReasonRateLimit Reason = "server-limit"
	ReasonTimeout   Reason = "timeout"
	ReasonTruncated Reason = "torn-answer"
	// ReasonHung means that the entry abandoned the run, which had most likely hung, and
	// sent the request to another upstream.
	ReasonHung Reason = "stalled"
	// ReasonCrashed means that the backend server's process crashed during the run.
	ReasonCrashed Reason = "backend-crashed"
	// ReasonNodeStopped means that the gate's node stopped during the run, which it cut.
	ReasonNodeStopped Reason = "node-stopped"
	// ReasonNodeFault means that a fault of the gate's node ended the handling of the request.
	ReasonNodeFault Reason = "node-fault"
	// ReasonQuarantined means that the request crashes the backend servers that run it.
	ReasonQuarantined   Reason = "quarantined"
	ReasonReplyTooLarge Reason = "answer-too-large"
	// ReasonMismatchedReply means that the answer belongs to another request.
	ReasonMismatchedReply Reason = "foreign-answer"
	// ReasonCallerLeft means that the caller disconnected before the answer.
	ReasonCallerLeft Reason = "caller-left"
	// ReasonKeyRevoked means that a resend has revoked the key for this send.
	ReasonKeyRevoked Reason = "key-voided"
	// ReasonKeyReused means that the key was used for another request.
	ReasonKeyReused Reason = "key-reused"
	// ReasonKeyRunning means that an earlier send of the key is still running.
	ReasonKeyRunning Reason = "key-running"
	// ReasonReplyNotKept means that an earlier send ran and its answer was not kept.
	ReasonReplyNotKept Reason = "answer-not-kept"
	// ReasonKeyPredatesNode means that the node can't tell whether the key was revoked,
	// because it started after the key's first send.
	ReasonKeyPredatesNode Reason = "key-older-than-node"
)

// Reply is a gate's answer to a dispatch. A body longer than ChunkSize continues in Chunk
// messages.
type Reply struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the delay after which to retry a request that was not run.
	RetryAfter clock.Millis
	Status     int
	Headers    Headers
	// Length is the length of the whole body, Body its first part.
	Length   int
	Body     []byte
	Time     clock.Millis
	Upstream Upstream
	// Took is the duration of the run at the upstream.
	Took clock.Millis
	// Replay is true if the answer is that of an earlier send of the same key.
	Replay bool
}

// Chunk carries body bytes of a reply, starting at Offset.
type Chunk struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
	Offset  int
	Data    []byte
}

// Resolve asks a gate for the outcome of a dispatch. A dispatch that the gate has not
// begun is revoked.
type Resolve struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
	// Incarnation, Upstream and Lease are those of the dispatch.
	Incarnation uint64
	Upstream    string
	Lease       clock.Millis
	// Abandon is true if nobody waits for the outcome. The gate then cancels a dispatch
	// that has begun, provided that it may run more than once.
	Abandon bool
}

// Resolution answers a Resolve for a dispatch that has no reply yet.
type Resolution struct {
	_       struct{} `cbor:",toarray"`
	ID      RequestID
	Attempt uint8
	// Revoked is true for a dispatch that was not run and never will be. It is false for a
	// dispatch that has begun or that the gate has no record of.
	Revoked bool
	// Unknown is true for a dispatch that the gate has no record of: no reply will follow.
	Unknown bool
	Time    clock.Millis
}

// Heartbeat is sent over a link at regular intervals, in both directions.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// Time is the time on the sender's clock.
	Time clock.Millis
	// Echo is the Time of the last heartbeat that the sender received from the receiver;
	// 0 means none yet.
	Echo clock.Millis
	// Version and Digest identify the table that the sender has in force.
	Version uint64
	Digest  string
	Leaving bool
	// CrashDigest is the digest of the sender's crash records; 0 if it has none.
	CrashDigest uint64
	// Upstreams holds the status of all upstreams beside the sender, also of those whose
	// status is unchanged, because the figures age at the receiver.
	Upstreams []Upstream
}

// TableRequest asks a peer for the table that the peer has in force, if it is newer than
// the sender's own, which Version and Digest identify.
type TableRequest struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Digest  string
}

// TableVersion carries the complete text of a table as it was published.
type TableVersion struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Text    []byte
}

// Kind implements Message.
func (*Challenge) Kind() Kind { return KindChallenge }

// Kind implements Message.
func (*Proof) Kind() Kind { return KindProof }

// Kind implements Message.
func (*Welcome) Kind() Kind { return KindWelcome }

// Kind implements Message.
func (*Dispatch) Kind() Kind { return KindDispatch }

// Kind implements Message.
func (*Reply) Kind() Kind { return KindReply }

// Kind implements Message.
func (*Chunk) Kind() Kind { return KindChunk }

// Kind implements Message.
func (*Resolve) Kind() Kind { return KindResolve }

// Kind implements Message.
func (*Resolution) Kind() Kind { return KindResolution }

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Message.
func (*TableRequest) Kind() Kind { return KindTableRequest }

// Kind implements Message.
func (*TableVersion) Kind() Kind { return KindTableVersion }
