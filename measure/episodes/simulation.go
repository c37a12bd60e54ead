// Package episodes simulates a service whose upstreams fail in short episodes, in
// virtual time and with the project's own packages episode, choice and limit.
//
// The pattern is that of the crew rosters of Trinacria: 24 entries and 9 upstreams of 3
// slots; long lists of low priority beside short requests of higher priority; about half
// of the upstreams fail 85% of their requests for 10 to 30 s at a time, either within
// milliseconds or by hanging.
package episodes

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Figures of an episode: those that package episode is tuned to. meanTimeToOnset is the
// mean time between two episodes, meanTimeToRecovery the mean length of an episode, both
// in milliseconds.
const (
	meanTimeToOnset     = float64(25 * clock.Second)
	meanTimeToRecovery  = float64(15 * clock.Second)
	failingShare        = 0.85
	healthyFailingShare = 0.012
	failTime            = clock.Millis(2)
	// hopDelay is the one-way network delay between an entry and a gate.
	hopDelay = clock.Millis(1)
)

// Result counts the requests of one kind by outcome. InTarget is a part of Served.
type Result struct {
	Requests, Served, InTarget, Failed, Refused int
}

// Share returns the share of requests that were served, from 0 to 1.
func (r Result) Share() float64 { return float64(r.Served) / float64(max(r.Requests, 1)) }

// Report holds the figures of a run. Results in Kinds are by the name of the kind.
type Report struct {
	Kinds map[string]Result
	// Retries is the share of requests that were run a second time.
	Retries float64
	// Unused is the share of healthy upstreams that got no request within the last
	// unusedWindow, over all samples. Only upstreams that have been healthy for
	// healthyFor count.
	Unused float64
	// TooManyUnused is the share of samples in which more than maxUnused of the
	// healthy upstreams were unused.
	TooManyUnused float64
}

// Operators call a healthy upstream unused if it gets no request for two seconds. They
// accept that at most 0.3 of a service's healthy upstreams are unused at a time.
const (
	unusedWindow = 2 * clock.Second
	healthyFor   = 4 * clock.Second
	maxUnused    = 0.3
	// sampleInterval is the time between two samples of unused upstreams.
	sampleInterval = 250 * clock.Millis(1)
)

// request is the state of one request: ran counts its runs, tried holds the upstreams
// that it must not choose again, and full those that had no free slot. directAttempts,
// probed, waited and forced record which steps of shortEpisodes.start it has taken.
type request struct {
	kind           *Kind
	entry          int
	began          clock.Millis
	work           clock.Millis
	ran            int
	tried          map[int]bool
	full           map[int]bool
	directAttempts int
	probed         bool
	waited         bool
	forced         bool
	finished       bool
}

func (r *request) deadline() clock.Millis { return r.began + r.kind.Timeout }

// upstream is an upstream that fails in episodes.
type upstream struct {
	failing bool
	// until is when the current episode, or the time between two, ends.
	until  clock.Millis
	random *rand.Rand
	// recoveredAt is when the last episode ended, lastRequest when the last request
	// arrived.
	recoveredAt, lastRequest clock.Millis
}

// isFailing reports whether the upstream is in an episode. It first draws the episodes
// up to now, so now must not decrease between calls.
func (u *upstream) isFailing(now clock.Millis) bool {
	for now >= u.until {
		u.failing = !u.failing
		mean := meanTimeToOnset
		if u.failing {
			mean = meanTimeToRecovery
		} else {
			u.recoveredAt = u.until
		}
		u.until += 1 + clock.Millis(u.random.ExpFloat64()*mean)
	}
	return u.failing
}

// simulation is the state of one run.
type simulation struct {
	config    Config
	now       clock.Millis
	events    queue
	sequence  int
	random    *rand.Rand
	upstreams []*upstream
	report    Report
	requests  int
	retried   int
	router    router
	// counts that sample updates
	samples, tooManyUnused, healthy, unused int
}

// router implements a Policy.
type router interface {
	// start routes a new request, or one that is retried.
	start(r *request)
}

// Run simulates one run. The same Config gives the same Report.
func Run(c Config) Report {
	s := &simulation{config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), report: Report{Kinds: map[string]Result{}}}
	for i := range c.Upstreams {
		s.upstreams = append(s.upstreams, &upstream{failing: true, random: rand.New(rand.NewPCG(c.Seed, uint64(i)+2))})
	}
	switch c.Policy {
	case RoundRobin:
		s.router = newRoundRobin(s)
	case ShortEpisodes:
		s.router = newShortEpisodes(s)
	case Oracle:
		s.router = newOracle(s)
	}
	for i := range c.Kinds {
		s.arrive(&c.Kinds[i])
	}
	s.after(healthyFor, s.sample)
	for len(s.events) > 0 {
		e, _ := heap.Pop(&s.events).(event)
		s.now = e.at
		e.act()
	}
	s.report.Retries = float64(s.retried) / float64(max(s.requests, 1))
	s.report.Unused = float64(s.unused) / float64(max(s.healthy, 1))
	s.report.TooManyUnused = float64(s.tooManyUnused) / float64(max(s.samples, 1))
	return s.report
}

// sample counts the healthy upstreams, and those among them that are unused.
func (s *simulation) sample() {
	healthy, unused := 0, 0
	for _, u := range s.upstreams {
		if u.isFailing(s.now) || s.now-u.recoveredAt < healthyFor {
			continue
		}
		healthy++
		if s.now-u.lastRequest >= unusedWindow {
			unused++
		}
	}
	s.healthy += healthy
	s.unused += unused
	s.samples++
	if float64(unused) > maxUnused*float64(healthy) {
		s.tooManyUnused++
	}
	if s.now+sampleInterval <= s.config.Span {
		s.after(sampleInterval, s.sample)
	}
}

// arrive schedules the next request of a kind, unless it would arrive after the run.
func (s *simulation) arrive(k *Kind) {
	gap := 1 + clock.Millis(s.random.ExpFloat64()*float64(clock.Second)/(k.PerSecond*s.config.Load))
	if s.now+gap > s.config.Span {
		return
	}
	s.after(gap, func() {
		sigma := k.Spread
		work := float64(k.Work) * math.Exp(sigma*s.random.NormFloat64()-sigma*sigma/2)
		r := &request{
			kind: k, entry: s.drawEntry(k), began: s.now,
			work: max(clock.Millis(work), 1), tried: map[int]bool{}, full: map[int]bool{},
		}
		s.requests++
		s.updateResult(k, func(out *Result) { out.Requests++ })
		s.router.start(r)
		s.arrive(k)
	})
}

// drawEntry returns a random entry that gets requests of the kind.
func (s *simulation) drawEntry(k *Kind) int {
	domains := max(s.config.Domains, 1)
	for {
		e := s.random.IntN(s.config.Entries)
		isCalling := s.config.CallingDomains == 0 || s.domain(e) < s.config.CallingDomains
		if isCalling && (e/domains)%max(k.EntryStride, 1) == 0 {
			return e
		}
	}
}

// domain returns the failure domain of an entry or upstream.
func (s *simulation) domain(i int) int {
	return i % max(s.config.Domains, 1)
}

// run simulates the run of a request at an upstream and calls onEnd once, with false if
// the run failed. The returned function cancels the run, which then fails.
func (s *simulation) run(r *request, i int, onEnd func(ok bool)) (cancel func()) {
	done := false
	end := func(ok bool) {
		if !done {
			done = true
			onEnd(ok)
		}
	}
	r.ran++
	s.upstreams[i].lastRequest = s.now
	if r.ran == 2 {
		s.retried++
	}
	share := healthyFailingShare
	if s.upstreams[i].isFailing(s.now) {
		share = failingShare
	}
	isFailing := share == failingShare
	switch {
	case s.random.Float64() >= share:
		s.after(r.work, func() { end(true) })
	case isFailing && s.config.Hangs:
		s.after(max(r.deadline()-s.now, 1), func() { end(false) })
	default:
		s.after(failTime, func() { end(false) })
	}
	return func() { end(false) }
}

// finish counts the outcome of a request. Further calls for the request have no effect.
func (s *simulation) finish(r *request, served, refused bool) {
	if r.finished {
		return
	}
	r.finished = true
	took := s.now - r.began
	s.updateResult(r.kind, func(out *Result) {
		switch {
		case served && took <= r.kind.Timeout:
			out.Served++
			if took <= r.kind.Target {
				out.InTarget++
			}
		case refused:
			out.Refused++
		default:
			out.Failed++
		}
	})
}

func (s *simulation) updateResult(k *Kind, change func(out *Result)) {
	out := s.report.Kinds[k.Name]
	change(&out)
	s.report.Kinds[k.Name] = out
}

func (s *simulation) after(span clock.Millis, act func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + span, s.sequence, act})
}

type event struct {
	at       clock.Millis
	sequence int
	act      func()
}

// queue is a heap of events by time, then by the order in which they were added.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
