//go:build !race

package fleet_test

import (
	"runtime"
	"testing"
)

// TestPathAllocations bounds what a request allocates beyond the direct way,
// for memory is the part of its cost that doesn't depend on the machine.
func TestPathAllocations(t *testing.T) {
	const requests = 2000
	all := ways(t)
	count := func(w way) float64 {
		load(t, w.address, 300)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		load(t, w.address, requests)
		runtime.ReadMemStats(&after)
		return float64(after.Mallocs-before.Mallocs) / requests
	}
	direct := count(all[0])
	for _, tt := range []struct {
		way  way
		want float64
	}{{all[1], 45}, {all[2], 70}} {
		if got := count(tt.way) - direct; got > tt.want {
			t.Errorf("%s: got %.0f allocations beyond the direct way, want at most %.0f", tt.way.name, got, tt.want)
		}
	}
}
