package table

import (
	"crypto/sha256"
	"slices"
	"strings"
)

// index holds the maps that lookups use. It is built once when a table is accepted and
// only read afterwards, so that requests may share it without a lock.
type index struct {
	// routes holds the indexes of routes by host and prefix.
	routes    map[routeKey]int
	services  map[string]int
	upstreams map[string]upstreamIndex
	// accounts holds the indexes of client accounts by the digests of their keys.
	accounts     map[[sha256.Size]byte]int
	accountNames map[string]int
	// depth is the number of segments of the longest prefix. Lookups compare no
	// more segments of a path, so that a path with thousands of them costs no more
	// than the table's own prefixes do.
	depth int
}

// routeKey identifies a route: its host in lower case, and its prefix without the
// trailing slash.
type routeKey struct{ host, prefix string }

type upstreamIndex struct{ service, upstream int }

func (t *Table) buildIndex() {
	x := index{
		routes:    make(map[routeKey]int, len(t.Routes)),
		services:  make(map[string]int, len(t.Services)),
		upstreams: make(map[string]upstreamIndex),
	}
	for i := range t.Routes {
		prefix := trimSlash(t.Routes[i].Prefix)
		x.routes[routeKey{strings.ToLower(t.Routes[i].Host), prefix}] = i
		x.depth = max(x.depth, strings.Count(prefix, "/"))
	}
	for i := range t.Services {
		x.services[t.Services[i].Name] = i
		for j := range t.Services[i].Upstreams {
			x.upstreams[t.Services[i].Upstreams[j].Name] = upstreamIndex{i, j}
		}
	}
	x.indexAccounts(t.Accounts)
	t.lookup = x
}

// Route finds the route of a host with the longest prefix that the path begins
// with, in whole segments: the prefix /a matches /a, /a/ and /a/b, not /ab. The
// calling code has to decode and clean the path. If no route of the host matches,
// Route searches the routes without a host.
func (t *Table) Route(host, path string) (*Route, bool) {
	path = trimSlash(firstSegments(path, t.lookup.depth))
	if r, ok := t.findRoute(strings.ToLower(host), path); ok {
		return r, true
	}
	return t.findRoute("", path)
}

// findRoute finds the route of exactly this host with the longest prefix of the path,
// which has no trailing slash.
func (t *Table) findRoute(host, path string) (*Route, bool) {
	for {
		if i, ok := t.lookup.routes[routeKey{host, path}]; ok {
			return &t.Routes[i], true
		}
		lastSlash := strings.LastIndexByte(path, '/')
		if lastSlash < 0 {
			return nil, false
		}
		path = path[:lastSlash]
	}
}

// firstSegments returns the first n segments of a path that begins with a slash.
func firstSegments(path string, n int) string {
	for i := range len(path) {
		if path[i] != '/' {
			continue
		}
		if n == 0 {
			return path[:i]
		}
		n--
	}
	return path
}

// Service finds a service by its name.
func (t *Table) Service(name string) (*Service, bool) {
	i, ok := t.lookup.services[name]
	if !ok {
		return nil, false
	}
	return &t.Services[i], true
}

// Upstream finds an upstream and its service by the upstream's name, which is
// unique in the whole table.
func (t *Table) Upstream(name string) (*Service, *Upstream, bool) {
	position, ok := t.lookup.upstreams[name]
	if !ok {
		return nil, nil, false
	}
	service := &t.Services[position.service]
	return service, &service.Upstreams[position.upstream], true
}

// MayRepeat reports whether a request by this route with the method may run more
// than once.
func (r *Route) MayRepeat(method string) bool {
	if r.Repeatable == nil {
		return slices.Contains(defaultRepeatable, method)
	}
	return slices.Contains(r.Repeatable, method) || slices.Contains(r.Repeatable, AnyMethod)
}

func trimSlash(path string) string {
	return strings.TrimSuffix(path, "/")
}
