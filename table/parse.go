package table

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"fuchsiapick.example/fuchsiapick/document"
)

// ErrInvalid is matched by the error of a table that was not accepted.
const ErrInvalid = document.ErrInvalid

// Fault is one thing wrong with a table.
type Fault = document.Fault

// Faults lists all that is wrong with a table, by line.
type Faults = document.Faults //nolint:errname // see document.Faults

// Parse reads a table and checks the whole of it. What the text leaves out
// gets its default. The error of a text that is not accepted is a Faults.
func Parse(text []byte) (*Table, error) {
	var t Table
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&t); err != nil {
		return nil, Faults{{Line: lineOf(err), Problem: err.Error()}}
	}
	if t.Format != Format {
		return nil, Faults{{Where: "format", Problem: "not a format of this release"}}
	}
	t.buildIndex()
	return &t, nil
}

func lineOf(err error) int {
	var fault *toml.DecodeError
	if !errors.As(err, &fault) {
		return 0
	}
	line, _ := fault.Position()
	return line
}

// Digest names a table's text for comparison between nodes: SHA-256 in
// hexadecimal digits.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
