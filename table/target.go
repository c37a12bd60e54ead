package table

import "strings"

// Target is a request target (RFC 9112, 3.2) in the parts that select a route, each as its caller sent it:
// nothing is decoded, and no segment is resolved or removed.
type Target struct {
	// Authority is the host and the port of a target in absolute form; empty in all other forms.
	Authority string
	// Path is what precedes the query. A target that names no path, such as "*", has none.
	Path string
}

// ParseTarget splits a request target.
func ParseTarget(target string) Target {
	target, _, _ = strings.Cut(target, "?")
	if strings.HasPrefix(target, "/") {
		return Target{Path: target}
	}
	scheme, rest, ok := strings.Cut(target, "://")
	if !ok || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return Target{}
	}
	if slash := strings.IndexByte(rest, '/'); slash >= 0 {
		return Target{Authority: rest[:slash], Path: rest[slash:]}
	}
	return Target{Authority: rest}
}
