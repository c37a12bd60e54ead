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
	// Overhead is the most that a frame may take beside the body it carries.
	Overhead = 64 << 10
	// ChunkSize is the most body bytes in one frame of an answer, so that a
	// large answer doesn't hold up small ones on the same link.
	ChunkSize = 64 << 10
	// MostItems bounds the entries of one array: what has more can't be read.
	MostItems = 4096
	maxDepth  = 8
)

// Faults of a frame that a peer sent.
const (
	ErrFrame = errors.ConstError("malformed frame")
	ErrKind  = errors.ConstError("unknown kind of frame")
	ErrLarge = errors.ConstError("frame over the bound")
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
	KindSettle
	KindSettled
	KindBeat
	KindAsk
	KindEdition
	KindVoid
	KindVoided
	KindEnquiry
	KindHold
	KindInvitation
	KindWaive
	KindNews
	KindCrashes
	KindDraw
	KindDrawn
	KindStalled
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

// Short rounds a figure to some three digits, with which it takes 3 bytes in place of
// 9. Heartbeats are most of what crosses between failure domains at rest, and hold
// two such figures for each upstream.
func Short(x float64) float64 {
	const bits = 1 << 10
	fraction, exponent := math.Frexp(x)
	return math.Ldexp(math.Round(fraction*bits)/bits, exponent)
}

// A peer that nests or lengthens without bound would take the node's memory or
// stack; the decoder refuses such input before it allocates for it.
func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:   maxDepth,
		MaxArrayElements:  MostItems,
		MaxMapPairs:       MostItems,
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
		return nil, errors.Annotatef(ErrLarge, "%d bytes, at most %d", len(frame), limit)
	}
	if len(frame) == 0 {
		return nil, errors.Annotate(ErrFrame, "empty")
	}
	m := blank(Kind(frame[0]))
	if m == nil {
		return nil, errors.Annotatef(ErrKind, "kind %d", frame[0])
	}
	if err := decoder.Unmarshal(frame[1:], m); err != nil {
		return nil, errors.Annotatef(ErrFrame, "kind %d: %v", frame[0], err)
	}
	return m, nil
}

// blanks make an empty message of each kind.
var blanks = [...]func() Message{
	KindChallenge: func() Message { return new(Challenge) },
	KindProof:     func() Message { return new(Proof) },
	KindWelcome:   func() Message { return new(Welcome) },
	KindDispatch:  func() Message { return new(Dispatch) },
	KindReply:     func() Message { return new(Reply) },
	KindChunk:     func() Message { return new(Chunk) },
	KindSettle:    func() Message { return new(Settle) },
	KindSettled:   func() Message { return new(Settled) },
	KindBeat:      func() Message { return new(Beat) },
	KindAsk:       func() Message { return new(Ask) },
	KindEdition:   func() Message { return new(Edition) },
	KindVoid:      func() Message { return new(Void) },
	KindVoided:    func() Message { return new(Voided) },
	KindEnquiry:   func() Message { return new(Enquiry) },
	KindHold:      func() Message { return new(Hold) },

	KindInvitation: func() Message { return new(Invitation) },
	KindWaive:      func() Message { return new(Waive) },
	KindNews:       func() Message { return new(News) },
	KindCrashes:    func() Message { return new(Crashes) },
	KindDraw:       func() Message { return new(Draw) },
	KindDrawn:      func() Message { return new(Drawn) },
	KindStalled:    func() Message { return new(Stalled) },
}

func blank(k Kind) Message {
	if int(k) >= len(blanks) || blanks[k] == nil {
		return nil
	}
	return blanks[k]()
}
