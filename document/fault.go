// Package document reads the texts that operators write, tables and settings,
// so that every fault in one is reported at once, with its line and with what
// is allowed in its place.
package document

import (
	"fmt"
	"strings"

	"github.com/juju/errors"
)

// ErrInvalid is what every list of faults is: a text that was not accepted.
const ErrInvalid = errors.ConstError("not accepted")

// Fault is one thing wrong with a text.
type Fault struct {
	// Line counts from 1; 0 means that the fault has no line of its own.
	Line int
	// Where names the part and its key, for example "service bacheca: floor".
	// It is empty for a fault of the text as a whole.
	Where   string
	Problem string
	Allowed string
}

// String writes the fault on one line.
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

// Faults lists all that is wrong with one text. As an error it is ErrInvalid.
type Faults []Fault //nolint:errname // a list of faults is data first, and an error where one is returned

// maxErrorLines keeps a text that is wrong in each of its lines, such as one of
// another kind, from filling the log of every node. All faults are still in
// the list.
const maxErrorLines = 100

// Error writes one line for each fault. Of very many it writes the first, and
// how many more there are.
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

// Is reports that target is ErrInvalid.
func (fs Faults) Is(target error) bool {
	return target == ErrInvalid
}
