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

// BenchmarkCrashes sends one request to each node in turn, every 0.3 s, besides 350
// harmless requests per second, half of which are identical. In "deadly", the request
// crashes each backend server that runs it, for 2 s. In "episodes", some of the backend
// servers also fail most requests immediately, in turn. In "themselves", there are only
// harmless requests, and backend servers crash on their own twice per second. The metric
// "later" counts how often the crashing request reached a backend server later than 3 s
// after the third crash; "held" counts harmless requests refused as quarantined. Run it
// by hand: -bench Crashes -benchtime 84x.
func BenchmarkCrashes(b *testing.B) {
	for _, name := range []string{"deadly", "episodes", "themselves"} {
		b.Run(name, func(b *testing.B) { runCrashes(b, name) })
	}
}

func runCrashes(b *testing.B, name string) {
	const upstreams = 12
	c := newTable(upstreams)
	s := &c.Services[0]
	s.Caution, s.Floor, s.ExtraRetries, s.RetryWindow = table.ShortEpisodes, 0.7, 62, 10*clock.Second
	c.Routes[0].MaxAttempts, c.Routes[0].Repeatable = 3, []string{"GET"}
	f, err := fleet.Start(b.Context(), fleet.Config{Table: c, ServiceTime: 5})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	backend := func(i int) *standin.Backend { return f.Backends[fmt.Sprintf("conferme-%d", i%upstreams+1)] }
	fault := standin.Fault{Kind: standin.Crashes, Path: crashingPath, Downtime: 2 * clock.Second, CrashDelay: 40}
	for i := range upstreams {
		backend(i).SetFault(fault)
	}
	harmless := startHarmlessLoad(callerAddresses(f))
	thirdCrash, arrivalsBefore, isCounted := time.Time{}, 0, false
	b.ResetTimer()
	for i := range b.N {
		if name != "themselves" {
			go func() { _, _ = sendForOutcome(&fasthttp.Client{}, f.Members[i%upstreams].Caller, crashingPath) }()
		}
		if name == "episodes" {
			failing := fault
			failing.FailFastShare = 0.8 * float64(i%2)
			for j := range upstreams / 2 {
				backend(i*5 + j).SetFault(failing)
			}
		}
		if name == "themselves" && i%5 < 3 { // two per second
			go backend(i * 7).CrashFor(2 * clock.Second)
		}
		<-time.After(300 * time.Millisecond)
		switch {
		case thirdCrash.IsZero() && crashCount(f) >= 3:
			thirdCrash = time.Now()
		case !thirdCrash.IsZero() && !isCounted && time.Since(thirdCrash) > 3*time.Second:
			arrivalsBefore, isCounted = crashingArrivals(f), true
		}
	}
	harmless.stopAndWait()
	b.ReportMetric(float64(crashCount(f)), "crashes")
	b.ReportMetric(float64(crashingArrivals(f)-arrivalsBefore), "later")
	b.ReportMetric(float64(harmless.served.Load())/float64(max(harmless.sent.Load(), 1)), "served")
	b.ReportMetric(float64(harmless.quarantined.Load()), "held")
}

// crashingArrivals returns how many requests to crashingPath the backend servers have
// begun.
func crashingArrivals(f *fleet.Fleet) int {
	sum := 0
	for _, b := range f.Backends {
		for _, e := range b.Ledger() {
			if strings.HasPrefix(e.Path, crashingPath) {
				sum++
			}
		}
	}
	return sum
}

// harmlessLoad sends requests that crash no backend server, and counts their outcomes.
type harmlessLoad struct {
	stop                      chan struct{}
	group                     sync.WaitGroup
	sent, served, quarantined atomic.Int64
}

func startHarmlessLoad(nodes []string) *harmlessLoad {
	h := &harmlessLoad{stop: make(chan struct{})}
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
				outcome, reason := sendForOutcome(client, nodes[(caller+i)%len(nodes)], path)
				h.sent.Add(1)
				if outcome == "served" {
					h.served.Add(1)
				}
				if reason == "quarantined" {
					h.quarantined.Add(1)
				}
			}
		})
	}
	return h
}

func (h *harmlessLoad) stopAndWait() {
	close(h.stop)
	h.group.Wait()
}

// sendForOutcome sends one GET request and returns its outcome and reason, or the text of
// the error as the outcome.
func sendForOutcome(client *fasthttp.Client, address, path string) (outcome, reason string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	if err := client.DoTimeout(request, response, waitTimeout); err != nil {
		return err.Error(), ""
	}
	return string(response.Header.Peek(entry.HeaderOutcome)), string(response.Header.Peek(entry.HeaderReason))
}
