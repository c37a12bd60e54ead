package wire

import "fuchsiapick.example/fuchsiapick/clock"

// Announcements tells a gate's node what its upstreams have announced to an entry. A node that
// has restarted thus knows their limits before it sends them a request.
type Announcements struct {
	_         struct{} `cbor:",toarray"`
	Upstreams []Announcement
}

// Announcement is what an upstream has announced about itself in a response.
type Announcement struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	// Started is the start time of the upstream's process as the sender's table has it.
	Started int64
	// IsLimited means that the upstream names a rate limit, RateLimit is that limit in requests
	// per second from all nodes together.
	IsLimited bool
	RateLimit float64
	// IsLeaving means that the upstream shuts down.
	IsLeaving bool
	// Age is how long ago the response arrived.
	Age clock.Millis
}

// Kind implements Message.
func (*Announcements) Kind() Kind { return KindAnnouncements }
