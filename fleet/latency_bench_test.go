package fleet_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/fleet"
)

// concurrency is the number of slots of one upstream in the Sicily deployment.
const concurrency = 3

// requestPath is one of several ways for a request to reach the same backend server.
type requestPath struct {
	name    string
	address string
}

// requestPaths starts two nodes, of which one has the only upstream, and returns the
// direct path to the backend server, the path through its own node and the path through
// the other node.
func requestPaths(tb testing.TB) []requestPath {
	tb.Helper()
	c := newTable(1)
	c.Services[0].Queue = 64
	f, err := fleet.Start(tb.Context(), fleet.Config{Table: c})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(f.Close)
	peer, err := f.AddMember(tb.Context(), "peer", "palermo")
	if err != nil {
		tb.Fatal(err)
	}
	<-peer.Node.InForce()
	return []requestPath{
		{"direct", f.Backends["conferme-1"].Address()},
		{"local", f.Members[0].Caller},
		{"peer", peer.Caller},
	}
}

// measureLatencies sends n requests from concurrency callers and returns the sorted
// latencies.
func measureLatencies(tb testing.TB, address string, n int) []time.Duration {
	tb.Helper()
	client := &fasthttp.HostClient{Addr: address, MaxConns: concurrency}
	latencies := make([]time.Duration, n)
	var group sync.WaitGroup
	for caller := range concurrency {
		group.Go(func() {
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(request)
			defer fasthttp.ReleaseResponse(response)
			request.SetRequestURI("http://" + address + "/conferme/turno?size=1000")
			for i := caller; i < n; i += concurrency {
				began := time.Now()
				if err := client.Do(request, response); err != nil || response.StatusCode() != fasthttp.StatusOK {
					tb.Errorf("got %v and status %d, want 200", err, response.StatusCode())
					return
				}
				latencies[i] = time.Since(began)
			}
		})
	}
	group.Wait()
	slices.Sort(latencies)
	return latencies
}

// quantile returns the q-quantile of sorted latencies, in microseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds())
}

// BenchmarkPath measures the same request directly to the backend server, through the
// node beside the backend server, and through a peer.
func BenchmarkPath(b *testing.B) {
	for _, path := range requestPaths(b) {
		b.Run(path.name, func(b *testing.B) {
			measureLatencies(b, path.address, 300)
			b.ReportAllocs()
			b.ResetTimer()
			latencies := measureLatencies(b, path.address, b.N)
			b.ReportMetric(quantile(latencies, 0.5), "p50-µs")
			b.ReportMetric(quantile(latencies, 0.99), "p99-µs")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}
