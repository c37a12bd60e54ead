package episode

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// linkInterval is the time between refreshes of the links. A link closes after half a
	// minute without a request.
	linkInterval = clock.Second
	// rateWindow is the time over which an entry's request rate is averaged. Requests
	// come in bursts, and a new set of links each second would cost a handshake for each
	// link.
	rateWindow = 5 * clock.Second
	// linksPerRate is the number of links for each request per second, up to maxLinks.
	linksPerRate = 2
	maxLinks     = 12
	// initialLinks is the number of links during the first second, before the request
	// rate is known. It is the number for two requests per second.
	initialLinks = 4
)

// LinkCount computes the number of upstreams to which an entry keeps links, so that their
// gates can send it work requests: two for each repeatable request per second. A gate can
// send work requests only to entries with a link, and distant entries have none while they
// choose other upstreams. The few entries with many requests respond soonest, and the many
// entries with few requests need fewer links each. The zero value is ready to use.
type LinkCount struct {
	// began is when counting began, at when links were last refreshed.
	began, at clock.Millis
	requests  int
	perSecond float64
}

// RecordRequest counts a repeatable request. It returns the number of upstreams to which
// links should be kept now, or 0 if it returned a number less than linkInterval ago.
func (c *LinkCount) RecordRequest(now clock.Millis) int {
	c.requests++
	span := now - c.at
	if c.began == 0 || span > rateWindow {
		*c = LinkCount{began: now, at: now}
		return initialLinks
	}
	if span < linkInterval {
		return 0
	}
	measured := float64(c.requests) * float64(clock.Second) / float64(span)
	c.perSecond += (measured - c.perSecond) * float64(span) / float64(min(rateWindow, now-c.began))
	c.at, c.requests = now, 0
	return min(max(int(math.Ceil(linksPerRate*c.perSecond)), 1), maxLinks)
}
