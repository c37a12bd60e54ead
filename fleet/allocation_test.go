//go:build !race

package fleet_test

import (
	"runtime"
	"testing"
)

// TestPathAllocations limits the allocations per request that a node adds to a direct
// connection. Memory is the part of a request's cost that doesn't depend on the machine.
func TestPathAllocations(t *testing.T) {
	const requests = 2000
	paths := requestPaths(t)
	allocations := func(p requestPath) float64 {
		measureLatencies(t, p.address, 300)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		measureLatencies(t, p.address, requests)
		runtime.ReadMemStats(&after)
		return float64(after.Mallocs-before.Mallocs) / requests
	}
	direct := allocations(paths[0])
	for _, tt := range []struct {
		path requestPath
		want float64
	}{{paths[1], 45}, {paths[2], 70}} {
		if got := allocations(tt.path) - direct; got > tt.want {
			t.Errorf("%s: got %.0f allocations more than a direct connection, want at most %.0f", tt.path.name, got, tt.want)
		}
	}
}
