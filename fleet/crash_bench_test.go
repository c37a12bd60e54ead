package fleet_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// BenchmarkCrashes sends one request to one node after the other, every 0.3 s, beside 350
// harmless ones a second, half of them the same: one that crashes its backend servers for
// 2 s, the same while some of these fail most requests at once by turns, and a harmless one
// beside backend servers that end by themselves twice a second. `later` is how often the
// deadly one reached a server later than 3 s after the third had ended. By hand: -bench
// Crashes -benchtime 84x.
func BenchmarkCrashes(b *testing.B) {
	for _, name := range []string{"deadly", "episodes", "themselves"} {
		b.Run(name, func(b *testing.B) { playCrashes(b, name) })
	}
}

func playCrashes(b *testing.B, name string) {
	const upstreams = 12
	c := deployment(upstreams)
	s := &c.Services[0]
	s.Caution, s.Floor, s.ExtraRetries, s.RetryWindow = table.ShortEpisodes, 0.7, 62, 10*clock.Second
	c.Routes[0].MaxAttempts, c.Routes[0].Repeatable = 3, []string{"GET"}
	f, err := fleet.Start(b.Context(), fleet.Config{Table: c, ServiceTime: 5})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	backend := func(i int) *standin.Backend { return f.Backends[fmt.Sprintf("conferme-%d", i%upstreams+1)] }
	fault := standin.Fault{Kind: standin.Crashes, Path: deadly, Downtime: 2 * clock.Second, CrashDelay: 40}
	for i := range upstreams {
		backend(i).SetFault(fault)
	}
	h := startHarmless(callers(f))
	third, settled, isSettled := time.Time{}, 0, false
	b.ResetTimer()
	for i := range b.N {
		if name != "themselves" {
			go func() { _, _ = outcomeOf(&fasthttp.Client{}, f.Members[i%upstreams].Caller, deadly) }()
		}
		if name == "episodes" {
			failing := fault
			failing.FailFastShare = 0.8 * float64(i%2)
			for j := range upstreams / 2 {
				backend(i*5 + j).SetFault(failing)
			}
		}
		if name == "themselves" && i%5 < 3 { // two a second
			go backend(i * 7).CrashFor(2 * clock.Second)
		}
		<-time.After(300 * time.Millisecond)
		switch {
		case third.IsZero() && crashes(f) >= 3:
			third = time.Now()
		case !third.IsZero() && !isSettled && time.Since(third) > 3*time.Second:
			settled, isSettled = arrivals(f), true
		}
	}
	h.end()
	b.ReportMetric(float64(crashes(f)), "crashes")
	b.ReportMetric(float64(arrivals(f)-settled), "later")
	b.ReportMetric(float64(h.served.Load())/float64(max(h.sent.Load(), 1)), "served")
	b.ReportMetric(float64(h.held.Load()), "held")
}

// arrivals is how often deadly requests reached a backend server.
func arrivals(f *fleet.Fleet) int {
	sum := 0
	for _, b := range f.Backends {
		for _, e := range b.Ledger() {
			if strings.HasPrefix(e.Path, deadly) {
				sum++
			}
		}
	}
	return sum
}

// harmless is a load of requests that crash nothing.
type harmless struct {
	stop               chan struct{}
	group              sync.WaitGroup
	sent, served, held atomic.Int64
}

func startHarmless(nodes []string) *harmless {
	h := &harmless{stop: make(chan struct{})}
	for caller := range 35 {
		h.group.Go(func() {
			client := &fasthttp.Client{}
			ticker := time.NewTicker(100 * time.Millisecond)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-h.stop:
					return
				case <-ticker.C:
				}
				path := "/conferme/popular"
				if i%2 == 0 {
					path = fmt.Sprintf("/conferme/%d-%d", caller, i)
				}
				outcome, reason := outcomeOf(client, nodes[(caller+i)%len(nodes)], path)
				h.sent.Add(1)
				if outcome == "served" {
					h.served.Add(1)
				}
				if reason == "quarantined" {
					h.held.Add(1)
				}
			}
		})
	}
	return h
}

func (h *harmless) end() {
	close(h.stop)
	h.group.Wait()
}

func outcomeOf(client *fasthttp.Client, address, path string) (outcome, reason string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	if err := client.DoTimeout(request, response, patience); err != nil {
		return err.Error(), ""
	}
	return string(response.Header.Peek(entry.HeaderOutcome)), string(response.Header.Peek(entry.HeaderReason))
}
