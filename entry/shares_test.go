package entry_test

import (
	"testing"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Two gates state the use of an account. If the entry took only one of them, or summed an older
// statement of the same gate, the account would claim slots by a part of its use.
func TestClaimWeightSumsTheGates(t *testing.T) {
	weights := map[string]float64{}
	gates := map[string]*fakeGate{}
	service := table.Service{
		Name: "conferme", Caution: table.ShortEpisodes, Waiting: table.WaitForService, Floor: 0.1, Deadline: clock.Minute,
	}
	now := clock.Hour
	for _, name := range []string{"c1", "c2"} {
		gates[name] = &fakeGate{name: name, onProbe: refuseSlot(name, wire.ReasonFull), onClaim: func(c *wire.SlotClaim, o link.ClaimObserver) {
			weights[c.Account] = c.Weight
			grantClaim(c, o)
		}}
		service.Upstreams = append(service.Upstreams, table.Upstream{Name: name, Node: name, Domain: "catania", Weight: 100, Slots: 1})
	}
	account := func(name string, weight float64) table.Account {
		return table.Account{Name: name, Keys: table.KeyDigests{table.DigestOf([]byte(name))}, Priority: table.RoutePriority, Weight: weight}
	}
	e := entry.New(entry.Config{
		Domain: "catania", Now: func() clock.Millis { return now }, Pool: newPool(t), Recorder: nopRecorder{}, Log: logging.Silent(),
		GateClient: func(u table.Upstream) entry.GateClient { return gates[u.Name] },
	})
	e.Update(table.Index(table.Table{
		Format: table.Format, Version: 1, Services: []table.Service{service},
		Routes:   []table.Route{{Prefix: "/", Service: "conferme", Timeout: clock.Minute, LatencyTarget: clock.Minute, Repeatable: []string{}}},
		Accounts: []table.Account{account("large", 3), account("small", 0)},
	}))
	state := func(upstream string, shares ...wire.AccountShare) {
		e.UpdateProfile(&wire.UpstreamProfile{Upstream: upstream, Speed: 1, Shares: shares})
	}
	state("c1", wire.AccountShare{Account: "large", Used: 50})
	now += 100
	state("c1", wire.AccountShare{Account: "large", Used: 3}, wire.AccountShare{Account: "small", Used: 1})
	state("c2", wire.AccountShare{Account: "large", Used: 3}, wire.AccountShare{Used: 1})
	for _, name := range []string{"large", "small"} {
		var ctx fasthttp.RequestCtx
		ctx.Init(&fasthttp.Request{}, nil, nil)
		ctx.Request.Header.SetMethod(fasthttp.MethodPost)
		ctx.Request.SetRequestURI("http://clinic.example/turno")
		ctx.Request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+name)
		e.Serve(&ctx)
	}
	if got := weights["large"]; got != 2 {
		t.Errorf("got weight %v, want 3 divided by 6 of 4 slots, the equal share of two accounts in 8", got)
	}
	if got := weights["small"]; got != 1 {
		t.Errorf("got weight %v for an account within its share, want the default weight, 1", got)
	}
}
