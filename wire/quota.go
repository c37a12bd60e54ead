package wire

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quota"
)

// QuotaRequest asks the home of a client account for permission to send requests.
type QuotaRequest struct {
	_ struct{} `cbor:",toarray"`
	// Seq is the sequence number of the quota request at the asking node.
	Seq     uint64
	Account string
	// Rate and Burst are the account's limits in the asking node's table.
	Rate, Burst float64
	// Count is the number of requests that wait for permission, Returned the number of
	// requests that had permission and were not run.
	Count, Returned int
	// HasHint is true if the asking node has asked another home before: HintHome, which
	// had Left requests left at a time Age ago.
	HasHint  bool
	Left     float64
	Age      clock.Millis
	HintHome uint32
	// SkippedHomes is the number of homes ahead of this one that the asking node could not
	// reach.
	SkippedHomes int
	// IsRelayed is true if another home asks on behalf of a node that can't reach this one.
	IsRelayed bool
}

// QuotaGrant answers a QuotaRequest.
type QuotaGrant struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Granted int
	// RetryAfter holds the delays after which the requests that were not granted may be
	// retried, in their order.
	RetryAfter []clock.Millis
	// Left is how many more requests the home would have granted.
	Left float64
	// Home is the ID of the node that granted.
	Home uint32
}

// QuotaForward asks a node to relay a quota request to a home that the sender can't reach. The
// node answers with the home's QuotaGrant, or with one whose Home is NoHome.
type QuotaForward struct {
	_ struct{} `cbor:",toarray"`
	// Home is the link address of the home.
	Home    string
	Request QuotaRequest
}

// NoHome in QuotaGrant.Home means that the node that was asked can't reach the home either.
const NoHome = 0

// NewQuotaRequest converts a quota request to its message form.
func NewQuotaRequest(seq uint64, r quota.Request) *QuotaRequest {
	return &QuotaRequest{
		Seq: seq, Account: r.Account, Rate: r.Limit.Rate, Burst: r.Limit.Burst, Count: r.Count, Returned: r.Returned,
		HasHint: r.Hint.Known, Left: RoundFloat(r.Hint.Left), Age: r.Hint.Age, HintHome: r.HintHome,
	}
}

// ToQuota converts the message to the form that package quota uses.
func (r *QuotaRequest) ToQuota() quota.Request {
	return quota.Request{
		Account: r.Account, Limit: quota.Limit{Rate: r.Rate, Burst: r.Burst}, Count: r.Count, Returned: r.Returned,
		Hint: quota.Hint{Known: r.HasHint, Left: r.Left, Age: r.Age}, HintHome: r.HintHome,
	}
}

// NewQuotaGrant converts a grant to its message form.
func NewQuotaGrant(seq uint64, g quota.Grant) *QuotaGrant {
	return &QuotaGrant{Seq: seq, Granted: g.Granted, RetryAfter: g.RetryAfter, Left: RoundFloat(g.Left), Home: g.Home}
}

// ToQuota converts the message to the form that package quota uses.
func (g *QuotaGrant) ToQuota() quota.Grant {
	return quota.Grant{Granted: g.Granted, RetryAfter: g.RetryAfter, Left: g.Left, Home: g.Home}
}

// Kind implements Message.
func (*QuotaRequest) Kind() Kind { return KindQuotaRequest }

// Kind implements Message.
func (*QuotaGrant) Kind() Kind { return KindQuotaGrant }

// Kind implements Message.
func (*QuotaForward) Kind() Kind { return KindQuotaForward }
