package document

import (
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Node is one value of a text: a table, an array or a scalar, with the line
// that it was written on. Methods of a nil Node answer as for a value that is
// not in the text.
type Node struct {
	// Line is where the value's key or table header stands.
	Line int

	kind unstable.Kind
	// scalar is the decoded text of a string, the written one of a number. It
	// mostly points into the text that was read.
	scalar []byte
	parent *Node
	key    string
	// position counts from 1 within an array, 0 elsewhere.
	position int
	fields   []*Node
	// byKey finds fields once there are more than a person writes: a text
	// with a hundred thousand keys in one table must not take minutes.
	byKey map[string]*Node
	items []*Node
	// start and to bound the bytes of the expression that gave the value: the
	// key and value of a line, or the line of a table header.
	start, end int
	// expression is the outermost value of the same expression, which can
	// only be passed over as a whole.
	expression *Node
	refused    bool
}

// Field returns the value of a key of a table, nil if it is absent.
func (n *Node) Field(key string) *Node {
	if n == nil {
		return nil
	}
	if n.byKey != nil {
		return n.byKey[key]
	}
	for _, f := range n.fields {
		if f.key == key {
			return f
		}
	}
	return nil
}

// maxLinearFields is how many fields are quicker to compare than to hash.
const maxLinearFields = 24

func (n *Node) addField(f *Node) {
	n.fields = append(n.fields, f)
	if n.byKey == nil && len(n.fields) > maxLinearFields {
		n.byKey = make(map[string]*Node, 2*len(n.fields))
		for _, known := range n.fields {
			n.byKey[known.key] = known
		}
	}
	if n.byKey != nil {
		n.byKey[f.key] = f
	}
}

// Item returns the i-th element of an array, from 0, nil if it is absent.
func (n *Node) Item(i int) *Node {
	if n == nil || i < 0 || i >= len(n.items) {
		return nil
	}
	return n.items[i]
}

// Has reports whether the text gives the key.
func (n *Node) Has(key string) bool {
	return n.Field(key) != nil
}

// Integer returns the value of an integer.
func (n *Node) Integer() (int64, bool) {
	if n == nil || n.kind != unstable.Integer {
		return 0, false
	}
	value, err := strconv.ParseInt(string(n.scalar), 0, 64)
	return value, err == nil
}

// LineOf returns the line of a key, or that of the table that lacks it.
func (n *Node) LineOf(key string) int {
	if n == nil {
		return 0
	}
	if f := n.Field(key); f != nil {
		return f.Line
	}
	return n.Line
}

// Where names the key of a table by the names of the tables around it, for
// example "service bacheca: upstream b1: slots".
func (n *Node) Where(key string) string {
	if n == nil {
		return key
	}
	label := n.label()
	switch {
	case label == "":
		return key
	case key == "":
		return label
	default:
		return label + ": " + key
	}
}

// label names a node. An element of an array goes by its name, else its
// prefix, else its place.
func (n *Node) label() string {
	if n.parent == nil {
		return ""
	}
	if n.position == 0 {
		return n.parent.Where(n.key)
	}
	array := n.parent
	for _, key := range []string{"name", "prefix"} {
		if f := n.Field(key); f != nil && f.kind == unstable.String && len(f.scalar) > 0 {
			return array.label() + " " + printable(string(f.scalar))
		}
	}
	return array.label() + " " + strconv.Itoa(n.position)
}

// isRefused reports whether a fault of shape already covers the value.
func (n *Node) isRefused() bool {
	for ; n != nil; n = n.parent {
		if n.refused {
			return true
		}
	}
	return false
}

// maxLabelLength keeps a hostile name from filling a log line.
const maxLabelLength = 80

// printable quotes a text that would garble a line, and cuts a long one.
func printable(text string) string {
	if len(text) > maxLabelLength {
		text = text[:maxLabelLength]
	}
	quoted := strconv.Quote(text)
	if quoted == `"`+text+`"` {
		return text
	}
	return quoted
}
