package limit

import "fuchsiapick.example/fuchsiapick/clock"

// minPace is the lowest rate at which requests are admitted, in requests per second. A
// backend server that names a limit of 0 must still get a request now and then, because only
// its responses say when the limit ends.
const minPace = 0.25

// pace admits requests at the rate that a backend server names. It is a token bucket that
// holds the requests of one second, but at least one. The zero value sets no limit.
type pace struct {
	isLimited bool
	rate      float64 // requests per second
	tokens    float64
	updatedAt clock.Millis
}

// advance adds the tokens since the last call.
func (p *pace) advance(now clock.Millis) {
	if now > p.updatedAt {
		p.tokens = min(p.tokens+p.rate*(now-p.updatedAt).Seconds(), p.depth())
		p.updatedAt = now
	}
}

func (p *pace) depth() float64 {
	return max(p.rate, 1)
}

// limit sets the rate. A pace that was unlimited starts without tokens, since the backend
// server has just received requests without any limit.
func (p *pace) limit(rate float64) {
	if !p.isLimited {
		p.tokens = 0
	}
	p.isLimited, p.rate = true, max(rate, minPace)
	p.tokens = min(p.tokens, p.depth())
}

// allows reports whether a request may be sent now.
func (p *pace) allows() bool {
	return !p.isLimited || p.tokens >= 1
}

// take counts a request that is sent.
func (p *pace) take() {
	p.tokens--
}

// refund takes back the count of a request that was not sent after all.
func (p *pace) refund() {
	p.tokens = min(p.tokens+1, p.depth())
}

// wait returns the milliseconds until a request may be sent after the given number of others.
func (p *pace) wait(others int) float64 {
	if !p.isLimited {
		return 0
	}
	missing := float64(others+1) - p.tokens
	return max(missing, 0) / p.rate * float64(clock.Second)
}

// interval returns the milliseconds between two requests, 0 without a limit.
func (p *pace) interval() float64 {
	if !p.isLimited {
		return 0
	}
	return float64(clock.Second) / p.rate
}
