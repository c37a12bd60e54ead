package document

import (
	"bytes"
	"sort"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2/unstable"
)

// treeBuilder builds the tree of a text from its expressions. It accepts some things that
// TOML forbids across expressions, such as a table that is defined twice. The decoder,
// which runs later, refuses them.
type treeBuilder struct {
	text        []byte
	lineOffsets []int
	root        *Node
	faults      Faults
	// duplicates lists repeated keys. The decoder must skip them, because it would stop
	// at the first.
	duplicates []*Node
	// keys holds each different key once, and freeNodes the allocated nodes that
	// aren't used yet. Both save allocations: a table repeats a dozen keys thousands of
	// times.
	keys      map[string]string
	freeNodes []Node
}

// nodeBatchSize is the number of nodes in one allocation.
const nodeBatchSize = 128

func (b *treeBuilder) allocNode() *Node {
	if len(b.freeNodes) == 0 {
		b.freeNodes = make([]Node, nodeBatchSize)
	}
	n := &b.freeNodes[0]
	b.freeNodes = b.freeNodes[1:]
	return n
}

func (b *treeBuilder) internKey(data []byte) string {
	if key, ok := b.keys[string(data)]; ok {
		return key
	}
	key := string(data)
	b.keys[key] = key
	return key
}

// parseTree builds the tree of a text. The tree's faults are the keys given twice. A text
// that isn't valid TOML grammar gives an error and no tree.
func parseTree(text []byte) (*treeBuilder, error) {
	b := &treeBuilder{text: text, lineOffsets: findLineOffsets(text), keys: make(map[string]string)}
	b.root = &Node{Line: 1, kind: unstable.Table}
	var parser unstable.Parser
	parser.Reset(text)
	current := b.root
	for parser.NextExpression() {
		e := parser.Expression()
		switch e.Kind {
		case unstable.KeyValue:
			b.addKeyValue(current, nil, e)
		case unstable.Table:
			current = b.openTable(e)
		case unstable.ArrayTable:
			current = b.openArrayTable(e)
		default:
		}
	}
	if err := parser.Error(); err != nil {
		return nil, b.grammarFault(&parser, err)
	}
	return b, nil
}

func (b *treeBuilder) grammarFault(parser *unstable.Parser, err error) error {
	var parserErr *unstable.ParserError
	if !errors.As(err, &parserErr) {
		return Faults{{Problem: "not TOML: " + err.Error(), Allowed: "TOML 1.0"}}
	}
	offset := int(parser.Range(parserErr.Highlight).Offset)
	return Faults{{Line: b.lineAt(offset), Problem: "not TOML: " + parserErr.Message, Allowed: "TOML 1.0"}}
}

// openTable returns the table that a header line such as [a.b] names.
func (b *treeBuilder) openTable(e *unstable.Node) *Node {
	table := b.root
	for keys := e.Key(); keys.Next(); {
		table = b.descend(table, keys.Node(), nil)
	}
	b.setHeaderLine(table, e)
	return table
}

// openArrayTable adds a table to the array that a header line such as [[a.b]] names, and
// returns the new table.
func (b *treeBuilder) openArrayTable(e *unstable.Node) *Node {
	table := b.root
	for keys := e.Key(); keys.Next(); {
		key := keys.Node()
		if !keys.IsLast() {
			table = b.descend(table, key, nil)
			continue
		}
		array := table.Field(string(key.Data))
		if array == nil {
			array = b.addField(table, key, unstable.Array)
			b.setHeaderLine(array, e)
		}
		table = b.addItem(array, unstable.Table)
	}
	b.setHeaderLine(table, e)
	return table
}

// descend returns the table that one part of a dotted key names: an existing table, the
// last table of an array, or a new table.
func (b *treeBuilder) descend(table *Node, key *unstable.Node, expression *Node) *Node {
	next := table.Field(string(key.Data))
	if next == nil {
		next = b.addField(table, key, unstable.Table)
		next.expression = expression
	}
	if len(next.items) > 0 {
		return next.items[len(next.items)-1]
	}
	return next
}

// addKeyValue adds the value of a "key = value" to a table. Within an inline
// table, expression is the value of the whole line; otherwise it is nil.
func (b *treeBuilder) addKeyValue(table, expression *Node, e *unstable.Node) {
	for keys := e.Key(); keys.Next(); {
		key := keys.Node()
		if !keys.IsLast() {
			table = b.descend(table, key, expression)
			continue
		}
		n := b.newNode(table, key, unstable.Invalid)
		n.start, n.end = int(e.Raw.Offset), int(e.Raw.Offset+e.Raw.Length)
		n.expression = expression
		if table.Has(n.key) {
			b.rejectDuplicate(n)
		} else {
			table.addField(n)
		}
		b.setValue(n, e.Value())
	}
}

// rejectDuplicate records the fault of a repeated key, and makes the decoder skip the
// whole expression of the node.
func (b *treeBuilder) rejectDuplicate(n *Node) {
	skipped := n
	if n.expression != nil {
		skipped = n.expression
	}
	b.duplicates = append(b.duplicates, skipped)
	b.faults = append(b.faults, Fault{
		Line: n.Line, Where: n.label(), Problem: "given twice", Allowed: "once",
	})
}

// setValue sets the kind of a node, and its scalar, items or fields, from the value v.
func (b *treeBuilder) setValue(n *Node, v *unstable.Node) {
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
			b.setValue(item, it.Node())
		}
	case unstable.InlineTable:
		n.kind = unstable.Table
		for it := v.Children(); it.Next(); {
			b.addKeyValue(n, expression, it.Node())
		}
	default:
		n.scalar = v.Data
	}
}

func (b *treeBuilder) addField(parent *Node, key *unstable.Node, kind unstable.Kind) *Node {
	n := b.newNode(parent, key, kind)
	parent.addField(n)
	return n
}

func (b *treeBuilder) newNode(parent *Node, key *unstable.Node, kind unstable.Kind) *Node {
	n := b.allocNode()
	n.Line = b.lineAt(int(key.Raw.Offset))
	n.kind, n.parent, n.key = kind, parent, b.internKey(key.Data)
	return n
}

func (b *treeBuilder) addItem(array *Node, kind unstable.Kind) *Node {
	n := b.allocNode()
	n.Line, n.kind, n.parent, n.position = array.Line, kind, array, len(array.items)+1
	array.items = append(array.items, n)
	return n
}

// setHeaderLine sets the line of a table and its bounds to the line of its header.
func (b *treeBuilder) setHeaderLine(n *Node, header *unstable.Node) {
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

// findLineOffsets returns the offset of each line's first byte.
func findLineOffsets(text []byte) []int {
	starts := make([]int, 1, 1+bytes.Count(text, []byte{'\n'}))
	for i, c := range text {
		if c == '\n' {
			starts = append(starts, i+1)
		}
	}
	return starts
}

// lineAt returns the line of the byte at the offset, from 1.
func (b *treeBuilder) lineAt(offset int) int {
	return sort.SearchInts(b.lineOffsets, offset+1)
}
