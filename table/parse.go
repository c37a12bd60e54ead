package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"fuchsiapick.example/fuchsiapick/document"
)

const (
	// ErrInvalid matches every error of Parse and of a table that Build refuses.
	ErrInvalid = document.ErrInvalid
	// ErrFormat also matches the error if the table has a newer format than this
	// release reads. The table may be valid for a newer release.
	ErrFormat = errors.ConstError("unsupported table format")
)

// MaxBytes is the largest text of a table in bytes, the most that the platform stores in
// one value. Parse refuses a longer text before decoding it.
const MaxBytes = 1 << 20

// Fault is one thing wrong with a table.
type Fault = document.Fault

// Faults lists all faults of a table, ordered by line.
type Faults = document.Faults //nolint:errname // see document.Faults

// Parse decodes and checks a table and fills in the defaults of keys that the text
// leaves out. Its error is a Faults. The error of a newer format wraps a Faults and also
// matches ErrFormat.
func Parse(text []byte) (*Table, error) {
	return parse(text, MaxBytes)
}

// Build checks and indexes a table that a program has made. The only default that it
// fills in is that of Route.Repeatable. Its faults have no lines, and the table's text
// may be larger than MaxBytes. Build doesn't modify its argument.
func Build(t Table) (*Table, error) {
	t.Routes = slices.Clone(t.Routes)
	for i := range t.Routes {
		if t.Routes[i].Repeatable == nil {
			// Marshal writes nil as an empty list, which allows no method.
			t.Routes[i].Repeatable = defaultRepeatable
		}
	}
	text, err := toml.Marshal(t)
	if err != nil {
		return nil, errors.Annotate(err, "encoding the table")
	}
	built, err := parse(text, len(text))
	var faults Faults
	if errors.As(err, &faults) {
		for i := range faults {
			faults[i].Line = 0
		}
	}
	return built, err
}

// Index prepares a table for lookups without checking it, for a program that made the
// table and checked it. It fills in no defaults. The result shares the slices of t,
// which must not be modified afterwards.
func Index(t Table) *Table {
	t.buildIndex()
	return &t
}

func parse(text []byte, maxBytes int) (*Table, error) {
	doc, err := document.Parse(text, maxBytes)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := checkNotNewer(doc.Root); err != nil {
		return nil, err
	}
	t := new(Table)
	if !doc.Decode(t) {
		return nil, doc.Err()
	}
	t.setDefaults(doc.Root)
	t.check(doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	t.buildIndex()
	return t, nil
}

// checkNotNewer refuses a table of a newer format with a single fault. Otherwise each key
// that the newer format added would be reported as unknown, and an operator would
// change a table that is valid.
func checkNotNewer(root *document.Node) error {
	format, ok := root.Field("format").Integer()
	if !ok || format <= Format {
		return nil
	}
	return errors.WithType(Faults{{
		Line:    root.LineOf("format"),
		Where:   "format",
		Problem: fmt.Sprintf("%d is of a newer release, so that nothing else was checked", format),
		Allowed: fmt.Sprintf("%d; upgrade the nodes before the table", Format),
	}}, ErrFormat)
}

// Digest returns the SHA-256 of a table's text in hexadecimal digits. Nodes compare
// digests to find out whether they have the same table.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
