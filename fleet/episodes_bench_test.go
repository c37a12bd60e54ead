package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// BenchmarkDeadlyInEpisodes sends a crashing request, up to three times simultaneously,
// every 0.1 to 1.5 s, to random nodes of 15, for 40 s. Meanwhile nine slow backend servers go
// through episodes in which they fail most requests immediately. The metrics are those of
// BenchmarkCrashes. Run it by hand: -bench DeadlyInEpisodes -benchtime 1x.
func BenchmarkDeadlyInEpisodes(b *testing.B) {
	for seed := range uint64(4) {
		b.Run(fmt.Sprint("seed=", seed+1), func(b *testing.B) { runEpisodes(b, rand.New(rand.NewPCG(seed+1, 3))) })
	}
}

func runEpisodes(b *testing.B, r *rand.Rand) {
	c := newTable(9)
	s := &c.Services[0]
	s.Caution, s.Floor, s.ExtraRetries, s.RetryWindow, s.Drain = table.ShortEpisodes, 0.3, 62, 10*clock.Second, 0
	s.Deadline = 12 * clock.Second
	for i := range s.Upstreams {
		s.Upstreams[i].Slots = 3
	}
	c.Routes[0].MaxAttempts, c.Routes[0].Repeatable = 3, []string{"GET"}
	c.Routes[0].Timeout, c.Routes[0].LatencyTarget = 8*clock.Second, 5*clock.Second
	f, err := fleet.Start(b.Context(), fleet.Config{Table: c, ServiceTime: 500})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	for i := range 6 {
		m, err := f.AddMember(b.Context(), fmt.Sprint("far-", i), "catania")
		if err != nil {
			b.Fatal(err)
		}
		<-m.Node.InForce()
	}
	nodes := callerAddresses(f)
	name := func(i int) string { return fmt.Sprintf("conferme-%d", i%9+1) }
	fault := func(failShare float64) standin.Fault {
		return standin.Fault{Kind: standin.Crashes, Path: crashingPath, Downtime: clock.Millis(2000 + r.IntN(3000)), CrashDelay: clock.Millis(20 + r.IntN(100)), FailFastShare: failShare}
	}
	for i := range 9 {
		f.Backends[name(i)].SetFault(fault(0))
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	for k := range 20 {
		group.Go(func() {
			client := &fasthttp.Client{}
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				outcome, _ := sendForOutcome(client, nodes[(k+i)%len(nodes)], fmt.Sprintf("/conferme/%d-%d", k, i))
				mu.Lock()
				sent++
				if outcome == "served" {
					served++
				}
				mu.Unlock()
			}
		})
	}
	thirdCrash, arrivalsBefore := time.Time{}, -1
	begin := time.Now()
	nextSend, nextEpisode := begin, begin
	isFailing := map[int]bool{}
	for time.Since(begin) < 40*time.Second {
		now := time.Now()
		if now.After(nextSend) {
			for range 1 + r.IntN(3) {
				n := nodes[r.IntN(len(nodes))]
				go func() { _, _ = sendForOutcome(&fasthttp.Client{}, n, crashingPath) }()
			}
			nextSend = now.Add(time.Duration(100+r.IntN(1400)) * time.Millisecond)
		}
		if now.After(nextEpisode) {
			i := r.IntN(9)
			isFailing[i] = !isFailing[i]
			share := 0.0
			if isFailing[i] {
				share = 0.95
			}
			f.Backends[name(i)].SetFault(fault(share))
			nextEpisode = now.Add(time.Duration(300+r.IntN(1200)) * time.Millisecond)
		}
		if thirdCrash.IsZero() && crashCount(f) >= 3 {
			thirdCrash = now
		}
		if !thirdCrash.IsZero() && arrivalsBefore < 0 && now.Sub(thirdCrash) > 3*time.Second {
			arrivalsBefore = crashingArrivals(f)
		}
		<-time.After(10 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	b.ReportMetric(float64(crashCount(f)), "crashes")
	b.ReportMetric(float64(crashingArrivals(f)-arrivalsBefore), "later")
	b.ReportMetric(float64(served)/float64(max(sent, 1)), "served")
}
