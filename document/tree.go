package document

import (
	"bytes"
	"sort"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2/unstable"
)

// builder makes the tree of a text from its expressions. It is lenient about
// what TOML forbids across expressions, such as defining a table twice: the
// decoder that runs after it refuses that.
type builder struct {
	text        []byte
	lineOffsets []int
	root        *Node
	faults      Faults
	// duplicates lists repeated keys, which must be passed over for the decoder
	// to go on.
	duplicates []*Node
	// keys holds one string for each key, and spare nodes not yet taken:
	// a table repeats a dozen keys thousands of times.
	keys  map[string]string
	spare []Node
}

// nodeBatchSize is how many nodes are allocated together.
const nodeBatchSize = 128

func (b *builder) allocNode() *Node {
	if len(b.spare) == 0 {
		b.spare = make([]Node, nodeBatchSize)
	}
	n := &b.spare[0]
	b.spare = b.spare[1:]
	return n
}

func (b *builder) internKey(data []byte) string {
	if key, ok := b.keys[string(data)]; ok {
		return key
	}
	key := string(data)
	b.keys[key] = key
	return key
}

// parseTree returns the tree of a text, and the faults of its grammar. Only a
// text without those has a whole tree.
func parseTree(text []byte) (*builder, error) {
	b := &builder{text: text, lineOffsets: lineStarts(text), keys: make(map[string]string)}
	b.root = &Node{Line: 1, kind: unstable.Table}
	var parser unstable.Parser
	parser.Reset(text)
	current := b.root
	for parser.NextExpression() {
		e := parser.Expression()
		switch e.Kind {
		case unstable.KeyValue:
			b.keyValue(current, nil, e)
		case unstable.Table:
			current = b.header(e)
		case unstable.ArrayTable:
			current = b.arrayHeader(e)
		default:
		}
	}
	if err := parser.Error(); err != nil {
		return nil, b.grammarFault(&parser, err)
	}
	return b, nil
}

func (b *builder) grammarFault(parser *unstable.Parser, err error) error {
	var fault *unstable.ParserError
	if !errors.As(err, &fault) {
		return Faults{{Problem: "not TOML: " + err.Error(), Allowed: "TOML 1.0"}}
	}
	offset := int(parser.Range(fault.Highlight).Offset)
	return Faults{{Line: b.lineAt(offset), Problem: "not TOML: " + fault.Message, Allowed: "TOML 1.0"}}
}

// header enters the table that a [a.b] line names.
func (b *builder) header(e *unstable.Node) *Node {
	at := b.root
	for keys := e.Key(); keys.Next(); {
		at = b.enter(at, keys.Node(), nil)
	}
	b.setHeaderLine(at, e)
	return at
}

// arrayHeader adds a table to the array that a [[a.b]] line names.
func (b *builder) arrayHeader(e *unstable.Node) *Node {
	at := b.root
	for keys := e.Key(); keys.Next(); {
		key := keys.Node()
		if !keys.IsLast() {
			at = b.enter(at, key, nil)
			continue
		}
		array := at.Field(string(key.Data))
		if array == nil {
			array = b.add(at, key, unstable.Array)
			b.setHeaderLine(array, e)
		}
		at = b.addItem(array, unstable.Table)
	}
	b.setHeaderLine(at, e)
	return at
}

// enter steps into a table by one part of a dotted key: the table itself, the
// last one of an array of tables, or a new one.
func (b *builder) enter(at *Node, key *unstable.Node, expression *Node) *Node {
	next := at.Field(string(key.Data))
	if next == nil {
		next = b.add(at, key, unstable.Table)
		next.expression = expression
	}
	if len(next.items) > 0 {
		return next.items[len(next.items)-1]
	}
	return next
}

// keyValue adds the value of a "key = value" to a table. Within an inline
// table, expression is the value of the whole line.
func (b *builder) keyValue(at, expression *Node, e *unstable.Node) {
	for keys := e.Key(); keys.Next(); {
		key := keys.Node()
		if !keys.IsLast() {
			at = b.enter(at, key, expression)
			continue
		}
		n := b.newNode(at, key, unstable.Invalid)
		n.start, n.end = int(e.Raw.Offset), int(e.Raw.Offset+e.Raw.Length)
		n.expression = expression
		if at.Has(n.key) {
			b.refuseDuplicate(n)
		} else {
			at.addField(n)
		}
		b.value(n, e.Value())
	}
}

func (b *builder) refuseDuplicate(n *Node) {
	passed := n
	if n.expression != nil {
		passed = n.expression
	}
	b.duplicates = append(b.duplicates, passed)
	b.faults = append(b.faults, Fault{
		Line: n.Line, Where: n.label(), Problem: "given twice", Allowed: "once",
	})
}

func (b *builder) value(n *Node, v *unstable.Node) {
	n.kind = v.Kind
	expression := n.expression
	if expression == nil {
		expression = n
	}
	switch v.Kind {
	case unstable.Array:
		for it := v.Children(); it.Next(); {
			item := b.addItem(n, unstable.Invalid)
			item.expression = expression
			b.value(item, it.Node())
		}
	case unstable.InlineTable:
		n.kind = unstable.Table
		for it := v.Children(); it.Next(); {
			b.keyValue(n, expression, it.Node())
		}
	default:
		n.scalar = v.Data
	}
}

func (b *builder) add(parent *Node, key *unstable.Node, kind unstable.Kind) *Node {
	n := b.newNode(parent, key, kind)
	parent.addField(n)
	return n
}

func (b *builder) newNode(parent *Node, key *unstable.Node, kind unstable.Kind) *Node {
	n := b.allocNode()
	n.Line = b.lineAt(int(key.Raw.Offset))
	n.kind, n.parent, n.key = kind, parent, b.internKey(key.Data)
	return n
}

func (b *builder) addItem(array *Node, kind unstable.Kind) *Node {
	n := b.allocNode()
	n.Line, n.kind, n.parent, n.position = array.Line, kind, array, len(array.items)+1
	array.items = append(array.items, n)
	return n
}

// setHeaderLine gives a table the line of its header.
func (b *builder) setHeaderLine(n *Node, header *unstable.Node) {
	keys := header.Key()
	keys.Next()
	offset := int(keys.Node().Raw.Offset)
	n.Line = b.lineAt(offset)
	n.start = b.lineOffsets[n.Line-1]
	n.end = len(b.text)
	if n.Line < len(b.lineOffsets) {
		n.end = b.lineOffsets[n.Line]
	}
}

// lineStarts lists the offset of each line's first byte.
func lineStarts(text []byte) []int {
	starts := make([]int, 1, 1+bytes.Count(text, []byte{'\n'}))
	for i, c := range text {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

func (b *builder) lineAt(offset int) int {
	return sort.SearchInts(b.lineOffsets, offset+1)
}
