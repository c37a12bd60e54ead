package document

import (
	"bytes"
	"reflect"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"fuchsiapick.example/fuchsiapick/clock"
)

var millisType = reflect.TypeFor[clock.Millis]()

// schemaChecker compares a tree with the struct that it is to fill and collects every
// unknown key and every value of a wrong kind. The decoder would stop at the
// first, and it would take a key in other letter case for a known one.
type schemaChecker struct {
	faults  Faults
	refused []*Node
	// keySets keeps the keys of each struct, for a table holds thousands of one
	// type.
	keySets map[reflect.Type]keySet
}

// keySet is the keys of a struct and, on one line, what a fault says of them.
type keySet struct {
	types   map[string]reflect.Type
	allowed string
}

func (s *schemaChecker) check(n *Node, t reflect.Type) {
	switch {
	case t == millisType:
		s.checkDuration(n)
	case t.Kind() == reflect.Struct:
		s.checkTable(n, t)
	case t.Kind() == reflect.Slice:
		s.checkArray(n, t.Elem())
	default:
		s.checkScalar(n, t)
	}
}

func (s *schemaChecker) checkTable(n *Node, t reflect.Type) {
	if n.kind != unstable.Table {
		s.refuse(n, "is "+describeKind(n), "a table")
		return
	}
	known := s.keysOf(t)
	for _, f := range n.fields {
		if want, ok := known.types[f.key]; ok {
			s.check(f, want)
		} else {
			s.refuse(f, "unknown key", known.allowed)
		}
	}
}

// ignoredTag is the tag of a field that no text fills.
const ignoredTag = "-"

func (s *schemaChecker) keysOf(t reflect.Type) keySet {
	if known, ok := s.keySets[t]; ok {
		return known
	}
	types := make(map[string]reflect.Type, t.NumField())
	for f := range t.Fields() {
		if key := f.Tag.Get("toml"); f.IsExported() && key != ignoredTag {
			types[key] = f.Type
		}
	}
	known := keySet{types: types, allowed: keyList(types)}
	s.keySets[t] = known
	return known
}

func keyList(known map[string]reflect.Type) string {
	keys := make([]string, 0, len(known))
	for key := range known {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return strings.Join(keys, ", ")
}

func (s *schemaChecker) checkArray(n *Node, elem reflect.Type) {
	if n.kind != unstable.Array {
		s.refuse(n, "is "+describeKind(n), arrayName(n, elem))
		return
	}
	for _, item := range n.items {
		s.check(item, elem)
	}
}

func arrayName(n *Node, elem reflect.Type) string {
	if elem.Kind() == reflect.Struct {
		return "tables that each begin with [[" + n.path() + "]]"
	}
	return "an array of texts"
}

// path writes a node's key as a table header does.
func (n *Node) path() string {
	if n.parent == nil {
		return ""
	}
	if n.position > 0 {
		return n.parent.path()
	}
	if outer := n.parent.path(); outer != "" {
		return outer + "." + n.key
	}
	return n.key
}

func (s *schemaChecker) checkDuration(n *Node) {
	const allowed = `a span in whole milliseconds, such as "250ms" or "5s"`
	if n.kind != unstable.String {
		s.refuse(n, "is "+describeKind(n), allowed)
		return
	}
	var m clock.Millis
	if err := m.UnmarshalText(n.scalar); err != nil {
		s.refuse(n, Quote(string(n.scalar))+" is not a span", allowed)
	}
}

func (s *schemaChecker) checkScalar(n *Node, t reflect.Type) {
	var ok bool
	var allowed string
	switch t.Kind() {
	case reflect.String:
		ok, allowed = n.kind == unstable.String, "a text in quotes"
	case reflect.Bool:
		ok, allowed = n.kind == unstable.Bool, "true or false"
	case reflect.Float64:
		ok, allowed = n.kind == unstable.Float || isDecimal(n), "a decimal number"
	case reflect.Uint64:
		value, whole := n.Integer()
		ok, allowed = whole && value >= 0, "a whole number from 0"
	case reflect.Int:
		ok, allowed = isInteger(n), "a whole number"
	default:
		allowed = "nothing: this release can't read the key"
	}
	if !ok {
		s.refuse(n, "is "+describeKind(n), allowed)
	}
}

// isDecimal leaves out 0x10 and its like, which the decoder takes for integers
// only.
func isDecimal(n *Node) bool {
	return isInteger(n) && !bytes.ContainsAny(n.scalar, "xob")
}

func isInteger(n *Node) bool {
	_, ok := n.Integer()
	return ok
}

func (s *schemaChecker) refuse(n *Node, problem, allowed string) {
	s.faults = append(s.faults, Fault{Line: n.Line, Where: n.label(), Problem: problem, Allowed: allowed})
	n.refused = true
	if n.expression != nil {
		n.expression.refused = true
		n = n.expression
	}
	s.refused = append(s.refused, n)
}

// describeKind says what a value is, with the value where it is short.
func describeKind(n *Node) string {
	switch n.kind {
	case unstable.Table:
		return "a table"
	case unstable.Array:
		return "an array"
	case unstable.String:
		return "the text " + Quote(string(n.scalar))
	default:
		return printable(string(n.scalar))
	}
}
