package access_test

import (
	"fmt"
	"runtime"
	"testing"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

// fill closes requests of many callers, services and upstreams, one in ten of
// them refused, over three days so that each time bucket is in use.
func fill(b *access.Log, requests, callers, services int) {
	const spread = 3 * clock.Day
	for i := range requests {
		service := i * 31 % services
		r := access.Record{
			ID: fmt.Sprintf("%032x", i), Caller: fmt.Sprint("caller-", i*7919%callers), Route: "/service/route",
			Service: fmt.Sprint("service-", service), Upstream: fmt.Sprint("upstream-", service, "-", i%49),
			Domain: "palermo", Method: "GET", Outcome: access.Served, Status: 200,
		}
		if i%10 == 0 {
			r.Outcome, r.Reason = access.NotRun, fmt.Sprint("reason-", i%7)
		}
		b.RequestReceived()
		b.RequestFinished(clock.Millis(i)*spread/clock.Millis(requests), r)
	}
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A node runs out of memory on the day that a crawler makes up a caller's name
// for each request: totals by caller grew without bound.
func TestMemoryIsBounded(t *testing.T) {
	before := heap()
	b := access.New(access.Config{})
	fill(b, 200_000, 1_300_000, 24)
	got := int64(heap() - before)
	runtime.KeepAlive(b)
	// 6.7 MB were measured with 1.3 million callers; see BenchmarkMemory.
	const want = 10 << 20
	if got > want {
		t.Errorf("got a book of %d bytes, want at most %d", got, want)
	}
}

// Each request pays for its record, so a record of a known caller must not
// allocate.
func TestCloseDoesNotAllocate(t *testing.T) {
	b := access.New(access.Config{Records: 64})
	r := access.Record{ID: "id", Caller: "hotel", Service: "bacheca", Upstream: "bacheca-1", Outcome: access.Served}
	got := testing.AllocsPerRun(1000, func() {
		b.RequestReceived()
		b.RequestFinished(1, r)
	})
	if got > 0 {
		t.Errorf("got %v allocations a record, want 0", got)
	}
}

// BenchmarkMemory gives the memory of a book at growing numbers of callers and
// of services, once its bounds are reached.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ callers, services int }{
		{1_000, 24},
		{10_000, 24},
		{100_000, 24},
		{1_300_000, 24},
		{1_300_000, 100},
		{1_300_000, 1_000},
		{1_300_000, 4_100},
	} {
		b.Run(fmt.Sprintf("callers=%d/services=%d", size.callers, size.services), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				book := access.New(access.Config{})
				book.SetServices(make([]table.Service, 1))
				fill(book, 400_000, size.callers, size.services)
				b.ReportMetric(float64(heap()-before)/(1<<20), "MB")
				runtime.KeepAlive(book)
			}
		})
	}
}

// BenchmarkSnapshot gives the time of a node's answer to a report.
func BenchmarkSnapshot(b *testing.B) {
	for _, filter := range []access.Filter{{Limit: 400}, {Limit: 400, Since: clock.Hour}, {}} {
		b.Run(filter.Query(), func(b *testing.B) {
			book := access.New(access.Config{})
			fill(book, 400_000, 1_300_000, 24)
			for b.Loop() {
				book.Snapshot(3*clock.Day, filter)
			}
		})
	}
}

// BenchmarkCloseParallel gives the cost of a record with all cores at it.
func BenchmarkCloseParallel(b *testing.B) {
	book := access.New(access.Config{})
	b.RunParallel(func(pb *testing.PB) {
		r := access.Record{ID: "id", Caller: "caller", Service: "bacheca", Upstream: "bacheca-1", Outcome: access.Served}
		for pb.Next() {
			book.RequestReceived()
			book.RequestFinished(1, r)
		}
	})
}
