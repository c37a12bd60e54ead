package wire

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quota"
)

// QuotaRequest asks the home of a client account for leave to send requests.
type QuotaRequest struct {
	_ struct{} `cbor:",toarray"`
	// Seq is the asking node's own number of it.
	Seq     uint64
	Account string
	// Rate and Burst are what the asking node's table says of the account.
	Rate, Burst     float64
	Count, Returned int
	// Left is what the home asked before, known by its mark Told, had left, Age ago; where
	// IsTold.
	HasHint  bool
	Left     float64
	Age      clock.Millis
	HintHome uint32
	// SkippedHomes is how many homes that go before this one were out of reach.
	SkippedHomes int
	// IsRelayed says that another home asks for a node that can't reach this one.
	IsRelayed bool
}

// QuotaGrant answers a Draw.
type QuotaGrant struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Granted int
	// RetryAfter is when those that weren't granted may come back, in their order.
	RetryAfter []clock.Millis
	Left       float64
	// Home is the mark of the node that granted.
	Home uint32
}

// NewQuotaRequest is the frame of a draw.
func NewQuotaRequest(seq uint64, d quota.Request) *QuotaRequest {
	return &QuotaRequest{
		Seq: seq, Account: d.Account, Rate: d.Limit.Rate, Burst: d.Limit.Burst, Count: d.Count, Returned: d.Returned,
		HasHint: d.Hint.Known, Left: RoundFloat(d.Hint.Left), Age: d.Hint.Age, HintHome: d.HintHome,
	}
}

// ToQuota is the draw without its frame.
func (d *QuotaRequest) ToQuota() quota.Request {
	return quota.Request{
		Account: d.Account, Limit: quota.Limit{Rate: d.Rate, Burst: d.Burst}, Count: d.Count, Returned: d.Returned,
		Hint: quota.Hint{Known: d.HasHint, Left: d.Left, Age: d.Age}, HintHome: d.HintHome,
	}
}

// NewQuotaGrant is the frame of a grant.
func NewQuotaGrant(seq uint64, g quota.Grant) *QuotaGrant {
	return &QuotaGrant{Seq: seq, Granted: g.Granted, RetryAfter: g.RetryAfter, Left: RoundFloat(g.Left), Home: g.Home}
}

// ToQuota is the grant without its frame.
func (d *QuotaGrant) ToQuota() quota.Grant {
	return quota.Grant{Granted: d.Granted, RetryAfter: d.RetryAfter, Left: d.Left, Home: d.Home}
}

// Kind names the frame.
func (*QuotaRequest) Kind() Kind { return KindQuotaRequest }

// Kind names the frame.
func (*QuotaGrant) Kind() Kind { return KindQuotaGrant }
