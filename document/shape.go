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

// schemaChecker compares a tree with the type of the struct to fill, and collects all
// unknown keys and all values of a wrong kind. The decoder itself would stop at the
// first one, and it would accept a known key in a different letter case.
type schemaChecker struct {
	faults Faults
	// rejected are the nodes that the decoder must skip.
	rejected []*Node
	// keySets caches the keys of each struct type, because a table holds thousands of
	// values of one type.
	keySets map[reflect.Type]keySet
}

// keySet holds the types of a struct's fields by key, and the list of the keys for a
// fault.
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
		s.reject(n, "is "+describeKind(n), "a table")
		return
	}
	keys := s.keysOf(t)
	for _, f := range n.fields {
		if want, ok := keys.types[f.key]; ok {
			s.check(f, want)
		} else {
			s.reject(f, "unknown key", keys.allowed)
		}
	}
}

// ignoredTag marks a field that texts can't set.
const ignoredTag = "-"

func (s *schemaChecker) keysOf(t reflect.Type) keySet {
	if keys, ok := s.keySets[t]; ok {
		return keys
	}
	types := make(map[string]reflect.Type, t.NumField())
	for f := range t.Fields() {
		if key := f.Tag.Get("toml"); f.IsExported() && key != ignoredTag {
			types[key] = f.Type
		}
	}
	keys := keySet{types: types, allowed: joinKeys(types)}
	s.keySets[t] = keys
	return keys
}

// joinKeys returns the keys in alphabetical order, separated by commas.
func joinKeys(types map[string]reflect.Type) string {
	keys := make([]string, 0, len(types))
	for key := range types {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return strings.Join(keys, ", ")
}

func (s *schemaChecker) checkArray(n *Node, elem reflect.Type) {
	if n.kind != unstable.Array {
		s.reject(n, "is "+describeKind(n), describeArray(n, elem))
		return
	}
	for _, item := range n.items {
		s.check(item, elem)
	}
}

// describeArray says in a fault what an array of elem looks like in the text.
func describeArray(n *Node, elem reflect.Type) string {
	if elem.Kind() == reflect.Struct {
		return "tables that each begin with [[" + n.headerPath() + "]]"
	}
	return "an array of texts"
}

// headerPath returns the node's dotted key as a table header names it, such as
// "service.upstream".
func (n *Node) headerPath() string {
	if n.parent == nil {
		return ""
	}
	if n.position > 0 {
		return n.parent.headerPath()
	}
	if outer := n.parent.headerPath(); outer != "" {
		return outer + "." + n.key
	}
	return n.key
}

func (s *schemaChecker) checkDuration(n *Node) {
	const allowed = `a span in whole milliseconds, such as "250ms" or "5s"`
	if n.kind != unstable.String {
		s.reject(n, "is "+describeKind(n), allowed)
		return
	}
	var m clock.Millis
	if err := m.UnmarshalText(n.scalar); err != nil {
		s.reject(n, Quote(string(n.scalar))+" is not a span", allowed)
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
		s.reject(n, "is "+describeKind(n), allowed)
	}
}

// isDecimal reports whether n is a whole number in decimal digits. The decoder doesn't
// accept hexadecimal, octal and binary numbers, such as 0x10, for a float field.
func isDecimal(n *Node) bool {
	return isInteger(n) && !bytes.ContainsAny(n.scalar, "xob")
}

func isInteger(n *Node) bool {
	_, ok := n.Integer()
	return ok
}

// reject records a fault and makes the decoder skip the whole expression of the node.
func (s *schemaChecker) reject(n *Node, problem, allowed string) {
	s.faults = append(s.faults, Fault{Line: n.Line, Where: n.label(), Problem: problem, Allowed: allowed})
	n.rejected = true
	if n.expression != nil {
		n.expression.rejected = true
		n = n.expression
	}
	s.rejected = append(s.rejected, n)
}

// describeKind says in a fault what a value is. For a string, a number or another scalar
// this includes its first 80 bytes.
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
