package table

import (
	"fmt"
	"reflect"
	"strings"
)

// Change is one difference between two editions of a table.
type Change struct {
	// What is "added", "removed" or "changed".
	What What
	// Where names the part and its key, as faults do.
	Where string
	// From and To are the values before and after; From is empty for what was
	// added, To for what was removed.
	From, To string
}

// What says how a part differs between two editions.
type What string

// The values of What.
const (
	Added   What = "added"
	Removed What = "removed"
	Changed What = "changed"
)

// String writes the change on one line.
func (c Change) String() string {
	switch c.What {
	case Added:
		return fmt.Sprintf("added %s: %s", c.Where, c.To)
	case Removed:
		return fmt.Sprintf("removed %s: %s", c.Where, c.From)
	default:
		return fmt.Sprintf("changed %s: %s to %s", c.Where, c.From, c.To)
	}
}

// Diff lists what is different in the newer of two tables, in the order of the
// tables: services with their upstreams, then routes, then callers. The order
// in which a table names its parts makes no difference. A nil table is empty.
func Diff(older, newer *Table) []Change {
	if older == nil {
		older = new(Table)
	}
	if newer == nil {
		newer = new(Table)
	}
	var d differ
	d.values("", *older, *newer)
	parts(&d, "", "service", older.Services, newer.Services, func(s Service) string { return s.Name })
	parts(&d, "", "route", older.Routes, newer.Routes, func(r Route) string { return r.Prefix })
	parts(&d, "", "caller", older.Callers, newer.Callers, func(c Caller) string { return c.Name })
	return d.changes
}

type differ struct{ changes []Change }

// parts compares two lists whose elements go by a name that is unique in each.
func parts[T any](d *differ, where, kind string, older, newer []T, name func(T) string) {
	before := make(map[string]T, len(older))
	for _, part := range older {
		before[name(part)] = part
	}
	kept := make(map[string]bool, len(newer))
	for _, part := range newer {
		place := join(where, kind+" "+name(part))
		kept[name(part)] = true
		if old, ok := before[name(part)]; ok {
			d.part(place, old, part)
			continue
		}
		d.changes = append(d.changes, Change{What: Added, Where: place, To: summary(part)})
		var none T
		d.inner(place, none, part)
	}
	for _, part := range older {
		if !kept[name(part)] {
			d.changes = append(d.changes, Change{What: Removed, Where: join(where, kind+" "+name(part)), From: summary(part)})
		}
	}
}

func (d *differ) part(where string, older, newer any) {
	d.values(where, older, newer)
	d.inner(where, older, newer)
}

// inner compares what stands within a part under names of its own.
func (d *differ) inner(where string, older, newer any) {
	if s, ok := newer.(Service); ok {
		before, _ := older.(Service)
		parts(d, where, "upstream", before.Upstreams, s.Upstreams, func(u Upstream) string { return u.Name })
	}
}

// values compares the keys of one part, and of its objective. Lists of parts
// are compared by name elsewhere.
func (d *differ) values(where string, older, newer any) {
	before, after := reflect.ValueOf(older), reflect.ValueOf(newer)
	for i, f := range reflect.VisibleFields(after.Type()) {
		if !f.IsExported() || isList(f.Type) {
			continue
		}
		place := join(where, f.Tag.Get("toml"))
		from, to := before.Field(i).Interface(), after.Field(i).Interface()
		if f.Type.Kind() == reflect.Struct {
			d.values(place, from, to)
			continue
		}
		if a, b := fmt.Sprint(from), fmt.Sprint(to); a != b {
			d.changes = append(d.changes, Change{What: Changed, Where: place, From: a, To: b})
		}
	}
}

func isList(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct
}

// summary writes the keys and values of a part on one line.
func summary(part any) string {
	v := reflect.ValueOf(part)
	var words []string
	for i, f := range reflect.VisibleFields(v.Type()) {
		key := f.Tag.Get("toml")
		switch {
		case key == "name" || key == "prefix":
		case isList(f.Type):
			words = append(words, fmt.Sprintf("%d %ss", v.Field(i).Len(), key))
		case f.Type.Kind() == reflect.Struct:
			words = append(words, summary(v.Field(i).Interface()))
		default:
			words = append(words, fmt.Sprintf("%s %v", key, v.Field(i).Interface()))
		}
	}
	return strings.Join(words, ", ")
}

func join(where, key string) string {
	if where == "" {
		return key
	}
	return where + ": " + key
}
