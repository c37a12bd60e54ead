package table

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Change is one difference between two editions of a table.
type Change struct {
	// Kind is "added", "removed" or "changed".
	Kind ChangeKind
	// Path names the part and its key, as faults do.
	Path string
	// From and To are the values before and after; From is empty for what was
	// added, To for what was removed.
	From, To string
}

// ChangeKind says how a part differs between two editions.
type ChangeKind string

// The values of What.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// String writes the change on one line.
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

// Diff lists what is different in the newer of two tables, in the order of the
// tables: services with their upstreams, then routes, callers and accounts. The order
// in which a table names its parts makes no difference. A nil table is empty.
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

// partKind says how parts of one kind are told apart and compared.
type partKind[T any] struct {
	label string
	// name is unique in a list.
	name func(*T) string
	// quickEqual is a quick look that spares equal parts the comparison by key. It
	// may say false of equal parts.
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
	x, y := *a, *b
	x.Upstreams, y.Upstreams = nil, nil
	return slices.Equal(a.Upstreams, b.Upstreams) && reflect.DeepEqual(x, y)
}

type differ struct{ changes []Change }

// diffParts compares two lists. Mostly the same part stands at the same place in
// both, and only where it does not is a map of the older list made.
func diffParts[T any](d *differ, where string, kind partKind[T], older, newer []T) {
	var places map[string]int
	matched := 0
	for i := range newer {
		name := kind.name(&newer[i])
		j, ok := i, i < len(older) && kind.name(&older[i]) == name
		if !ok {
			if places == nil {
				places = kind.indexByName(older)
			}
			j, ok = places[name]
		}
		if !ok {
			d.added(join(where, kind.label+" "+name), newer[i])
			continue
		}
		matched++
		if !kind.quickEqual(&older[j], &newer[i]) {
			d.diffPart(join(where, kind.label+" "+name), older[j], newer[i])
		}
	}
	if matched == len(older) {
		return
	}
	kept := kind.indexByName(newer)
	for i := range older {
		name := kind.name(&older[i])
		if _, ok := kept[name]; !ok {
			d.changes = append(d.changes, Change{
				Kind: Removed, Path: join(where, kind.label+" "+name), From: summary(older[i]),
			})
		}
	}
}

func (k partKind[T]) indexByName(list []T) map[string]int {
	places := make(map[string]int, len(list))
	for i := range list {
		places[k.name(&list[i])] = i
	}
	return places
}

// added notes a new part, and each one that stands within it.
func (d *differ) added(where string, part any) {
	d.changes = append(d.changes, Change{Kind: Added, Path: where, To: summary(part)})
	d.diffChildren(where, nil, part)
}

func (d *differ) diffPart(where string, older, newer any) {
	d.diffValues(where, older, newer)
	d.diffChildren(where, older, newer)
}

// diffChildren compares what stands within a part under names of its own.
func (d *differ) diffChildren(where string, older, newer any) {
	if s, ok := newer.(Service); ok {
		before, _ := older.(Service)
		diffParts(d, where, upstreamParts, before.Upstreams, s.Upstreams)
	}
}

// diffValues compares the keys of one part, and of its objective. Lists of parts
// are compared by name elsewhere.
func (d *differ) diffValues(where string, older, newer any) {
	before, after := reflect.ValueOf(older), reflect.ValueOf(newer)
	for i, f := range reflect.VisibleFields(after.Type()) {
		if !f.IsExported() || isList(f.Type) {
			continue
		}
		place := join(where, keyOf(&f))
		from, to := before.Field(i).Interface(), after.Field(i).Interface()
		if f.Type.Kind() == reflect.Struct {
			d.diffValues(place, from, to)
			continue
		}
		if a, b := fmt.Sprint(from), fmt.Sprint(to); a != b {
			d.changes = append(d.changes, Change{Kind: Changed, Path: place, From: a, To: b})
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
		key := keyOf(&f)
		switch {
		case key == "name" || key == "prefix":
		case f.Tag.Get("diff") == "unless-zero" && v.Field(i).IsZero():
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

// keyOf is a field's key in a text, or its name where no text fills it.
func keyOf(f *reflect.StructField) string {
	if key := f.Tag.Get("toml"); key != "-" {
		return key
	}
	return strings.ToLower(f.Name)
}

func join(where, key string) string {
	if where == "" {
		return key
	}
	return where + ": " + key
}
