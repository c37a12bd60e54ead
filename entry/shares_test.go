package entry_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Two gates state the use of an account. If the entry took only one of them, or summed an older
// statement of the same gate, the account would claim slots by a part of its use.
func TestClaimWeightSumsTheGates(t *testing.T) {
	s := entry.NewAccountShares()
	s.Update(900, "c1", []wire.AccountShare{{Account: "large", Used: 50}})
	s.Update(1000, "c1", []wire.AccountShare{{Account: "large", Used: 3}, {Account: "small", Used: 1}})
	s.Update(1000, "c2", []wire.AccountShare{{Account: "large", Used: 3}, {Used: 1}})
	if got := s.ClaimWeight(1000, "large", 3); got != 2 {
		t.Errorf("got %v, want 3 divided by 6 of 4 slots, the equal share of two accounts in 8", got)
	}
	if got := s.ClaimWeight(1000, "small", 0); got != 1 {
		t.Errorf("got %v for an account within its share, want the default weight, 1", got)
	}
}
