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
	// ErrInvalid is matched by the error of a table that was not accepted.
	ErrInvalid = document.ErrInvalid
	// ErrFormat is matched too if the table is of a format that this release
	// does not read. The table may well be right for a newer release.
	ErrFormat = errors.ConstError("format of another release")
)

// MaxBytes bounds a table's text to what the platform holds in one value. A
// longer one is refused before it is decoded.
const MaxBytes = 1 << 20

// Fault is one thing wrong with a table.
type Fault = document.Fault

// Faults lists all that is wrong with a table, by line.
type Faults = document.Faults //nolint:errname // see document.Faults

// Parse reads a table and checks the whole of it. What the text leaves out
// gets its default. The error of a text that is not accepted is a Faults; that
// of a newer format wraps one and is ErrFormat too.
func Parse(text []byte) (*Table, error) {
	return parse(text, MaxBytes)
}

// Build checks and indexes a table that was made by a program and not read
// from a text. It fills in no defaults but that of Route.Repeatable, and its
// faults have no lines. It may be larger than MaxBytes. The table given is not
// changed.
func Build(t Table) (*Table, error) {
	t.Routes = slices.Clone(t.Routes)
	for i := range t.Routes {
		if t.Routes[i].Repeatable == nil {
			// As text, nil would be an empty list, which means none.
			t.Routes[i].Repeatable = defaultRepeatable
		}
	}
	text, err := toml.Marshal(t)
	if err != nil {
		return nil, errors.Annotate(err, "writing the table")
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

// Index makes a table that a program has made and checked itself ready for
// look-ups. A route without Repeatable has none. It takes the table over.
func Index(t Table) *Table {
	t.buildIndex()
	return &t
}

func parse(text []byte, bound int) (*Table, error) {
	doc, err := document.Parse(text, bound)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := checkNewer(doc.Root); err != nil {
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

// checkNewer refuses a table of a newer format by that fault alone. Everything
// that the newer format added would otherwise be called an unknown key, and an
// operator would mend a table that is right.
func checkNewer(root *document.Node) error {
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

// Digest names a table's text for comparison between nodes: SHA-256 in
// hexadecimal digits.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
