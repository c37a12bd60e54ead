package entry

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/wire"
)

// AccountShares lets tests reach the shares of a service without its gates.
type AccountShares struct{ *accountShares }

func NewAccountShares() AccountShares { return AccountShares{newAccountShares()} }

func (a AccountShares) Update(now clock.Millis, upstream string, shares []wire.AccountShare) {
	a.update(now, upstream, shares)
}

func (a AccountShares) ClaimWeight(now clock.Millis, account string, weight float64) float64 {
	return a.claimWeight(now, account, weight)
}
