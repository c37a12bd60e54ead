package wire

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quota"
)

// Draw asks the home of a client account for leave to send requests.
type Draw struct {
	_ struct{} `cbor:",toarray"`
	// Seq is the asking node's own number of it.
	Seq     uint64
	Account string
	// Rate and Burst are what the asking node's table says of the account.
	Rate, Burst     float64
	Count, Returned int
	// Left is what the home asked before, known by its mark Told, had left, Age ago; where
	// IsTold.
	IsTold bool
	Left   float64
	Age    clock.Millis
	Told   uint32
	// Passed is how many homes that go before this one were out of reach.
	Passed int
	// IsRelayed says that another home asks for a node that can't reach this one.
	IsRelayed bool
}

// Drawn answers a Draw.
type Drawn struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Granted int
	// RetryAfter is when those that weren't granted may come back, in their order.
	RetryAfter []clock.Millis
	Left       float64
	// Home is the mark of the node that granted.
	Home uint32
}

// DrawOf is the frame of a draw.
func DrawOf(seq uint64, d quota.Request) *Draw {
	return &Draw{
		Seq: seq, Account: d.Account, Rate: d.Limit.Rate, Burst: d.Limit.Burst, Count: d.Count, Returned: d.Returned,
		IsTold: d.Hint.Known, Left: Short(d.Hint.Left), Age: d.Hint.Age, Told: d.HintHome,
	}
}

// Plain is the draw without its frame.
func (d *Draw) Plain() quota.Request {
	return quota.Request{
		Account: d.Account, Limit: quota.Limit{Rate: d.Rate, Burst: d.Burst}, Count: d.Count, Returned: d.Returned,
		Hint: quota.Hint{Known: d.IsTold, Left: d.Left, Age: d.Age}, HintHome: d.Told,
	}
}

// DrawnOf is the frame of a grant.
func DrawnOf(seq uint64, g quota.Grant) *Drawn {
	return &Drawn{Seq: seq, Granted: g.Granted, RetryAfter: g.RetryAfter, Left: Short(g.Left), Home: g.Home}
}

// Plain is the grant without its frame.
func (d *Drawn) Plain() quota.Grant {
	return quota.Grant{Granted: d.Granted, RetryAfter: d.RetryAfter, Left: d.Left, Home: d.Home}
}

// Kind names the frame.
func (*Draw) Kind() Kind { return KindDraw }

// Kind names the frame.
func (*Drawn) Kind() Kind { return KindDrawn }
