package access_test

import (
	"fmt"
	"runtime"
	"testing"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

// fillLog adds the records of requests of many callers, services and upstreams, one in ten of
// them refused, over three days, so that each time bucket of the burn meter is in use.
func fillLog(l *access.Log, requests, callers, services int) {
	const duration = 3 * clock.Day
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
		l.RequestReceived()
		l.RequestFinished(clock.Millis(i)*duration/clock.Millis(requests), r)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A crawler invents a caller name for each request. If totals by caller grow without limit,
// the node runs out of memory.
func TestMemoryIsBounded(t *testing.T) {
	before := heapBytes()
	l := access.New(access.Config{})
	fillLog(l, 200_000, 1_300_000, 24)
	got := int64(heapBytes() - before)
	runtime.KeepAlive(l)
	// The log took 6.7 MB with 1.3 million callers; see BenchmarkMemory.
	const want = 10 << 20
	if got > want {
		t.Errorf("got a log of %d bytes, want at most %d", got, want)
	}
}

// Each request adds a record, so adding the record of a known caller must not allocate.
func TestRequestFinishedDoesNotAllocate(t *testing.T) {
	l := access.New(access.Config{Records: 64})
	r := access.Record{ID: "id", Caller: "hotel", Service: "bacheca", Upstream: "bacheca-1", Outcome: access.Served}
	got := testing.AllocsPerRun(1000, func() {
		l.RequestReceived()
		l.RequestFinished(1, r)
	})
	if got > 0 {
		t.Errorf("got %v allocations per record, want 0", got)
	}
}

// BenchmarkMemory measures the memory of a log for growing numbers of callers and services,
// after its limits are reached.
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
				before := heapBytes()
				log := access.New(access.Config{})
				log.SetServices(make([]table.Service, 1))
				fillLog(log, 400_000, size.callers, size.services)
				b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MB")
				runtime.KeepAlive(log)
			}
		})
	}
}

// BenchmarkSnapshot measures the time that a node takes to answer a report.
func BenchmarkSnapshot(b *testing.B) {
	for _, filter := range []access.Filter{{Limit: 400}, {Limit: 400, Since: clock.Hour}, {}} {
		b.Run(filter.Query(), func(b *testing.B) {
			log := access.New(access.Config{})
			fillLog(log, 400_000, 1_300_000, 24)
			for b.Loop() {
				log.Snapshot(3*clock.Day, filter)
			}
		})
	}
}

// BenchmarkCloseParallel measures the cost of a record when all cores add records.
func BenchmarkCloseParallel(b *testing.B) {
	log := access.New(access.Config{})
	b.RunParallel(func(pb *testing.PB) {
		r := access.Record{ID: "id", Caller: "caller", Service: "bacheca", Upstream: "bacheca-1", Outcome: access.Served}
		for pb.Next() {
			log.RequestReceived()
			log.RequestFinished(1, r)
		}
	})
}
