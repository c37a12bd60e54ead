package referral

import (
	"math/rand/v2"
	"slices"
)

// maxRounds is how often a search asks the seeds before it gives up.
const maxRounds = 6

// Search is a joining node's search for a node that serves it. It is not safe for concurrent use.
type Search struct {
	seeds  []string
	random *rand.Rand
	// candidates are the nodes to ask next, in this order.
	candidates  []string
	unreachable []string
	rounds      int
}

// NewSearch returns a search that begins with the seeds in random order, so that the nodes of a
// fleet spread over them.
func NewSearch(seeds []string, seed uint64) *Search {
	return &Search{seeds: slices.Clone(seeds), random: rand.New(rand.NewPCG(seed, 0))}
}

// Next returns the next node to ask, and false if the search has failed.
func (s *Search) Next() (string, bool) {
	if len(s.candidates) == 0 {
		if s.rounds == maxRounds {
			return "", false
		}
		s.rounds++
		s.candidates = s.shuffled(s.seeds)
	}
	if len(s.candidates) == 0 {
		return "", false
	}
	next := s.candidates[0]
	s.candidates = s.candidates[1:]
	return next, true
}

// Referred records that a node named other nodes to ask instead.
func (s *Search) Referred(nodes []string) {
	s.candidates = append(s.shuffled(nodes), s.candidates...)
}

// Failed records that a node didn't answer.
func (s *Search) Failed(node string) {
	if !slices.Contains(s.unreachable, node) {
		s.unreachable = append(s.unreachable, node)
	}
}

// Unreachable returns the nodes that didn't answer.
func (s *Search) Unreachable() []string {
	return s.unreachable
}

// Rounds returns how often the seeds were asked.
func (s *Search) Rounds() int {
	return s.rounds
}

func (s *Search) shuffled(nodes []string) []string {
	nodes = slices.Clone(nodes)
	s.random.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes
}
