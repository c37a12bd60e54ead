// Package document parses the TOML texts that operators write, tables and settings.
// It reports all faults of a text together, each with its line and with what is
// allowed instead.
package document

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// ErrInvalid matches every error of a text that was refused.
const ErrInvalid = errors.ConstError("invalid document")

// Fault is one error in a text.
type Fault struct {
	// Line counts from 1; 0 means that the fault belongs to no line.
	Line int
	// Where names the part and its key, for example "service bacheca: floor".
	// It is empty for a fault of the whole text.
	Where string
	// Problem says what is wrong, and Allowed what the text may have instead, if
	// anything.
	Problem string
	Allowed string
}

// String returns the fault as one line of text.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Where != "" {
		b.WriteString(f.Where + ": ")
	}
	b.WriteString(f.Problem)
	if f.Allowed != "" {
		b.WriteString("; allowed: " + f.Allowed)
	}
	return b.String()
}

// Faults lists all faults of one text. As an error it matches ErrInvalid.
type Faults []Fault //nolint:errname // a list of faults is data first, and an error where one is returned

// maxErrorLines bounds the lines of an error text. Without it a text with a fault in every
// line, such as a file of another kind, would fill the log of every node. The list
// itself still holds all faults.
const maxErrorLines = 100

// Error returns one line for each fault, up to 100, and a last line with the number of
// faults left out, if any.
func (fs Faults) Error() string {
	shown := fs[:min(len(fs), maxErrorLines)]
	lines := make([]string, len(shown), len(shown)+1)
	for i, f := range shown {
		lines[i] = f.String()
	}
	if more := len(fs) - len(shown); more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid.
func (fs Faults) Is(target error) bool {
	return target == ErrInvalid
}
