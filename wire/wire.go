// Package wire defines the messages between nodes and their encoding.
//
// A message travels as one binary WebSocket message: a byte that names its
// kind, then the message's fields as one CBOR array. Whatever comes from a
// peer is bounded in size, depth and element counts before it is decoded.
package wire

import (
	"bytes"
	"math"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// Format is the version of the messages. Nodes of different formats refuse
// each other's links.
const Format = 8

// Bounds on what a peer may send.
const (
	// MaxOverhead is the most that a frame may take beside the body it carries.
	MaxOverhead = 64 << 10
	// ChunkSize is the most body bytes in one frame of an answer, so that a
	// large answer doesn't hold up small ones on the same link.
	ChunkSize = 64 << 10
	// MaxItems bounds the entries of one array: what has more can't be read.
	MaxItems = 4096
	maxDepth = 8
)

// Faults of a frame that a peer sent.
const (
	ErrFrame    = errors.ConstError("malformed frame")
	ErrKind     = errors.ConstError("unknown kind of frame")
	ErrTooLarge = errors.ConstError("frame over the bound")
)

// Kind says which message a frame carries.
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
)

// Message is one of the message types of this package, by pointer.
type Message interface {
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

// RoundFloat rounds a figure to some three digits, with which it takes 3 bytes in place of
// 9. Heartbeats are most of what crosses between failure domains at rest, and hold
// two such figures for each upstream.
func RoundFloat(x float64) float64 {
	const bits = 1 << 10
	fraction, exponent := math.Frexp(x)
	return math.Ldexp(math.Round(fraction*bits)/bits, exponent)
}

// A peer that nests or lengthens without bound would take the node's memory or
// stack; the decoder refuses such input before it allocates for it.
func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:   maxDepth,
		MaxArrayElements:  MaxItems,
		MaxMapPairs:       MaxItems,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the frame of a message.
func Encode(m Message) ([]byte, error) {
	var buffer bytes.Buffer
	err := EncodeTo(&buffer, m)
	return buffer.Bytes(), err
}

// EncodeTo appends the frame of a message to a buffer.
func EncodeTo(buffer *bytes.Buffer, m Message) error {
	buffer.WriteByte(byte(m.Kind()))
	err := encoder.MarshalToBuffer(m, buffer)
	return errors.Annotatef(err, "encoding frame of kind %d", m.Kind())
}

// Decode reads one frame. It returns ErrLarge, ErrKind or ErrFrame for input
// that no node of this format sends.
func Decode(frame []byte, limit int) (Message, error) {
	if len(frame) > limit {
		return nil, errors.Annotatef(ErrTooLarge, "%d bytes, at most %d", len(frame), limit)
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

// constructors make an empty message of each kind.
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
}

func newMessage(k Kind) Message {
	if int(k) >= len(constructors) || constructors[k] == nil {
		return nil
	}
	return constructors[k]()
}
