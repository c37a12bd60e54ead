package table

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is one difference between two versions of a table.
type Change struct {
	// Kind is Added, Removed or Changed.
	Kind ChangeKind
	// Path names the part and its key as Fault.Where does, for example
	// "service bacheca: floor".
	Path string
	// From and To are the values before and after; From is empty for what was
	// added, To for what was removed.
	From, To string
}

// ChangeKind says how a part differs between two versions of a table.
type ChangeKind string

// The kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// String returns the change as one line of text.
func (c Change) String() string {
	switch c.Kind {
	case Added:
		return fmt.Sprintf("added %s: %s", c.Path, c.To)
	case Removed:
		return fmt.Sprintf("removed %s: %s", c.Path, c.From)
	default:
		return fmt.Sprintf("changed %s: %s to %s", c.Path, c.From, c.To)
	}
}

// Diff returns the differences between two tables: first the table's own keys, then
// services with their upstreams, routes, callers and accounts. A different order of
// the same parts isn't a change. A nil table counts as empty.
func Diff(older, newer *Table) []Change {
	if older == nil {
		older = new(Table)
	}
	if newer == nil {
		newer = new(Table)
	}
	var d differ
	d.diffValues("", *older, *newer)
	diffParts(&d, "", serviceParts, older.Services, newer.Services)
	diffParts(&d, "", routeParts, older.Routes, newer.Routes)
	diffParts(&d, "", callerParts, older.Callers, newer.Callers)
	diffParts(&d, "", accountParts, older.Accounts, newer.Accounts)
	return d.changes
}

// partKind says how parts of one kind, such as services, are identified and compared.
type partKind[T any] struct {
	label string
	// name returns a part's name, which is unique in its list.
	name func(*T) string
	// quickEqual is a cheap comparison that saves the one by key for most equal
	// parts. It may return false for equal parts.
	quickEqual func(a, b *T) bool
}

var (
	serviceParts  = partKind[Service]{"service", func(s *Service) string { return s.Name }, sameService}
	upstreamParts = partKind[Upstream]{
		"upstream",
		func(u *Upstream) string { return u.Name },
		func(a, b *Upstream) bool { return *a == *b },
	}
	routeParts = partKind[Route]{
		"route",
		func(r *Route) string { return r.Host + r.Prefix },
		sameRoute,
	}
	callerParts = partKind[Caller]{
		"caller",
		func(c *Caller) string { return c.Name },
		func(a, b *Caller) bool { return *a == *b },
	}
	accountParts = partKind[Account]{
		"account",
		func(a *Account) string { return a.Name },
		func(a, b *Account) bool { return reflect.DeepEqual(a, b) },
	}
)

func sameRoute(a, b *Route) bool {
	return a.Service == b.Service && a.Timeout == b.Timeout && a.LatencyTarget == b.LatencyTarget &&
		a.MaxAttempts == b.MaxAttempts && a.Priority == b.Priority && a.Public == b.Public &&
		slices.Equal(a.Shares, b.Shares) && slices.Equal(a.Repeatable, b.Repeatable)
}

func sameService(a, b *Service) bool {
	aRest, bRest := *a, *b
	aRest.Upstreams, bRest.Upstreams = nil, nil
	return slices.Equal(a.Upstreams, b.Upstreams) && reflect.DeepEqual(aRest, bRest)
}

// differ collects the changes between two tables.
type differ struct{ changes []Change }

// diffParts compares two lists of parts by name. Most parts have the same index in both
// lists, so a map of the older list is built only at the first that doesn't.
func diffParts[T any](d *differ, path string, kind partKind[T], older, newer []T) {
	var olderByName map[string]int
	matched := 0
	for i := range newer {
		name := kind.name(&newer[i])
		j, ok := i, i < len(older) && kind.name(&older[i]) == name
		if !ok {
			if olderByName == nil {
				olderByName = kind.indexByName(older)
			}
			j, ok = olderByName[name]
		}
		if !ok {
			d.addPart(joinPath(path, kind.label+" "+name), newer[i])
			continue
		}
		matched++
		if !kind.quickEqual(&older[j], &newer[i]) {
			d.diffPart(joinPath(path, kind.label+" "+name), older[j], newer[i])
		}
	}
	if matched == len(older) {
		return
	}
	newerByName := kind.indexByName(newer)
	for i := range older {
		name := kind.name(&older[i])
		if _, ok := newerByName[name]; !ok {
			d.changes = append(d.changes, Change{
				Kind: Removed, Path: joinPath(path, kind.label+" "+name), From: summary(older[i]),
			})
		}
	}
}

func (k partKind[T]) indexByName(list []T) map[string]int {
	indexes := make(map[string]int, len(list))
	for i := range list {
		indexes[k.name(&list[i])] = i
	}
	return indexes
}

// addPart records a new part and its children, such as the upstreams of a service.
func (d *differ) addPart(path string, part any) {
	d.changes = append(d.changes, Change{Kind: Added, Path: path, To: summary(part)})
	d.diffChildren(path, nil, part)
}

func (d *differ) diffPart(path string, older, newer any) {
	d.diffValues(path, older, newer)
	d.diffChildren(path, older, newer)
}

// diffChildren compares the named parts within a part: the upstreams of a service.
func (d *differ) diffChildren(path string, older, newer any) {
	if s, ok := newer.(Service); ok {
		before, _ := older.(Service)
		diffParts(d, path, upstreamParts, before.Upstreams, s.Upstreams)
	}
}

// diffValues compares the values of one part key by key, and those of structs within it,
// such as an objective. It skips lists of parts, which diffParts compares by name.
func (d *differ) diffValues(path string, older, newer any) {
	before, after := reflect.ValueOf(older), reflect.ValueOf(newer)
	for i, f := range reflect.VisibleFields(after.Type()) {
		if !f.IsExported() || isList(f.Type) {
			continue
		}
		fieldPath := joinPath(path, keyOf(&f))
		from, to := before.Field(i).Interface(), after.Field(i).Interface()
		if f.Type.Kind() == reflect.Struct {
			d.diffValues(fieldPath, from, to)
			continue
		}
		if a, b := fmt.Sprint(from), fmt.Sprint(to); a != b {
			d.changes = append(d.changes, Change{Kind: Changed, Path: fieldPath, From: a, To: b})
		}
	}
}

// isList reports whether t is a list of parts, such as the upstreams of a service.
func isList(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct
}

// summary returns the keys and values of a part on one line.
func summary(part any) string {
	v := reflect.ValueOf(part)
	var entries []string
	for i, f := range reflect.VisibleFields(v.Type()) {
		key := keyOf(&f)
		switch {
		case key == "name" || key == "prefix":
		case f.Tag.Get("diff") == "unless-zero" && v.Field(i).IsZero():
		case isList(f.Type):
			entries = append(entries, fmt.Sprintf("%d %ss", v.Field(i).Len(), key))
		case f.Type.Kind() == reflect.Struct:
			entries = append(entries, summary(v.Field(i).Interface()))
		default:
			entries = append(entries, fmt.Sprintf("%s %v", key, v.Field(i).Interface()))
		}
	}
	return strings.Join(entries, ", ")
}

// keyOf returns a field's key in the text of a table, or its name in lower case if no
// text sets the field.
func keyOf(f *reflect.StructField) string {
	if key := f.Tag.Get("toml"); key != "-" {
		return key
	}
	return strings.ToLower(f.Name)
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + ": " + key
}
