package document

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"sort"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// Document is a parsed text with the faults found in it so far.
type Document struct {
	// Root is the table that holds the top-level keys of the text.
	Root   *Node
	faults Faults
	tree   *treeBuilder
}

// byteOrderMark is the UTF-8 byte order mark. It gets a fault of its own because editors
// don't show it: an operator couldn't understand the parser's message about line 1.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Parse parses a TOML text without decoding it into a struct. It refuses a text longer
// than maxBytes before parsing any of it. The error is a Faults.
func Parse(text []byte, maxBytes int) (*Document, error) {
	if len(text) > maxBytes {
		return nil, Faults{{
			Problem: fmt.Sprintf("%d bytes", len(text)),
			Allowed: fmt.Sprintf("at most %d bytes", maxBytes),
		}}
	}
	if bytes.HasPrefix(text, byteOrderMark) {
		return nil, Faults{{
			Line: 1, Problem: "begins with a byte order mark, as some editors write it", Allowed: "UTF-8 without one",
		}}
	}
	tree, err := parseTree(text)
	if err != nil {
		return nil, err
	}
	return &Document{Root: tree.root, faults: tree.faults, tree: tree}, nil
}

// Decode fills the struct that into points to. It records unknown keys and values of a
// wrong kind as faults and skips them, so that the rest can still be checked. It returns
// false if the rest can't be decoded either.
func (d *Document) Decode(into any) bool {
	s := schemaChecker{keySets: make(map[reflect.Type]keySet)}
	s.check(d.Root, reflect.TypeOf(into).Elem())
	d.faults = append(d.faults, s.faults...)
	text := blankNodes(d.tree.text, append(s.rejected, d.tree.duplicates...))
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		d.faults = append(d.faults, newDecodeFault(err))
		return false
	}
	return true
}

// Add records a fault of a key of the table n. It does nothing if the key or the table was
// already rejected as unknown or of a wrong kind.
func (d *Document) Add(n *Node, key, problem, allowed string) {
	if f := n.Field(key); f.isRejected() || n.isRejected() {
		return
	}
	d.faults = append(d.faults, Fault{
		Line: n.LineOf(key), Where: n.Where(key), Problem: problem, Allowed: allowed,
	})
}

// Forgive removes the faults of a key of the table n, for which the caller has a value.
func (d *Document) Forgive(n *Node, key string) {
	line, where := n.LineOf(key), n.Where(key)
	d.faults = slices.DeleteFunc(d.faults, func(f Fault) bool { return f.Line == line && f.Where == where })
}

// Err returns the faults, ordered by line, as a Faults, or nil if there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Line < d.faults[j].Line })
	return d.faults
}

// blankNodes returns a copy of the text in which spaces replace the expressions of the
// nodes and of all values within them. Line breaks stay, so that line numbers don't
// change.
func blankNodes(text []byte, nodes []*Node) []byte {
	if len(nodes) == 0 {
		return text
	}
	out := bytes.Clone(text)
	for _, n := range nodes {
		blankNode(out, n)
	}
	return out
}

func blankNode(text []byte, n *Node) {
	for i := n.start; i < n.end; i++ {
		if text[i] != '\n' {
			text[i] = ' '
		}
	}
	for _, f := range n.fields {
		blankNode(text, f)
	}
	for _, item := range n.items {
		blankNode(text, item)
	}
}

func newDecodeFault(err error) Fault {
	fault := Fault{Problem: err.Error(), Allowed: "TOML 1.0"}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		fault.Line, _ = decodeErr.Position()
	}
	return fault
}
