package episode

import (
	"math"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// linkInterval is how often links are kept: a link closes after half a minute
	// without a request.
	linkInterval = clock.Second
	// rateWindow is the time over which an entry's requests are averaged: they come in
	// bursts, and links to others every second would cost a handshake each.
	rateWindow = 5 * clock.Second
	// linksPerRequest is how many links are kept for each request a second, up to
	// mostReach.
	linksPerRequest = 2
	maxLinks        = 12
	// initialLinks is how many are kept before the entry's requests were counted for a
	// second, those of two a second.
	initialLinks = 4
)

// LinkCount says to how many upstreams an entry keeps links, so that their gates can invite
// its requests: two for each request a second that may be repeated. A gate can ask only
// entries with a link, and those far from it have none while they choose others. The few
// entries that send many follow soonest, and the many that send few need fewer links each.
// The zero value is ready.
type LinkCount struct {
	// began is when the count began, at when links were kept last.
	began, at clock.Millis
	requests  int
	perSecond float64
}

// RecordRequest takes in a request that may be repeated. It returns to how many upstreams links
// are to be kept now, or 0 where that was said a moment ago.
func (r *LinkCount) RecordRequest(now clock.Millis) int {
	r.requests++
	span := now - r.at
	if r.began == 0 || span > rateWindow {
		*r = LinkCount{began: now, at: now}
		return initialLinks
	}
	if span < linkInterval {
		return 0
	}
	seen := float64(r.requests) * float64(clock.Second) / float64(span)
	r.perSecond += (seen - r.perSecond) * float64(span) / float64(min(rateWindow, now-r.began))
	r.at, r.requests = now, 0
	return min(max(int(math.Ceil(linksPerRequest*r.perSecond)), 1), maxLinks)
}
