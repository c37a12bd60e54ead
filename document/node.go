package document

import (
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Node is one value of a text: a table, an array or a scalar, with the line
// that it was written on. The exported methods treat a nil Node as a value that the text
// doesn't give.
type Node struct {
	// Line is the line of the value's key or table header, from 1.
	Line int

	kind unstable.Kind
	// scalar is the decoded text of a string, or a number as written. It usually
	// points into the text that was parsed.
	scalar []byte
	parent *Node
	key    string
	// position is the position within an array, from 1. It is 0 for other values.
	position int
	fields   []*Node
	// byKey indexes fields once there are more than maxLinearFields: a text with
	// 100,000 keys in one table must not take minutes.
	byKey map[string]*Node
	items []*Node
	// start and end are the offsets of the first byte and of the byte after the
	// expression that gave the value: the key and value of a line, or the line of a
	// table header.
	start, end int
	// expression is the outermost value of the same expression, nil for that value
	// itself. The decoder can only skip an expression as a whole.
	expression *Node
	// rejected is set once a fault of the value's kind has been recorded.
	rejected bool
}

// Field returns the value of a key of a table, or nil if the key is absent.
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

// maxLinearFields is the number of fields up to which a linear search is faster than a map.
const maxLinearFields = 24

// addField adds f to a table that doesn't have its key yet.
func (n *Node) addField(f *Node) {
	n.fields = append(n.fields, f)
	if n.byKey == nil && len(n.fields) > maxLinearFields {
		n.byKey = make(map[string]*Node, 2*len(n.fields))
		for _, field := range n.fields {
			n.byKey[field.key] = field
		}
	}
	if n.byKey != nil {
		n.byKey[f.key] = f
	}
}

// Item returns the i-th element of an array, from 0, or nil if it is absent.
func (n *Node) Item(i int) *Node {
	if n == nil || i < 0 || i >= len(n.items) {
		return nil
	}
	return n.items[i]
}

// Has reports whether the table has the key.
func (n *Node) Has(key string) bool {
	return n.Field(key) != nil
}

// Integer returns the value of an integer, and false for a value that isn't an integer or
// doesn't fit into an int64.
func (n *Node) Integer() (int64, bool) {
	if n == nil || n.kind != unstable.Integer {
		return 0, false
	}
	value, err := strconv.ParseInt(string(n.scalar), 0, 64)
	return value, err == nil
}

// Text returns the value of a text, and false for a value of another kind.
func (n *Node) Text() (string, bool) {
	if n == nil || n.kind != unstable.String {
		return "", false
	}
	return string(n.scalar), true
}

// LineOf returns the line of a key, or the line of the table if the key is absent.
func (n *Node) LineOf(key string) int {
	if n == nil {
		return 0
	}
	if f := n.Field(key); f != nil {
		return f.Line
	}
	return n.Line
}

// Where returns a key of the table with the names of the tables around it, for
// example "service bacheca: upstream b1: slots". An empty key stands for the table itself.
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

// label returns the name of a node in faults. For an element of an array this is its
// key "name", else its key "prefix", else its position.
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

// isRejected reports whether the value or a table or array around it was rejected.
func (n *Node) isRejected() bool {
	for ; n != nil; n = n.parent {
		if n.rejected {
			return true
		}
	}
	return false
}

// maxLabelLength bounds a text within a fault in bytes, so that a hostile name can't fill a
// log line.
const maxLabelLength = 80

// printable cuts a text to maxLabelLength, and quotes it if it contains characters that
// would break a log line.
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
