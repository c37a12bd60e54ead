// Package waiting decides which gates of a service hold the claims of a request that waits
// at its entry for a slot. It addresses a load under which no slot is free at the gates that
// the request asks first, while others of the service have room or get it sooner.
package waiting

import "fuchsiapick.example/fuchsiapick/clock"

const (
	// MaxOpen is the number of gates that hold a claim of one request at the same time.
	// Every further claim is one more queue position that is released unused.
	MaxOpen = 4
	// MaxClaims is the number of claims of one request in all, retries included. It bounds
	// the messages of a request while every gate refuses.
	MaxClaims = 24
	// ConfirmTimeout is how long a gate may take to confirm a claim before it counts as
	// unreachable for the request: several round trips between failure domains (7 ms each)
	// plus the delay of a busy node.
	ConfirmTimeout = 100 * clock.Millis(1)
	// MinAskAgain is the shortest time between a gate's refusal and the next claim there. A
	// slot of today's services is held three times as long.
	MinAskAgain = 100 * clock.Millis(1)
)

// Outcome is how a claim ended.
type Outcome string

// The values of Outcome.
const (
	Granted Outcome = "granted"
	Refused Outcome = "refused"
	// Withdrawn means that the request started elsewhere, ended, or found a shorter wait.
	Withdrawn Outcome = "withdrawn"
	// Unconfirmed means that the claim was not sent, not confirmed in time or lost with its
	// link.
	Unconfirmed Outcome = "unconfirmed"
)

// Outcomes holds all values of Outcome.
var Outcomes = []Outcome{Granted, Refused, Withdrawn, Unconfirmed}

// Config configures a Search.
type Config struct {
	// StartBy is the latest instant at which it is useful for the request to start.
	StartBy clock.Millis
	// Claims is the number of claims that the search may make, at most MaxClaims.
	Claims int
}

// Refusal is a gate's refusal of a claim.
type Refusal struct {
	// IsFull means that nothing but a lack of room is wrong, so that the gate may be asked
	// again after RetryAfter.
	IsFull     bool
	RetryAfter clock.Millis
}

// Search is the search of one request for a slot. A claim is named by the index that Claim
// returns. The zero value is not usable; Search isn't safe for concurrent use.
type Search struct {
	config Config
	claims []claim
	open   int
	// isExhausted means that at exhaustedAt no gate could be asked that MayAsk permits.
	isExhausted bool
	exhaustedAt clock.Millis
	isGranted   bool
}

type claim struct {
	gate string
	// isOpen means that the gate may still grant the claim.
	isOpen      bool
	isConfirmed bool
	// askedAt is when the claim was made, turnAt when its gate expects to have room for it;
	// 0 if that isn't known.
	askedAt, turnAt clock.Millis
	// askAgainAt is when the gate may get another claim; 0 for never.
	askAgainAt clock.Millis
}

// New returns a search without claims.
func New(c Config) *Search {
	c.Claims = min(c.Claims, MaxClaims)
	return &Search{config: c}
}

// WantsClaim reports whether another gate is to be asked now.
func (s *Search) WantsClaim(now clock.Millis) bool {
	if s.isGranted || !s.mayClaim(now) {
		return false
	}
	again, ok := s.nextAskAgain(now)
	return !s.isExhausted || (ok && again <= now)
}

// mayClaim reports whether the limits of the search permit another claim.
func (s *Search) mayClaim(now clock.Millis) bool {
	return s.open < MaxOpen && len(s.claims) < s.config.Claims && now < s.config.StartBy
}

// MayAsk reports whether a gate may get a claim now: it holds none, and it has either not
// been asked or refused for lack of room long enough ago.
func (s *Search) MayAsk(now clock.Millis, gate string) bool {
	c := s.latest(gate)
	return c == nil || (!c.isOpen && c.askAgainAt > 0 && c.askAgainAt <= now)
}

// latest returns the latest claim at a gate, nil if there is none.
func (s *Search) latest(gate string) *claim {
	for i := len(s.claims) - 1; i >= 0; i-- {
		if s.claims[i].gate == gate {
			return &s.claims[i]
		}
	}
	return nil
}

// Claim records that a gate is asked and returns the index of the claim.
func (s *Search) Claim(now clock.Millis, gate string) int {
	s.claims = append(s.claims, claim{gate: gate, isOpen: true, askedAt: now})
	s.open++
	return len(s.claims) - 1
}

// Exhaust records that no gate that MayAsk permits can serve the request. WantsClaim then
// returns false until a claim has ended or another gate may be asked again.
func (s *Search) Exhaust(now clock.Millis) {
	s.isExhausted, s.exhaustedAt = true, now
}

// Queue records that a gate has confirmed a claim, which waits there for about the given time;
// 0 if the time isn't known.
func (s *Search) Queue(now clock.Millis, index int, wait clock.Millis) {
	c := &s.claims[index]
	if !c.isOpen {
		return
	}
	c.isConfirmed = true
	if wait > 0 {
		c.turnAt = now + wait
	}
}

// Refuse records that a gate has refused a claim.
func (s *Search) Refuse(now clock.Millis, index int, r Refusal) {
	c := &s.claims[index]
	if !c.isOpen {
		return
	}
	s.end(c)
	if r.RetryAfter > 0 {
		c.turnAt = now + r.RetryAfter
	}
	if r.IsFull {
		c.askAgainAt = now + max(r.RetryAfter, MinAskAgain)
	}
}

// Lose records that a claim could not be sent, or that its link is lost.
func (s *Search) Lose(index int) {
	if c := &s.claims[index]; c.isOpen {
		s.end(c)
	}
}

// Grant records that a gate has granted a claim. It returns false if the grant comes too late
// to be used, so that it must be released.
func (s *Search) Grant(index int) bool {
	c := &s.claims[index]
	if !c.isOpen || s.isGranted {
		return false
	}
	s.end(c)
	s.isGranted = true
	return true
}

func (s *Search) end(c *claim) {
	c.isOpen = false
	s.open--
	s.isExhausted = false
}

// Withdrawal is a claim that its entry withdraws.
type Withdrawal struct {
	Index int
	// IsUnconfirmed means that the gate didn't confirm the claim in time.
	IsUnconfirmed bool
}

// Withdraw ends the claims that are to be withdrawn now, and returns them: those without
// confirmation, and those whose turn would come too late while another claim's turn comes
// sooner. Once the search has ended, these are all open claims.
func (s *Search) Withdraw(now clock.Millis) []Withdrawal {
	var withdrawn []Withdrawal
	soonest, isKnown := s.soonestTurn()
	for i := range s.claims {
		c := &s.claims[i]
		if !c.isOpen {
			continue
		}
		isUnconfirmed := !c.isConfirmed && now >= c.askedAt+ConfirmTimeout
		isLate := c.turnAt > s.config.StartBy && isKnown && soonest < c.turnAt && len(s.claims) < s.config.Claims
		if isUnconfirmed || isLate || s.isGranted || now >= s.config.StartBy {
			s.end(c)
			withdrawn = append(withdrawn, Withdrawal{Index: i, IsUnconfirmed: isUnconfirmed})
		}
	}
	return withdrawn
}

// End ends the search and returns its open claims, which are to be withdrawn.
func (s *Search) End(now clock.Millis) []Withdrawal {
	s.config.StartBy = min(s.config.StartBy, now)
	return s.Withdraw(now)
}

// IsOpen reports whether a gate may still grant a claim.
func (s *Search) IsOpen(index int) bool {
	return s.claims[index].isOpen
}

// soonestTurn returns when the first of the open claims is expected to get a slot; ok is false
// if no gate has stated it.
func (s *Search) soonestTurn() (at clock.Millis, ok bool) {
	for i := range s.claims {
		c := &s.claims[i]
		if c.isOpen && c.turnAt > 0 && (!ok || c.turnAt < at) {
			at, ok = c.turnAt, true
		}
	}
	return at, ok
}

// HasEnded reports whether the search is over: a claim was granted, it is too late to start, or
// no gate is left that could still be asked or grant a claim.
func (s *Search) HasEnded(now clock.Millis) bool {
	if s.isGranted || now >= s.config.StartBy {
		return true
	}
	if s.open > 0 || s.WantsClaim(now) {
		return false
	}
	_, ok := s.nextAskAgain(now)
	return !ok
}

// nextAskAgain returns the earliest instant at which a gate that was full may be asked again;
// ok is false if none may before it is too late to start. Gates that might have been asked when
// the search was exhausted don't count, since they could not serve the request.
func (s *Search) nextAskAgain(now clock.Millis) (at clock.Millis, ok bool) {
	if !s.mayClaim(now) {
		return 0, false
	}
	for i := range s.claims {
		c := &s.claims[i]
		isPassedOver := s.isExhausted && c.askAgainAt <= s.exhaustedAt
		if c.askAgainAt == 0 || isPassedOver || c.askAgainAt >= s.config.StartBy || s.latest(c.gate) != c {
			continue
		}
		if !ok || c.askAgainAt < at {
			at, ok = c.askAgainAt, true
		}
	}
	return at, ok
}

// WakeAt returns the instant after now at which the search continues without an event.
func (s *Search) WakeAt(now clock.Millis) clock.Millis {
	at := s.config.StartBy
	for i := range s.claims {
		if c := &s.claims[i]; c.isOpen && !c.isConfirmed {
			at = min(at, c.askedAt+ConfirmTimeout)
		}
	}
	if again, ok := s.nextAskAgain(now); ok {
		at = min(at, again)
	}
	return max(at, now+1)
}

// RoomAt returns the earliest instant after now at which a gate asked expects room, as it last
// stated; 0 if none has stated it. Instants that have passed were wrong: the gate granted nothing.
func (s *Search) RoomAt(now clock.Millis) clock.Millis {
	room := clock.Millis(0)
	for i := range s.claims {
		c := &s.claims[i]
		if c.turnAt > now && s.latest(c.gate) == c && (room == 0 || c.turnAt < room) {
			room = c.turnAt
		}
	}
	return room
}
