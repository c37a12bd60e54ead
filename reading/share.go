package reading

import (
	"hash/fnv"
	"math"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Defaults of ShareConfig.
const (
	// defaultReaders of each key within a view. Three, since at least one
	// remains when one has just died and another can't reach the platform.
	defaultReaders = 3
	// defaultBudget in calls a second of all nodes together for one key. Two
	// keys are read; with both at their bounds the calls are at four fifths of
	// the 2,000 a second that the platform allows.
	defaultBudget = 800
	// defaultPolls in calls a second of all nodes that don't watch, for one key.
	// With 200, each of 2,400 nodes polls every 12 to 18 seconds, so that one
	// whose peers tell it nothing still has a change within 19.
	defaultPolls = 200
	// fullFleet is the number of nodes from which the bounds apply whole, the
	// size designed for. Smaller fleets get less, by the square root, as the
	// platform's rates grow more slowly than the fleet. It also stands for the
	// number of nodes while no table is known.
	fullFleet = 2400
)

// ShareConfig describes how the nodes share the platform's calls.
type ShareConfig struct {
	// Readers is how many nodes of a view watch a key; 0 stands for 3.
	Readers int
	// Budget bounds the calls a second of 2,400 nodes or more for one key,
	// whatever their views; 0 stands for 800.
	Budget int
	// Polls bounds the calls a second of 2,400 nodes or more that don't watch,
	// for one key; 0 stands for 200.
	Polls int
}

// View is what one node knows when it decides whether to watch.
type View struct {
	// Self is the node's own link address.
	Self string
	// Peers are the link addresses of nodes that it has live links to; whether
	// Self is among them makes no difference.
	Peers []string
	// Fleet is how many nodes the accepted table names, not how many are heard:
	// a node that is cut off must not take the fleet for small and call more
	// often. 0 stands for 2,400.
	Fleet int
}

// Plan is how a node reads one key until its view changes.
type Plan struct {
	// Direct nodes watch; the others poll and hear of changes from peers.
	Direct bool
	// Pace is the shortest span between two calls of the node.
	Pace clock.Millis
	// Poll is the shortest span between two polls.
	Poll clock.Millis
}

// AfterWatch draws the span to leave after a watch, from Pace to twice Pace:
// watches that one change ended together would otherwise come back together.
func (p Plan) AfterWatch(source *rand.Rand) clock.Millis {
	return p.Pace + clock.Millis(source.Int64N(int64(p.Pace)+1))
}

// AfterPoll draws the span to leave after a poll, from Poll to one and a half
// times Poll.
func (p Plan) AfterPoll(source *rand.Rand) clock.Millis {
	return p.Poll + clock.Millis(source.Int64N(int64(p.Poll)/2+1))
}

// Share decides how the node of the view reads a key.
//
// A node watches if fewer than Readers of its peers come before it in the
// key's order, which is drawn from a hash of key and node (rendezvous hash).
// Nothing is agreed on. The first of all nodes in that order comes before any
// peer in any view, so that at least one node watches, whatever the views. A
// view that still names dead nodes can hide it until links to them are given
// up; meanwhile polls bring changes.
//
// However views differ, all nodes together stay within Budget, since each call
// is followed by Pace, even if every node watches.
func Share(config ShareConfig, view View, key string) Plan {
	config = config.withDefaults()
	fleet := view.Fleet
	if fleet <= 0 {
		fleet = fullFleet
	}
	return Plan{
		Direct: before(view, key) < config.Readers,
		Pace:   every(fleet, config.Budget),
		Poll:   every(fleet, config.Polls),
	}
}

func (c ShareConfig) withDefaults() ShareConfig {
	if c.Readers <= 0 {
		c.Readers = defaultReaders
	}
	if c.Budget <= 0 {
		c.Budget = defaultBudget
	}
	if c.Polls <= 0 {
		c.Polls = defaultPolls
	}
	return c
}

// every returns the span between the calls of each node of a fleet, such that
// all make no more than their part of rate calls a second, rounded up.
func every(fleet, rate int) clock.Millis {
	allowed := float64(rate) * math.Sqrt(min(1, float64(fleet)/fullFleet))
	return clock.Millis(math.Ceil(float64(fleet) / allowed * float64(clock.Second)))
}

// before counts the peers that come before the node in the key's order.
func before(view View, key string) int {
	own := score(key, view.Self)
	count := 0
	for _, peer := range view.Peers {
		if peer == view.Self {
			continue
		}
		other := score(key, peer)
		if other > own || other == own && peer > view.Self {
			count++
		}
	}
	return count
}

// score is a node's place in the order of a key.
func score(key, node string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(node))
	return mix(hash.Sum64())
}

// mix spreads a hash over all its bits (the finalizer of SplitMix64); FNV
// leaves those of addresses that differ in their last digit close together.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
