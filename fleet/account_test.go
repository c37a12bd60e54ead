package fleet_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/quota"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// hotelKey and clinicKey belong to accounts of the tests; noKey belongs to none.
const (
	hotelKey  = "hotel-key"
	clinicKey = "clinic-key"
	noKey     = "nobody's-key"
)

func newAccount(name, key string) table.Account {
	return table.Account{Name: name, Keys: table.KeyDigests{table.DigestOf([]byte(key))}, Priority: table.RoutePriority}
}

// tableWithAccounts returns a table with two client accounts and a public route.
func tableWithAccounts(upstreams int) *table.Table {
	t := newTable(upstreams)
	t.Accounts = []table.Account{newAccount("hotel", hotelKey), newAccount("clinic", clinicKey)}
	t.Routes = append(t.Routes, table.Route{Prefix: "/conferme/public/", Service: "conferme", Public: true})
	return t
}

// sendWithHeaders sends a GET request with additional headers, given as names and values
// in turn.
func sendWithHeaders(t *testing.T, address, path string, headers ...string) answer {
	t.Helper()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Add(headers[i], headers[i+1])
	}
	if err := sharedClient.DoTimeout(request, response, waitTimeout); err != nil {
		t.Fatalf("%s: got error %v", path, err)
	}
	return answer{status: response.StatusCode(), reason: string(response.Header.Peek("Fuchsiapick-Reason"))}
}

// Upstreams trust the account header and must never see a key. The test guards against a
// caller that sets the header itself to act for another account, and against keys that
// are forwarded to upstreams, which could then send requests in the account's name.
func TestUpstreamsReceiveAccountsButNoKeys(t *testing.T) {
	f := startFleet(t, fleet.Config{Table: tableWithAccounts(2)})
	tests := []struct {
		name, path string
		headers    []string
		status     int
		account    string
	}{
		{"key", "/conferme/a", []string{"Authorization", "Bearer " + hotelKey}, 200, "hotel"},
		{"other scheme's letter case", "/conferme/a", []string{"authorization", "bearer " + clinicKey}, 200, "clinic"},
		{"another name is claimed", "/conferme/a", []string{"Authorization", "Bearer " + hotelKey, "Fuchsiapick-Account", "clinic"}, 200, "hotel"},
		{"no key", "/conferme/a", nil, 401, ""},
		{"unknown key", "/conferme/a", []string{"Authorization", "Bearer " + noKey}, 401, ""},
		{"empty key", "/conferme/a", []string{"Authorization", "Bearer "}, 401, ""},
		{"other scheme", "/conferme/a", []string{"Authorization", "Basic " + hotelKey}, 401, ""},
		{"two keys", "/conferme/a", []string{"Authorization", "Bearer " + hotelKey, "Authorization", "Bearer " + clinicKey}, 401, ""},
		{"public without a key", "/conferme/public/a", []string{"Fuchsiapick-Account", "clinic"}, 200, ""},
		{"public with a key", "/conferme/public/a", []string{"Authorization", "Bearer " + hotelKey}, 200, "hotel"},
		{"public with an unknown key", "/conferme/public/a", []string{"Authorization", "Bearer " + noKey}, 200, ""},
	}
	for i, test := range tests {
		path := fmt.Sprintf("%s%d", test.path, i)
		got := sendWithHeaders(t, f.Members[i%2].Caller, path, test.headers...)
		if got.status != test.status {
			t.Errorf("%s: got status %d (%s), want %d", test.name, got.status, got.reason, test.status)
		}
		runs := begunRequests(f, path)
		if test.status != 200 {
			if len(runs) > 0 {
				t.Errorf("%s: got %d runs, want none", test.name, len(runs))
			}
			continue
		}
		if len(runs) != 1 || runs[0].Account != test.account || runs[0].Authorization != "" {
			t.Errorf("%s: got runs %+v, want one of account %q without a key", test.name, runs, test.account)
		}
	}
}

// Without accounts in the table, the Authorization header belongs to callers and
// upstreams: nodes must forward it unchanged.
func TestAuthorizationIsForwardedWithoutAccounts(t *testing.T) {
	f := startFleet(t, fleet.Config{Table: newTable(1)})
	got := sendWithHeaders(t, f.Members[0].Caller, "/conferme/a", "Authorization", "Bearer x", "Fuchsiapick-Account", "hotel")
	runs := begunRequests(f, "/conferme/a")
	if got.status != 200 || len(runs) != 1 || runs[0].Authorization != "Bearer x" || runs[0].Account != "" {
		t.Errorf("got %d and runs %+v, want 200 and the header as it was sent, without an account", got.status, runs)
	}
}

// An operator replaces a key, for example because it leaked. Every node must refuse the
// removed key and accept the new one.
func TestKeysChangeWithTheTable(t *testing.T) {
	f := startFleet(t, fleet.Config{Table: tableWithAccounts(3)})
	const newKey = "hotel-key-2"
	err := f.Publish(func(tt *table.Table) { tt.Accounts[0] = newAccount("hotel", newKey) })
	if err != nil {
		t.Fatal(err)
	}
	awaitVersion(t, f)
	for _, m := range f.Members {
		if got := sendWithHeaders(t, m.Caller, "/conferme/a", "Authorization", "Bearer "+hotelKey); got.status != 401 {
			t.Errorf("removed key through %s: got %d, want 401", m.Name, got.status)
		}
		if got := sendWithHeaders(t, m.Caller, "/conferme/a", "Authorization", "Bearer "+newKey); got.status != 200 {
			t.Errorf("new key through %s: got %d, want 200", m.Name, got.status)
		}
	}
}

// begunRequests returns the requests to a path that the backend servers have begun.
func begunRequests(f *fleet.Fleet, path string) []standin.Entry {
	var all []standin.Entry
	for _, b := range f.Backends {
		for _, run := range b.Ledger() {
			if run.Path == path {
				all = append(all, run)
			}
		}
	}
	return all
}

// Guards against an account that sends through every node and gets its whole quota at
// each of them.
func TestQuotaHoldsOverAllNodes(t *testing.T) {
	const burst = 6
	deployed := tableWithAccounts(4)
	deployed.Accounts[0].Rate, deployed.Accounts[0].Burst = 0.001, burst
	f := startFleet(t, fleet.Config{Table: deployed})
	served := 0
	for i := range 40 {
		got := sendWithHeaders(t, f.Members[i%4].Caller, "/conferme/a", "Authorization", "Bearer "+hotelKey)
		switch {
		case got.status == 200:
			served++
		case got.status != 429 || got.reason != access.ReasonAccountLimit:
			t.Errorf("request %d: got %d %q, want 429 for the account's limit", i, got.status, got.reason)
		}
	}
	if served < 1 || served > burst {
		t.Errorf("got %d requests served, want one at least and %d at most", served, burst)
	}
	for i := range 8 {
		if got := sendWithHeaders(t, f.Members[i%4].Caller, "/conferme/a", "Authorization", "Bearer "+clinicKey); got.status != 200 {
			t.Errorf("another account: got %d %q, want 200", got.status, got.reason)
		}
	}
}

// The home node of an account, which grants its quota, is killed. Another node takes
// over. It must neither delay callers nor grant the burst again.
func TestQuotaSurvivesFailureOfItsHome(t *testing.T) {
	const burst = 20
	deployed := tableWithAccounts(4)
	deployed.Accounts[0].Rate, deployed.Accounts[0].Burst = 0.001, burst
	f := startFleet(t, fleet.Config{Table: deployed})
	nodes := make([]string, 0, len(f.Members))
	for _, m := range f.Members {
		nodes = append(nodes, m.Link)
	}
	home := quota.Homes("hotel", nodes)[0]
	others := slices.DeleteFunc(slices.Clone(f.Members), func(m *fleet.Member) bool { return m.Link == home })
	served := 0
	sendMany := func(count int) {
		for i := range count {
			if sendWithHeaders(t, others[i%len(others)].Caller, "/conferme/a", "Authorization", "Bearer "+hotelKey).status == 200 {
				served++
			}
		}
	}
	sendMany(6)
	if served != 6 {
		t.Fatalf("got %d of 6 requests served, want all", served)
	}
	f.Members[slices.IndexFunc(f.Members, func(m *fleet.Member) bool { return m.Link == home })].Stop()
	sendMany(30)
	if served < 7 || served > burst {
		t.Errorf("got %d requests served, want more than 6 and %d at most", served, burst)
	}
}

// Guards against a home that grants its own node the whole quota for seconds after it was cut off,
// while the next home grants the part of the three others to all other nodes.
func TestHomeThatIsCutOffLeavesRoomForTheNextHome(t *testing.T) {
	const overage, slack, nextHomesShare = 1.25, 20, 0.75
	f, home := startPressedHome(t)
	for _, m := range f.Members {
		m.LinkRelay.SetMode(standin.DropToTarget)
	}
	if got, most := pressHome(t, home), int((overage-nextHomesShare)*quotaOfPress)+slack; got > most {
		t.Errorf("got %d requests admitted at the home, want %d at most", got, most)
	}
}

// Guards against refusals of most of an account's quota while the nodes that would grant it in place
// of its home are down, so that nobody does.
func TestHomeGrantsTheQuotaWhileTheNextHomesAreDown(t *testing.T) {
	f, home := startPressedHome(t)
	for _, m := range f.Members[1:] {
		m.LinkRelay.Close()
		m.Stop()
	}
	if got, least := pressHome(t, home), quotaOfPress*2/3; got < least {
		t.Errorf("got %d requests admitted at the home, want %d at least", got, least)
	}
}

// The quota of the account that pressHome uses, and how much of it there is for the press.
const (
	pressedRate, pressedBurst = 60, 4
	pressSeconds              = 5
	quotaOfPress              = pressSeconds*pressedRate + pressedBurst
)

// startPressedHome starts a fleet with an account that has used up its burst at its home, which has
// the only upstream in use.
func startPressedHome(t *testing.T) (*fleet.Fleet, *fleet.Member) {
	t.Helper()
	deployed := tableWithAccounts(4)
	for i := range deployed.Services[0].Upstreams[1:] {
		deployed.Services[0].Upstreams[i+1].Weight = 0
	}
	slowHeartbeats := func(s *settings.Settings) { s.HeartbeatInterval = 2 * clock.Second }
	f := startFleet(t, fleet.Config{Table: deployed, LinkRelays: true, Adjust: slowHeartbeats})
	home := f.Members[0]
	account := newAccount(accountWithHome(f, home), hotelKey)
	account.Rate, account.Burst = pressedRate, pressedBurst
	if err := f.Publish(func(tt *table.Table) { tt.Accounts[0] = account }); err != nil {
		t.Fatal(err)
	}
	awaitVersion(t, f)
	admitted := 0
	waitUntil(t, "the quota of a second", func() bool {
		if isWithinQuota(t, home) {
			admitted++
		}
		return admitted >= pressedRate
	})
	return f, home
}

// pressHome sends requests of the account for some seconds and returns how many are admitted.
func pressHome(t *testing.T, home *fleet.Member) int {
	t.Helper()
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	admitted := 0
	for start := time.Now(); time.Since(start) < pressSeconds*time.Second; <-ticker.C {
		if isWithinQuota(t, home) {
			admitted++
		}
	}
	return admitted
}

func isWithinQuota(t *testing.T, m *fleet.Member) bool {
	t.Helper()
	got := sendWithHeaders(t, m.Caller, "/conferme/a", "Authorization", "Bearer "+hotelKey)
	return got.reason != access.ReasonAccountLimit && got.reason != access.ReasonQuotaUnknown
}

// accountWithHome returns the name of an account whose home is the given node.
func accountWithHome(f *fleet.Fleet, home *fleet.Member) string {
	nodes := make([]string, 0, len(f.Members))
	for _, m := range f.Members {
		nodes = append(nodes, m.Link)
	}
	for i := 0; ; i++ {
		name := fmt.Sprintf("hotel-%d", i)
		if quota.Homes(name, nodes)[0] == home.Link {
			return name
		}
	}
}

// Guards against a request that waits for one unreachable home of its account after another, beyond
// its deadline. Of five entries one at least must keep to it, however busy the machine is.
func TestWaitForAQuotaEndsAtTheDeadline(t *testing.T) {
	const deadline, tolerance = 50 * time.Millisecond, 100 * time.Millisecond
	slowHeartbeats := func(s *settings.Settings) { s.HeartbeatInterval = 20 * clock.Second }
	f := startFleet(t, fleet.Config{Table: tableWithAccounts(7), LinkRelays: true, Adjust: slowHeartbeats})
	account := newAccount(accountWithHome(f, f.Members[0]), hotelKey)
	account.Rate, account.Burst = pressedRate, pressedBurst
	if err := f.Publish(func(tt *table.Table) { tt.Accounts[0] = account }); err != nil {
		t.Fatal(err)
	}
	awaitVersion(t, f)
	entries := f.Members[1:6]
	for _, m := range entries {
		waitUntil(t, "a request within the quota", func() bool { return isWithinQuota(t, m) })
	}
	for _, m := range f.Members {
		m.LinkRelay.SetMode(standin.Freeze)
	}
	shortest := time.Hour
	for _, m := range entries {
		began := time.Now()
		sendWithHeaders(t, m.Caller, "/conferme/a", "Authorization", "Bearer "+hotelKey, entry.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
		shortest = min(shortest, time.Since(began))
	}
	if shortest > deadline+tolerance {
		t.Errorf("got the first of five answers after %v, want it after %v at the latest", shortest, deadline+tolerance)
	}
}
