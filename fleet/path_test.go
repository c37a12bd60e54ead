package fleet_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/fleet"
)

// slots is the concurrency of the brief's slots for one upstream in Sicily.
const slots = 3

// way is one way to the same backend server.
type way struct {
	name    string
	address string
}

// ways starts two nodes of which one is beside the only upstream.
func ways(tb testing.TB) []way {
	tb.Helper()
	c := deployment(1)
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
	return []way{
		{"direct", f.Backends["conferme-1"].Address()},
		{"local", f.Members[0].Caller},
		{"peer", peer.Caller},
	}
}

// load sends n requests over slots callers at once and returns how long each
// took, sorted.
func load(tb testing.TB, address string, n int) []time.Duration {
	tb.Helper()
	client := &fasthttp.HostClient{Addr: address, MaxConns: slots}
	took := make([]time.Duration, n)
	var group sync.WaitGroup
	for caller := range slots {
		group.Go(func() {
			request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			defer fasthttp.ReleaseRequest(request)
			defer fasthttp.ReleaseResponse(response)
			request.SetRequestURI("http://" + address + "/conferme/turno?size=1000")
			for i := caller; i < n; i += slots {
				began := time.Now()
				if err := client.Do(request, response); err != nil || response.StatusCode() != fasthttp.StatusOK {
					tb.Errorf("got %v and status %d, want 200", err, response.StatusCode())
					return
				}
				took[i] = time.Since(began)
			}
		})
	}
	group.Wait()
	slices.Sort(took)
	return took
}

func quantile(sorted []time.Duration, q float64) float64 {
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds())
}

// BenchmarkPath measures the same request straight to the backend server,
// through the node beside it, and through a peer.
func BenchmarkPath(b *testing.B) {
	for _, w := range ways(b) {
		b.Run(w.name, func(b *testing.B) {
			load(b, w.address, 300)
			b.ReportAllocs()
			b.ResetTimer()
			took := load(b, w.address, b.N)
			b.ReportMetric(quantile(took, 0.5), "p50-µs")
			b.ReportMetric(quantile(took, 0.99), "p99-µs")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
		})
	}
}
