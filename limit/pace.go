package limit

import "fuchsiapick.example/fuchsiapick/clock"

// MinPace is the lowest rate, in requests per second, at which all nodes together send to an
// upstream that names a rate limit. Even with a limit of 0 it must get a request now and then,
// because only its responses say when the limit ends.
const MinPace = 0.25

// Pace admits requests at a rate. It is a token bucket that holds the requests of one second, but
// at least one. The zero value sets no limit. It isn't safe for concurrent use, and its methods
// must be called with ascending times.
type Pace struct {
	isLimited bool
	rate      float64 // requests per second
	tokens    float64
	updatedAt clock.Millis
}

// Limit sets the rate. A Pace that had no limit starts with the given tokens, of which 1 admits a
// request.
func (p *Pace) Limit(now clock.Millis, rate, tokens float64) {
	p.advance(now)
	if !p.isLimited {
		p.tokens = tokens
	}
	p.isLimited, p.rate = true, rate
	p.tokens = min(p.tokens, p.depth())
}

// Clear removes the limit.
func (p *Pace) Clear() {
	*p = Pace{}
}

// Allows reports whether a request may be sent now.
func (p *Pace) Allows(now clock.Millis) bool {
	p.advance(now)
	return p.hasToken()
}

// hasToken reports whether a request may be sent, as of the last call of advance.
func (p *Pace) hasToken() bool {
	return !p.isLimited || p.tokens >= 1
}

// Take counts a request that is sent.
func (p *Pace) Take() {
	if p.isLimited {
		p.tokens--
	}
}

// Refund takes back the count of a request that was not sent after all.
func (p *Pace) Refund() {
	if p.isLimited {
		p.tokens = min(p.tokens+1, p.depth())
	}
}

// advance adds the tokens since the last call.
func (p *Pace) advance(now clock.Millis) {
	if now > p.updatedAt {
		p.tokens = min(p.tokens+p.rate*(now-p.updatedAt).Seconds(), p.depth())
		p.updatedAt = now
	}
}

func (p *Pace) depth() float64 {
	return max(p.rate, 1)
}

// wait returns the milliseconds until a request may be sent after the given number of others.
func (p *Pace) wait(now clock.Millis, others int) float64 {
	p.advance(now)
	if !p.isLimited {
		return 0
	}
	missing := float64(others+1) - p.tokens
	return max(missing, 0) / p.rate * float64(clock.Second)
}

// interval returns the milliseconds between two requests, 0 without a limit.
func (p *Pace) interval() float64 {
	if !p.isLimited {
		return 0
	}
	return float64(clock.Second) / p.rate
}
