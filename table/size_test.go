package table_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"fuchsiapick.example/fuchsiapick/table"
)

// upstreamsPerService is the planned average: the project is designed for 200,000
// upstreams in 4,100 services.
const upstreamsPerService = 49

// tableOfSize returns the text of a table with the given number of services and 46 routes
// for each, because the project is designed for 190,000 routes in 4,100 services.
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

// sizes are numbers of services. The last gives about the largest table that the platform
// stores in one value.
var sizes = []int{5, 20, 50, 100}

// BenchmarkParse measures the time of Parse and the memory that a parsed table holds,
// for tables of several sizes.
func BenchmarkParse(b *testing.B) {
	for _, services := range sizes {
		text := []byte(tableOfSize(services))
		b.Run(fmt.Sprintf("upstreams=%d", services*upstreamsPerService), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			var parsed *table.Table
			before := heapInUse()
			for b.Loop() {
				got, err := table.Parse(text)
				if err != nil {
					b.Fatal(err)
				}
				parsed = got
			}
			upstreams := float64(services * upstreamsPerService)
			b.ReportMetric(float64(heapInUse()-before)/upstreams, "held-B/upstream")
			b.ReportMetric(float64(len(text))/upstreams, "text-B/upstream")
			runtime.KeepAlive(parsed)
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

// Guards against allocations of Parse that grow faster than the table, for example by a
// search through all names for each name. An edit of a large table would then stall all
// nodes at the same time.
func TestParseAllocationsGrowLinearly(t *testing.T) {
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

// BenchmarkDiff measures Diff for one changed value. Nodes run Diff for each table that
// they accept.
func BenchmarkDiff(b *testing.B) {
	for _, services := range sizes {
		text := tableOfSize(services)
		older := mustParse(b, text)
		newer := mustParse(b, strings.Replace(text, "slots = 7", "slots = 6", 1))
		b.Run(fmt.Sprintf("upstreams=%d", services*upstreamsPerService), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				// The default queue depends on the most slots of any upstream in the
				// service. Other upstreams still have 7, so the queue doesn't change.
				if got := table.Diff(older, newer); len(got) != 1 {
					b.Fatalf("got %v, want one change", got)
				}
			}
		})
	}
}
