package fleet_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// Guards against refusals while the service has room in time, and against second runs: a burst
// of uploads at two of six nodes, all at once, is four times what the service runs at a time,
// and one node's links are cut.
func TestBurstWaitsForSlotsOfTheWholeService(t *testing.T) {
	deployed := newTable(6)
	s := &deployed.Services[0]
	s.Caution, s.Waiting, s.RetryRatio, s.ExtraRetries, s.RetryWindow = table.ShortEpisodes, table.WaitForService, 0.2, 200, 10*clock.Second
	deployed.Routes[0].Timeout, deployed.Routes[0].LatencyTarget, deployed.Routes[0].MaxAttempts = 10*clock.Second, 2*clock.Second, 1
	f := startFleet(t, fleet.Config{Table: deployed, ServiceTime: 150, LinkRelays: true})
	for i := range 12 {
		send(t, "POST", f.Members[i%2].Caller, "/conferme/carica", "prima")
	}
	f.Members[5].LinkRelay.SetMode(standin.BlackholeOpen)
	const burst = 60
	answers := make([]answer, burst)
	var senders sync.WaitGroup
	for i := range burst {
		senders.Go(func() {
			answers[i] = send(t, "POST", f.Members[i%2].Caller, "/conferme/carica", fmt.Sprintf("carica %d", i))
		})
	}
	senders.Wait()
	ids := map[string]bool{}
	for i, got := range answers {
		ids[got.id] = true
		if got.status != 200 {
			t.Errorf("request %d: got %d %q, want it served", i, got.status, got.reason)
		}
	}
	runs := 0
	for _, b := range f.Backends {
		for _, e := range b.Ledger() {
			if ids[e.ID] {
				runs++
			}
		}
	}
	if len(ids) != burst || runs > burst {
		t.Errorf("got %d runs of %d requests, want at most one of each of %d", runs, len(ids), burst)
	}
	_, body, err := fasthttp.GetTimeout(nil, "http://"+f.Members[0].Admin+"/metrics", waitTimeout)
	if err != nil || strings.Contains(string(body), `fuchsiapick_claims_total{result="granted",service="conferme"} 0`) {
		t.Errorf("got no claim granted, error %v; want some", err)
	}
}
