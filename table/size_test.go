package table_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"fuchsiapick.example/fuchsiapick/table"
)

// upstreamsPerService is that of the size to design for: 200,000 in 4,100.
const upstreamsPerService = 49

// tableOfSize writes a table with so many services and a route for each of 46,
// as the size to design for has 190,000 routes in 4,100 services.
func tableOfSize(services int) string {
	var b strings.Builder
	b.WriteString("format = 1\nversion = 1\n")
	for s := range services {
		fmt.Fprintf(&b, "[[service]]\nname = \"service-%d\"\n", s)
		for u := range upstreamsPerService {
			i := s*upstreamsPerService + u
			ip := fmt.Sprintf("10.%d.%d.%d", i>>16&255, i>>8&255, i&255)
			fmt.Fprintf(&b, "[[service.upstream]]\nname = \"u-%d\"\naddress = \"%s:8080\"\nnode = \"%s:7000\"\ndomain = \"domain-%d\"\nslots = 7\n", i, ip, ip, i%42)
		}
	}
	for s := range services {
		for r := range 46 {
			fmt.Fprintf(&b, "[[route]]\nprefix = \"/service-%d/route-%d/\"\nservice = \"service-%d\"\n", s, r, s)
		}
	}
	return b.String()
}

// sizes reach to the largest table that one value of the platform holds.
var sizes = []int{5, 20, 50, 100}

// BenchmarkParse measures what a table costs by its size: the time of Parse,
// and the memory that a parsed table holds.
func BenchmarkParse(b *testing.B) {
	for _, services := range sizes {
		text := []byte(tableOfSize(services))
		b.Run(fmt.Sprintf("upstreams=%d", services*upstreamsPerService), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			var kept *table.Table
			before := heapInUse()
			for b.Loop() {
				got, err := table.Parse(text)
				if err != nil {
					b.Fatal(err)
				}
				kept = got
			}
			upstreams := float64(services * upstreamsPerService)
			b.ReportMetric(float64(heapInUse()-before)/upstreams, "held-B/upstream")
			b.ReportMetric(float64(len(text))/upstreams, "text-B/upstream")
			runtime.KeepAlive(kept)
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// A table that grows to what the platform holds must not cost more for each of
// its parts than a small one does: a search through all names for each name
// would let an edit late in the growth stall every node at once.
func TestParseGrowsInStep(t *testing.T) {
	allocations := func(services int) float64 {
		text := []byte(tableOfSize(services))
		return testing.AllocsPerRun(2, func() {
			if _, err := table.Parse(text); err != nil {
				t.Fatal(err)
			}
		}) / float64(services)
	}
	small, large := allocations(sizes[0]), allocations(sizes[len(sizes)-1])
	if large > 1.2*small {
		t.Errorf("got %.0f allocations a service at the largest size, want at most 1.2 times the %.0f at the smallest", large, small)
	}
}

// BenchmarkDiff measures what accounting for one changed weight costs, at each
// accepted edition of a table.
func BenchmarkDiff(b *testing.B) {
	for _, services := range sizes {
		text := tableOfSize(services)
		older := mustParse(b, text)
		newer := mustParse(b, strings.Replace(text, "slots = 7", "slots = 6", 1))
		b.Run(fmt.Sprintf("upstreams=%d", services*upstreamsPerService), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				// The slots and the queue that follows from them by default stay
				// level, for other upstreams have more.
				if got := table.Diff(older, newer); len(got) != 1 {
					b.Fatalf("got %v, want one change", got)
				}
			}
		})
	}
}
