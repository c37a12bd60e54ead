package table

import (
	"crypto/sha256"
	"slices"
	"strings"

	"fuchsiapick.example/fuchsiapick/clock"
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

// Route finds the route that a request belongs to: of the routes of its host, the one with the longest prefix
// that begins the path. The path is that of the target as it was sent (ParseTarget) and is compared byte by byte.
// The prefix /a/ begins /a/ and /a/b, not /a; a prefix without the trailing slash takes whole segments: /a begins
// /a, /a/ and /a/b, not /ab. If no route of the host matches, Route searches the routes without a host.
func (t *Table) Route(host, path string) (*Route, bool) {
	if r, ok := t.findRoute(strings.ToLower(host), path); ok {
		return r, true
	}
	return t.findRoute("", path)
}

// findRoute finds the route of exactly this host with the longest prefix that begins the path.
func (t *Table) findRoute(host, path string) (*Route, bool) {
	end := segmentsEnd(path, t.lookup.depth)
	for end >= 0 {
		if i, ok := t.lookup.routes[routeKey{host, path[:end]}]; ok && t.Routes[i].begins(path, end) {
			return &t.Routes[i], true
		}
		end = strings.LastIndexByte(path[:end], '/')
	}
	return nil, false
}

// begins reports whether the route's prefix begins a path whose first end bytes are the prefix without its
// trailing slash.
func (r *Route) begins(path string, end int) bool {
	return end < len(path) || !strings.HasSuffix(r.Prefix, "/")
}

// segmentsEnd returns where the first n segments of a path that begins with a slash end.
func segmentsEnd(path string, n int) int {
	end := 0
	for range n + 1 {
		length := strings.IndexByte(path[end:], '/')
		if length < 0 {
			return len(path)
		}
		end += length + 1
	}
	return end - 1
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

// ShortestTimeout returns the shortest time that a request of any route may take, 0 without a route.
func (t *Table) ShortestTimeout() clock.Millis {
	var shortest clock.Millis
	for i := range t.Routes {
		if timeout := t.timeout(&t.Routes[i]); shortest == 0 || timeout < shortest {
			shortest = timeout
		}
	}
	return shortest
}

// timeout returns a route's timeout, or the shortest deadline of its services if it has none.
func (t *Table) timeout(r *Route) clock.Millis {
	if r.Timeout > 0 {
		return r.Timeout
	}
	if len(r.Shares) == 0 {
		return t.deadline(r.Service)
	}
	shortest := t.deadline(r.Shares[0].Service)
	for _, s := range r.Shares[1:] {
		shortest = min(shortest, t.deadline(s.Service))
	}
	return shortest
}

func (t *Table) deadline(service string) clock.Millis {
	s, ok := t.Service(service)
	if !ok {
		return DefaultDeadline
	}
	return s.Deadline
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
