package departure_test

import (
	"math/rand/v2"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/departure"
	"fuchsiapick.example/fuchsiapick/episode"
)

// excusedUntil is how long after the signal a request may be sent that the node may end without its answer.
const excusedUntil = 3 * clock.Second

// casesPerTest is the number of departures that a test draws.
const casesPerTest = 50_000

// between draws a duration between two bounds.
func between(r *rand.Rand, low, high clock.Millis) clock.Millis {
	return low + clock.Millis(r.Int64N(int64(high-low)+1))
}

// newPlan returns a plan with drawn times of the settings and the routes.
func newPlan(r *rand.Rand, now, grace clock.Millis) departure.Plan {
	return departure.NewPlan(now, departure.Config{Grace: grace, Linger: between(r, 0, grace/2), ShortestTimeout: between(r, 0, clock.Minute)})
}

// departureCase is a departure after a signal at time 0, and a request that comes in it.
type departureCase struct {
	grace   clock.Millis
	plan    departure.Plan
	sent    clock.Millis
	run     departure.Run
	lasts   clock.Millis // the run, if nothing ends it
	begins  clock.Millis // the run, after a wait for a slot
	isOnce  bool
	isKnown bool
}

func drawDeparture(r *rand.Rand) departureCase {
	var c departureCase
	c.grace = between(r, 2*clock.Second, 30*clock.Second)
	noticed := between(r, 0, 300)
	c.plan = newPlan(r, noticed, c.grace-noticed)
	c.sent = between(r, 0, c.plan.CallersClose)
	c.run.Arrived = c.sent + between(r, 0, 100)
	limit := min(between(r, 1, clock.Minute), between(r, 1, clock.Minute)) // the route's timeout, the caller's
	c.run.Deadline = c.run.Arrived + limit
	c.begins = c.run.Arrived + between(r, 0, min(limit, 2*clock.Second)) // after a wait for a slot
	c.lasts = between(r, 1, clock.Minute)
	if c.isKnown = r.IntN(2) == 0; c.isKnown {
		c.run.Typical = episode.TypicalLatency{Median: between(r, 1, 4*clock.Second), Spread: r.Float64()}
	}
	c.isOnce = r.IntN(2) == 0
	c.run.HasOtherNodes = !c.isOnce
	return c
}

// forEachDeparture calls check with drawn departures.
func forEachDeparture(check func(c departureCase)) {
	r := rand.New(rand.NewPCG(1, 2))
	for range casesPerTest {
		check(drawDeparture(r))
	}
}

// isCut reports whether a part that stops at a given time ends the run without its answer and before its deadline.
func (c *departureCase) isCut(stops clock.Millis) bool {
	return c.begins+c.lasts > stops && c.run.Deadline > stops
}

// Guards against a request that a leaving node takes and then ends, though its upstream is at work and neither
// its deadline nor an early arrival excuses that.
func TestLeavingNodeEndsOnlyRequestsThatCameEarly(t *testing.T) {
	forEachDeparture(func(c departureCase) {
		stop := c.plan.Entry()
		isAllowed := stop.AllowsRequest(c.begins, c.run)
		if c.run.Deadline <= stop.At && !isAllowed {
			t.Errorf("got a request refused whose deadline %v is before the entry's stop at %v", c.run.Deadline, stop.At)
		}
		if !isAllowed || !c.isCut(stop.At) {
			return
		}
		if c.sent > excusedUntil {
			t.Errorf("got a request taken that was sent %v after the signal, and ended at %v of a grace period of %v", c.sent, stop.At, c.grace)
		}
		if stop.At < c.grace*5/6 {
			t.Errorf("got a request ended at %v, want it in the last sixth of %v", stop.At, c.grace)
		}
		if !c.isKnown {
			t.Error("got a request of an unknown route taken, want it refused")
		}
	})
}

// Guards against a run that a leaving gate begins and then cuts, though it may run only once, or came late.
func TestLeavingGateCutsOnlyRunsThatHaveOtherNodes(t *testing.T) {
	forEachDeparture(func(c departureCase) {
		stop := c.plan.Gates()
		isAllowed := stop.Admits(c.run) && stop.AllowsDispatch(c.begins, c.run)
		if isAllowed && c.isCut(stop.At) && (c.isOnce || c.sent > excusedUntil) {
			t.Errorf("got a run begun at %v and cut at %v; may run once %v, sent at %v", c.begins, stop.At, c.isOnce, c.sent)
		}
		if !c.isKnown && !isAllowed && c.run.Deadline <= stop.At {
			t.Errorf("got a run refused whose deadline %v is before the gate's stop at %v", c.run.Deadline, stop.At)
		}
	})
}

// Guards against a late request that its entry sends to a gate of another leaving node, which cuts it: nodes of
// one grace period leave one after the other.
func TestLateRequestsAreCutByNoOtherLeavingNode(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 6))
	met := 0
	for range casesPerTest {
		c := drawDeparture(r)
		begins := c.plan.Begins + between(r, -c.grace/3, c.grace/3)
		other := newPlan(r, begins, c.grace)
		isOpen := c.begins <= other.GatesClose
		if c.sent <= excusedUntil || !isOpen || !c.plan.Entry().AllowsRequest(c.begins, c.run) {
			continue
		}
		met++
		dispatched := departure.Run{Arrived: c.begins, Deadline: min(c.run.Deadline, c.plan.EntryStops), Typical: c.run.Typical, HasOtherNodes: !c.isOnce}
		stop := other.Gates()
		if begins <= c.begins && !stop.AllowsDispatch(c.begins, dispatched) {
			continue
		}
		if c.begins+c.lasts > stop.At && dispatched.Deadline > stop.At {
			t.Errorf("got a request sent at %v cut at %v, before its deadline %v; its node leaves at %v, the other at %v",
				c.sent, stop.At, dispatched.Deadline, c.plan.Begins, begins)
		}
	}
	if met < casesPerTest/100 {
		t.Errorf("got %d late requests that met a gate of a leaving node, want more", met)
	}
}

// Guards against a request that waits for a slot beyond the time at which its run could end before the entry.
func TestWaitEndsWhileTheRunCanEnd(t *testing.T) {
	forEachDeparture(func(c departureCase) {
		stop := c.plan.Entry()
		startBy := stop.StartBy(c.run)
		if c.isKnown && c.begins <= startBy && startBy < c.run.Deadline && c.run.Arrived <= c.plan.Begins && !stop.AllowsRequest(c.begins, c.run) {
			t.Errorf("got a request refused at %v that may start by %v", c.begins, startBy)
		}
		if c.begins > startBy && c.begins <= c.run.Deadline && c.isKnown && stop.AllowsRequest(c.begins, c.run) {
			t.Errorf("got a request allowed at %v that had to start by %v", c.begins, startBy)
		}
	})
}

// Guards against a plan whose steps overtake each other, so that a process is killed while it answers.
func TestPlanIsInOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	for range casesPerTest {
		now, grace := between(r, 0, clock.Hour), between(r, 0, between(r, 0, 15*clock.Minute))
		p := newPlan(r, now, grace)
		steps := []clock.Millis{now, p.Begins, p.GatesClose, p.CallersLinger, p.CallersClose, p.EntryStops, p.GatesStop, p.Stops, now + grace}
		for i := range steps[1:] {
			if steps[i] > steps[i+1] {
				t.Fatalf("got %+v for a grace period of %v, want each step after the one before", p, grace)
			}
		}
	}
}

// Guards against a port that stays open for callers whose requests are all refused, and against one that closes on
// callers whose requests would be taken.
func TestPortIsOpenWhileRequestsAreTaken(t *testing.T) {
	const grace = 10 * clock.Second
	for name, test := range map[string]struct {
		linger, shortest, want clock.Millis
	}{
		"a short route":          {0, clock.Second, 5 * clock.Second},
		"a route of some length": {0, 5 * clock.Second, 4550},
		"long routes alone":      {0, 8 * clock.Second, 2400},
		"long routes, a linger":  {4 * clock.Second, 8 * clock.Second, 4 * clock.Second},
	} {
		got := departure.NewPlan(clock.Hour, departure.Config{Grace: grace, Linger: test.linger, ShortestTimeout: test.shortest}).CallersClose
		if got != clock.Hour+test.want {
			t.Errorf("%s: got the port closed after %v, want %v", name, got-clock.Hour, test.want)
		}
	}
}

func TestNodeThatStaysAllowsEverything(t *testing.T) {
	var stop departure.Stop
	run := departure.Run{Arrived: clock.Hour, Deadline: 2 * clock.Hour, Typical: episode.TypicalLatency{Median: clock.Hour}}
	if !stop.AllowsRequest(clock.Hour, run) || !stop.AllowsDispatch(clock.Hour, run) || !stop.Admits(run) || stop.IsSet() {
		t.Error("got a run refused by a node that isn't leaving, want it allowed")
	}
}
