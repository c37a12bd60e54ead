package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
)

// maxUnpackedSize bounds the decompressed size of packed values in bytes, so that a peer
// can't exhaust the node's memory with a small frame.
const maxUnpackedSize = 4 << 20

// Pack encodes and compresses a value. Values that a node sends to all others are text
// with many repetitions, which compression reduces to a fifth of its size.
func Pack(value any) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Annotate(err, "packing")
	}
	encoded, err := encoder.Marshal(value)
	if err != nil {
		return nil, errors.Annotate(err, "packing")
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, errors.Annotate(err, "packing")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Annotate(err, "packing")
	}
	return packed.Bytes(), nil
}

// Unpack decodes a value that Pack encoded. It returns ErrTooLarge for a value over
// maxUnpackedSize and ErrFrame for a malformed one.
func Unpack(packed []byte, into any) error {
	reader := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = reader.Close() }() // only releases memory
	encoded, err := io.ReadAll(io.LimitReader(reader, maxUnpackedSize+1))
	switch {
	case err != nil:
		return errors.Annotatef(ErrFrame, "unpacking: %v", err)
	case len(encoded) > maxUnpackedSize:
		return errors.Annotatef(ErrTooLarge, "more than %d bytes after decompression", maxUnpackedSize)
	}
	if err := decoder.Unmarshal(encoded, into); err != nil {
		return errors.Annotatef(ErrFrame, "unpacking: %v", err)
	}
	return nil
}
