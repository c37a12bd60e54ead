package choice

// BulkSize is the size of a body, in bytes, from which its request waits for a slot in its
// own failure domain instead of crossing to another: it takes 10 to 13 ms on a link of 10 to
// 13 Mbit/s and delays all smaller messages behind it.
const BulkSize = 16 << 10

// Costs of the bytes that cross between failure domains, in addition to the fixed cost of
// another domain and in the same unit.
const (
	// transferCost is the cost of a body of BulkSize. A body of 5 KB, the largest of ordinary
	// requests, then costs 0.03, and still goes to an idle upstream of another domain rather
	// than into the queue of an upstream with 8 slots, which costs 0.04 more than the fixed
	// cost of another domain.
	transferCost = 0.1
	// responseCost is the cost of a response of BulkSize or more. It decides between upstreams
	// that are otherwise equal only: it is less than the cost of one request more in progress
	// at an upstream with 5 slots, 0.016.
	responseCost = 0.01
)

// Transfer is what crosses between failure domains if a request is sent to another one. The
// zero value means that sizes don't count.
type Transfer struct {
	// Request is the size of the request's body, Response the typical size of the responses of
	// its route, both in bytes.
	Request, Response int
}

// IsBulk reports whether the request waits for a slot in its own failure domain.
func (t Transfer) IsBulk() bool {
	return t.Request >= BulkSize
}

// Cost returns the cost of the bytes, which grows linearly up to BulkSize.
func (t Transfer) Cost() float64 {
	return transferCost*bulkShare(t.Request) + responseCost*bulkShare(t.Response)
}

func bulkShare(size int) float64 {
	return float64(min(max(size, 0), BulkSize)) / BulkSize
}
