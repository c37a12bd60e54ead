package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
)

// maxUnpackedSize bounds, in bytes, what packed values may grow to: a peer must not be able
// to take the node's memory with a small frame.
const maxUnpackedSize = 4 << 20

// Pack writes a value compressed: what one node tells all others is text with many
// repetitions, to a fifth of its size.
func Pack(value any) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Annotate(err, "packing")
	}
	text, err := encoder.Marshal(value)
	if err != nil {
		return nil, errors.Annotate(err, "packing")
	}
	if _, err := writer.Write(text); err != nil {
		return nil, errors.Annotate(err, "packing")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Annotate(err, "packing")
	}
	return packed.Bytes(), nil
}

// Unpack reads what Pack wrote. It returns ErrLarge or ErrFrame for what no node of
// this format sends.
func Unpack(packed []byte, into any) error {
	reader := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = reader.Close() }() // it holds nothing but memory
	text, err := io.ReadAll(io.LimitReader(reader, maxUnpackedSize+1))
	switch {
	case err != nil:
		return errors.Annotatef(ErrFrame, "unpacking: %v", err)
	case len(text) > maxUnpackedSize:
		return errors.Annotatef(ErrTooLarge, "over %d bytes unpacked", maxUnpackedSize)
	}
	if err := decoder.Unmarshal(text, into); err != nil {
		return errors.Annotatef(ErrFrame, "unpacking: %v", err)
	}
	return nil
}
