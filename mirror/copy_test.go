package mirror_test

import (
	"slices"
	"testing"

	"fuchsiapick.example/fuchsiapick/mirror"
)

func item(key string, revision uint64) mirror.Item {
	return mirror.Item{Key: key, Revision: revision, Created: revision}
}

func keys(items []mirror.Item) []string {
	all := make([]string, 0, len(items))
	for _, i := range items {
		all = append(all, i.Key)
	}
	return all
}

// The leases of all upstreams expire during an outage of the store although the upstreams
// are alive. If the node applied the list at the store's return immediately, it would
// have no upstream until they register again.
func TestCopyKeepsExpiredValuesDuringReturnGrace(t *testing.T) {
	c := mirror.NewCopy(nil, nil)
	c.Reset(0, mirror.Listing{Items: []mirror.Item{item("a", 1), item("b", 2)}, Revision: 2})
	c.StoreReturned(10_000)
	c.Reset(10_000, mirror.Listing{Items: []mirror.Item{item("a", 9)}, Revision: 9})
	if got := keys(c.Items(11_000)); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("one second after the return: got %v, want both", got)
	}
	c.Apply(11_500, []mirror.Event{{Item: item("b", 12)}}, 12)
	if got := keys(c.Items(13_000)); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("after b was written again: got %v, want both", got)
	}
	c.Apply(13_000, []mirror.Event{{Item: mirror.Item{Key: "b", Revision: 13}, Gone: true}}, 13)
	if got := keys(c.Items(13_001)); !slices.Equal(got, []string{"a"}) {
		t.Errorf("after b was removed outside the grace period: got %v, want only a", got)
	}
}

// A value that isn't written again within two seconds of the store's return is removed.
func TestCopyDropsExpiredValuesAfterReturnGrace(t *testing.T) {
	c := mirror.NewCopy(nil, nil)
	c.Reset(0, mirror.Listing{Items: []mirror.Item{item("a", 1)}, Revision: 1})
	c.StoreReturned(5000)
	c.Apply(5100, []mirror.Event{{Item: mirror.Item{Key: "a", Revision: 4}, Gone: true}}, 4)
	if got := len(c.Items(6999)); got != 1 {
		t.Errorf("before the grace period ends: got %d values, want 1", got)
	}
	if got := len(c.Items(7000)); got != 0 {
		t.Errorf("after the grace period: got %d values, want none", got)
	}
}

// The pages of a list are not a snapshot, and a watch from the first page's revision
// returns changes that the later pages already contain, among them older values.
func TestCopyIgnoresOlderValues(t *testing.T) {
	c := mirror.NewCopy(nil, nil)
	c.Reset(0, mirror.Listing{Items: []mirror.Item{{Key: "configuration", Revision: 8, Value: []byte("new")}}, Revision: 5})
	c.Apply(1, []mirror.Event{
		{Item: mirror.Item{Key: "configuration", Revision: 6, Value: []byte("old")}},
		{Item: mirror.Item{Key: "configuration", Revision: 7}, Gone: true},
	}, 8)
	got := c.Items(2)
	if len(got) != 1 || string(got[0].Value) != "new" {
		t.Errorf("got %v, want the value of revision 8", got)
	}
	if got := c.Revision(); got != 8 {
		t.Errorf("got revision %d, want 8", got)
	}
}
