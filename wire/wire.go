// Package wire defines the messages between nodes and their encoding.
//
// Each message is sent as one binary WebSocket message, called a frame: one byte for the
// kind of the message, then the message's fields as a CBOR array. The size, nesting depth
// and element counts of a peer's frame are limited before it is decoded.
package wire

import (
	"bytes"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Format is the version of the message format. Nodes with different formats refuse links
// to one another.
const Format = 8

// Limits on the frames that a peer may send.
const (
	// MaxOverhead is the maximum size of a frame in bytes, not counting the body that it
	// carries.
	MaxOverhead = 64 << 10
	// ChunkSize is the maximum number of body bytes in one frame of an answer. It keeps a
	// large answer from delaying small answers on the same link.
	ChunkSize = 64 << 10
	// MaxItems is the maximum number of elements of an array. Decode rejects longer arrays.
	MaxItems = 4096
	maxDepth = 8
)

// Errors of Decode and Unpack.
const (
	ErrFrame    = errors.ConstError("malformed frame")
	ErrKind     = errors.ConstError("unknown frame kind")
	ErrTooLarge = errors.ConstError("frame over the size limit")
)

// Kind is the kind of the message that a frame carries.
type Kind uint8

// The kinds of frames. Their numbers are part of the format.
const (
	KindChallenge Kind = iota + 1
	KindProof
	KindWelcome
	KindDispatch
	KindReply
	KindChunk
	KindResolve
	KindResolution
	KindHeartbeat
	KindTableRequest
	KindTableVersion
	KindKeyRevocation
	KindKeyRevocationReply
	KindCapacityProbe
	KindReservation
	KindWorkRequest
	KindReleaseReservation
	KindStoreUpdate
	KindCrashReport
	KindQuotaRequest
	KindQuotaGrant
	KindHungRun
	KindAnnouncements
	KindEraUpdate
	KindGoAway
	KindSlotClaim
	KindClaimQueued
	KindUpstreamProfile
	KindQuotaForward
	KindSubscription
	KindReferral
	KindCopyPart
)

const (
	// BaseKind is the highest kind that all nodes of this Format accept.
	BaseKind = KindHungRun
	// LastKind is the highest kind that this release accepts. Kinds above BaseKind are sent
	// only to peers that state in the handshake that they accept them, so that a new kind
	// needs no new Format.
	LastKind = KindCopyPart
)

// Message is a pointer to one of the message types of this package.
type Message interface {
	// Kind returns the kind by which a frame identifies the message.
	Kind() Kind
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortNone, ShortestFloat: cbor.ShortestFloat16}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// RoundFloat rounds a number to about three significant digits, so that it is encoded in
// 3 bytes rather than 9. Heartbeats are most of the traffic between failure domains when
// there are few requests, and each holds two such numbers per upstream.
func RoundFloat(x float64) float64 {
	const bits = 1 << 10
	fraction, exponent := math.Frexp(x)
	return math.Ldexp(math.Round(fraction*bits)/bits, exponent)
}

// mustDecoder returns a decoder that rejects input over its limits before it allocates
// memory for it. Unbounded nesting or lengths would let a peer exhaust the node's memory
// or stack. It accepts text of any bytes: a peer passes on what callers and upstreams wrote, and a
// refused frame ends the link with every request in flight on it.
func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:   maxDepth,
		MaxArrayElements:  MaxItems,
		MaxMapPairs:       MaxItems,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		UTF8:              cbor.UTF8DecodeInvalid,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns a message as a frame.
func Encode(m Message) ([]byte, error) {
	var buffer bytes.Buffer
	err := EncodeTo(&buffer, m)
	return buffer.Bytes(), err
}

// EncodeTo appends a message to a buffer as a frame.
func EncodeTo(buffer *bytes.Buffer, m Message) error {
	buffer.WriteByte(byte(m.Kind()))
	err := encoder.MarshalToBuffer(m, buffer)
	return errors.Annotatef(err, "encoding frame of kind %d", m.Kind())
}

// Decode decodes a frame of at most limit bytes. It returns ErrTooLarge for a longer
// frame, ErrKind for an unknown kind and ErrFrame for a malformed frame.
func Decode(frame []byte, limit int) (Message, error) {
	if len(frame) > limit {
		return nil, errors.Annotatef(ErrTooLarge, "%d bytes, limit is %d", len(frame), limit)
	}
	if len(frame) == 0 {
		return nil, errors.Annotate(ErrFrame, "empty")
	}
	m := newMessage(Kind(frame[0]))
	if m == nil {
		return nil, errors.Annotatef(ErrKind, "kind %d", frame[0])
	}
	if err := decoder.Unmarshal(frame[1:], m); err != nil {
		return nil, errors.Annotatef(ErrFrame, "kind %d: %v", frame[0], err)
	}
	return m, nil
}

// constructors holds a constructor of an empty message for each kind.
var constructors = [...]func() Message{
	KindChallenge:          func() Message { return new(Challenge) },
	KindProof:              func() Message { return new(Proof) },
	KindWelcome:            func() Message { return new(Welcome) },
	KindDispatch:           func() Message { return new(Dispatch) },
	KindReply:              func() Message { return new(Reply) },
	KindChunk:              func() Message { return new(Chunk) },
	KindResolve:            func() Message { return new(Resolve) },
	KindResolution:         func() Message { return new(Resolution) },
	KindHeartbeat:          func() Message { return new(Heartbeat) },
	KindTableRequest:       func() Message { return new(TableRequest) },
	KindTableVersion:       func() Message { return new(TableVersion) },
	KindKeyRevocation:      func() Message { return new(KeyRevocation) },
	KindKeyRevocationReply: func() Message { return new(KeyRevocationReply) },
	KindCapacityProbe:      func() Message { return new(CapacityProbe) },
	KindReservation:        func() Message { return new(Reservation) },

	KindWorkRequest:        func() Message { return new(WorkRequest) },
	KindReleaseReservation: func() Message { return new(ReleaseReservation) },
	KindStoreUpdate:        func() Message { return new(StoreUpdate) },
	KindCrashReport:        func() Message { return new(CrashReport) },
	KindQuotaRequest:       func() Message { return new(QuotaRequest) },
	KindQuotaGrant:         func() Message { return new(QuotaGrant) },
	KindHungRun:            func() Message { return new(HungRun) },
	KindAnnouncements:      func() Message { return new(Announcements) },
	KindEraUpdate:          func() Message { return new(EraUpdate) },
	KindGoAway:             func() Message { return new(GoAway) },
	KindSlotClaim:          func() Message { return new(SlotClaim) },
	KindClaimQueued:        func() Message { return new(ClaimQueued) },
	KindUpstreamProfile:    func() Message { return new(UpstreamProfile) },
	KindQuotaForward:       func() Message { return new(QuotaForward) },
	KindSubscription:       func() Message { return new(Subscription) },
	KindReferral:           func() Message { return new(Referral) },
	KindCopyPart:           func() Message { return new(CopyPart) },
}

// newMessage returns an empty message of a kind, or nil for an unknown kind.
func newMessage(k Kind) Message {
	if int(k) >= len(constructors) || constructors[k] == nil {
		return nil
	}
	return constructors[k]()
}
