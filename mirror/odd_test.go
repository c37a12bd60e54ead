package mirror_test

import (
	"strings"
	"testing"

	"fuchsiapick.example/fuchsiapick/mirror"
)

// hashOfGood is a HashFunc to which odd values matter to no reader.
func hashOfGood(i mirror.Item) uint64 {
	if strings.HasPrefix(string(i.Value), "odd") {
		return 0
	}
	return max(i.Revision, 1)
}

// Guards against copies that count as wrong all the time: updates leave out odd values, which matter to
// no reader, and a list has them.
func TestOddValueMakesNoCopyWrong(t *testing.T) {
	c := mirror.NewCopy(hashOfGood, nil)
	c.Reset(0, mirror.Listing{Items: []mirror.Item{item("a", 1)}, Revision: 2, IsSnapshot: true})
	c.Apply(0, nil, 5) // the update of a peer that has read an odd value at revision 4
	odd := mirror.Item{Key: "odd", Value: []byte("odd"), Revision: 4, Created: 4}
	if got := c.CountWrong([]mirror.Item{item("a", 1), odd}, 5); got != 0 {
		t.Errorf("got %d wrong values, want none", got)
	}
	if got := c.CountWrong([]mirror.Item{item("a", 1), odd, item("b", 4)}, 5); got != 1 {
		t.Errorf("got %d wrong values, want the good one that is missing", got)
	}
}
