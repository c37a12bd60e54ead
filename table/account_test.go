package table_test

import (
	"strings"
	"testing"

	"fuchsiapick.example/fuchsiapick/table"
)

const accounts = small + `
[[account]]
name = "hotel"
keys = ["` + hotelDigest + `"]
rate = 4
[[account]]
name = "clinic"
keys = []
rate = 0.5
priority = 0
`

// hotelDigest is the digest of the key "foo".
const hotelDigest = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"

func TestAccountsAreFoundByTheirKeys(t *testing.T) {
	got := mustParse(t, accounts)
	if a, ok := got.Account([]byte("foo")); !ok || a.Name != "hotel" || a.Burst != 4 || a.Priority != table.RoutePriority {
		t.Errorf("got %+v %v, want hotel with a burst equal to its rate and the route's priority", a, ok)
	}
	if a, ok := got.Account([]byte("bar")); ok {
		t.Errorf("got %+v for a key of no account, want none", a)
	}
	if a, ok := got.AccountNamed("clinic"); !ok || a.Burst != 1 || a.Priority != 0 {
		t.Errorf("got %+v %v, want clinic with a burst of 1 and its own priority", a, ok)
	}
	if !got.NeedsKey(&got.Routes[0]) || got.NeedsKey(&table.Route{Public: true}) {
		t.Error("got keys needed on a public route or not needed on another, want them on all but public routes")
	}
	if noAccounts := mustParse(t, small); noAccounts.NeedsKey(&noAccounts.Routes[0]) {
		t.Error("got a key needed in a table without accounts, want none")
	}
}

// Changes of accounts are logged. The log must distinguish the keys, but it must not show
// whole digests, which nobody who reads logs needs.
func TestDiffOfAccountsShowsNoDigest(t *testing.T) {
	older := mustParse(t, accounts)
	newer := older.Clone()
	newer.Accounts[0].Keys = append(newer.Accounts[0].Keys, table.DigestOf([]byte("bar")))
	newer.Accounts[1].Rate = 2
	newer.Accounts = append(newer.Accounts, table.Account{Name: "school", Keys: table.KeyDigests{hotelDigest}})
	changes := table.Diff(older, newer)
	lines := make([]string, 0, len(changes))
	for _, c := range changes {
		lines = append(lines, c.String())
	}
	got := strings.Join(lines, "\n")
	want := "changed account hotel: keys: 1 (2c26b46b) to 2 (2c26b46b fcde2b2e)\n" +
		"changed account clinic: rate: 0.5 to 2\n" +
		"added account school: keys 1 (2c26b46b), rate 0, burst 0, priority 0"
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
