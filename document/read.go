package document

import (
	"bytes"
	"fmt"
	"reflect"
	"sort"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// Document is a text that was read, and the faults found in it so far.
type Document struct {
	// Root is the tree of the text.
	Root   *Node
	faults Faults
	tree   *builder
}

// byteOrderMark is invisible in an editor, so that an operator could not see
// what the grammar's own message about line 1 means.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Parse reads the grammar of a text. A text longer than bound bytes is refused
// before anything of it is decoded. The error is a Faults.
func Parse(text []byte, bound int) (*Document, error) {
	if len(text) > bound {
		return nil, Faults{{
			Problem: fmt.Sprintf("%d bytes", len(text)),
			Allowed: fmt.Sprintf("at most %d bytes", bound),
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

// Decode fills the struct that into points to. Unknown keys and values of a
// wrong kind become faults and are passed over, so that the rest can still be
// checked. It reports false if the rest can't be decoded either.
func (d *Document) Decode(into any) bool {
	s := schemaChecker{keySets: make(map[reflect.Type]keySet)}
	s.check(d.Root, reflect.TypeOf(into).Elem())
	d.faults = append(d.faults, s.faults...)
	text := blankNodes(d.tree.text, append(s.refused, d.tree.duplicates...))
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		d.faults = append(d.faults, decodeFault(err))
		return false
	}
	return true
}

// Add notes a fault of the key of a table. Where a fault of shape covers the
// key already, nothing is added.
func (d *Document) Add(n *Node, key, problem, allowed string) {
	if f := n.Field(key); f.isRefused() || n.isRefused() {
		return
	}
	d.faults = append(d.faults, Fault{
		Line: n.LineOf(key), Where: n.Where(key), Problem: problem, Allowed: allowed,
	})
}

// Err returns the faults by line as an error, nil if there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	sort.SliceStable(d.faults, func(i, j int) bool { return d.faults[i].Line < d.faults[j].Line })
	return d.faults
}

// blankNodes returns a copy of the text with the expressions of the nodes, and of
// all that is in them, written over by spaces. Lines keep their numbers.
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

func decodeFault(err error) Fault {
	fault := Fault{Problem: err.Error(), Allowed: "TOML 1.0"}
	var position *toml.DecodeError
	if errors.As(err, &position) {
		fault.Line, _ = position.Position()
	}
	return fault
}
