package share

import (
	"maps"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// maxServiceAccounts is the number of accounts of a service whose use is summed.
	maxServiceAccounts = 256
	// maxStatementAge is how long the use that a gate stated counts: about half of decayTime,
	// since later the account may have stopped.
	maxStatementAge = 5 * clock.Second
	// sumInterval is how often the uses are summed: short compared to decayTime, and long
	// compared to the time between two requests.
	sumInterval = 250 * clock.Millis(1)
	// minWeightPart is the part of its weight that an account keeps at least. It keeps the
	// order among accounts far over their shares finite.
	minWeightPart = 0.01
)

// Service sums the uses that the gates of a service state. It isn't safe for concurrent use.
type Service struct {
	statements map[string]statement // by upstream
	used       map[string]float64   // by account
	// claims holds when accounts last made a claim. They count among those that the slots are
	// shared by, also if they have none.
	claims   map[string]clock.Millis
	sharers  int
	total    float64
	summedAt clock.Millis
	isSummed bool
}

// statement is what one gate stated last.
type statement struct {
	at   clock.Millis
	uses []Use
}

// NewService returns a Service that knows of no use.
func NewService() *Service {
	return &Service{}
}

// Update replaces what the gate of an upstream has stated. The uses of accounts that the gate
// doesn't name have an empty name. Service keeps uses.
func (s *Service) Update(now clock.Millis, upstream string, uses []Use) {
	if s.statements == nil { // most services never get a statement
		s.statements, s.used = map[string]statement{}, map[string]float64{}
	}
	s.statements[upstream] = statement{at: now, uses: uses}
}

// Weight returns the weight to state in a claim of the account: its own weight divided by its
// use of the service relative to an equal share. An account that has used less than an equal
// share states its own weight, which gives it a slot before any account that has used more.
func (s *Service) Weight(now clock.Millis, name string, weight float64) float64 {
	if weight <= 0 {
		weight = defaultWeight
	}
	if s.claims == nil {
		s.claims = map[string]clock.Millis{}
	}
	if _, ok := s.claims[name]; ok || len(s.claims) < maxServiceAccounts {
		s.claims[name] = now
	}
	s.sum(now)
	used := s.used[name]
	if used <= 0 || s.total <= 0 {
		return weight
	}
	relative := used * float64(s.sharers) / s.total
	return weight * max(min(1/relative, 1), minWeightPart)
}

// sum sums the statements, unless it has done so within sumInterval.
func (s *Service) sum(now clock.Millis) {
	if s.isSummed && now-s.summedAt < sumInterval {
		return
	}
	s.isSummed, s.summedAt, s.total = true, now, 0
	clear(s.used)
	maps.DeleteFunc(s.statements, func(_ string, stated statement) bool { return now-stated.at > maxStatementAge })
	for _, stated := range s.statements {
		for _, u := range stated.uses {
			s.total += u.Used
			if u.Account != "" {
				s.used[u.Account] += u.Used
			}
		}
	}
	if len(s.used) > maxServiceAccounts {
		s.evict()
	}
	s.sharers = len(s.used)
	for name, at := range s.claims {
		if now-at > maxStatementAge {
			delete(s.claims, name)
		} else if _, ok := s.used[name]; !ok {
			s.sharers++
		}
	}
}

// evict keeps the accounts with the largest use. The others are removed from the statements,
// too, so that these hold no more names; their use stays in the total without a name.
func (s *Service) evict() {
	uses := make([]Use, 0, len(s.used))
	for name, used := range s.used {
		uses = append(uses, Use{Account: name, Used: used})
	}
	clear(s.used)
	for _, u := range selectLargest(uses, maxServiceAccounts) {
		s.used[u.Account] = u.Used
	}
	for upstream, stated := range s.statements {
		kept, rest := stated.uses[:0], 0.0
		for _, u := range stated.uses {
			if _, ok := s.used[u.Account]; ok {
				kept = append(kept, u)
			} else {
				rest += u.Used
			}
		}
		if rest > 0 {
			kept = append(kept, Use{Used: rest})
		}
		s.statements[upstream] = statement{at: stated.at, uses: kept}
	}
}
