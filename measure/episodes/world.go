// Package episodes plays a service whose upstreams fail in brief episodes, in
// virtual time and with the project's own decisions: grade, choice, limit.
//
// The pattern is that of the crew rosters of Trinacria: 9 upstreams of 3 slots
// before 24 entries, long lists of a low rank beside short requests of a better
// one, about half of the upstreams failing 85% of what they get for 10 to 30 s at
// a time, within milliseconds or by letting it hang.
package episodes

import (
	"container/heap"
	"math"
	"math/rand/v2"

	"fuchsiapick.example/fuchsiapick/clock"
)

// Figures of an episode: those that package grade is tuned to.
const (
	onsetMean           = float64(25 * clock.Second)
	recoveryMean        = float64(15 * clock.Second)
	failingShare        = 0.85
	healthyFailingShare = 0.012
	failTime            = clock.Millis(2)
	// hop is one way between an entry and a gate.
	hop = clock.Millis(1)
)

// Result counts what became of a kind's requests.
type Result struct {
	Requests, Served, InTarget, Failed, Refused int
}

// Share is the part of the requests that were served.
func (r Result) Share() float64 { return float64(r.Served) / float64(max(r.Requests, 1)) }

// Report is the outcome of a run.
type Report struct {
	Kinds map[string]Result
	// Retries is the share of requests that a second upstream ran.
	Retries float64
	// Unused is the share, among upstreams that have been sound for soundFor, of
	// those that got no request within the last quietSpan, over samples.
	Unused float64
	// TooManyUnused is the share of samples in which that held for more than
	// quietMost of them.
	TooManyUnused float64
}

// What operators call an unused upstream: a sound one that gets nothing for two
// seconds. At most 0.3 of a service's may be unused at a time.
const (
	unusedWindow = 2 * clock.Second
	healthyFor   = 4 * clock.Second
	maxUnused    = 0.3
	// sampleInterval is the span between two looks.
	sampleInterval = 250 * clock.Millis(1)
)

// request is one request on its way.
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

// upstream fails in episodes.
type upstream struct {
	failing bool
	until   clock.Millis
	random  *rand.Rand
	// recoveredAt is when the last episode ended, asked when the last request came.
	recoveredAt, lastRequest clock.Millis
}

func (u *upstream) isFailing(now clock.Millis) bool {
	for now >= u.until {
		u.failing = !u.failing
		mean := onsetMean
		if u.failing {
			mean = recoveryMean
		} else {
			u.recoveredAt = u.until
		}
		u.until += 1 + clock.Millis(u.random.ExpFloat64()*mean)
	}
	return u.failing
}

// world is one run.
type world struct {
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
	// counts of sample
	samples, tooManyUnused, healthy, unused int
}

// router decides where requests go.
type router interface {
	// start takes in a new request.
	start(r *request)
}

// Run plays one run.
func Run(c Config) Report {
	w := &world{config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), report: Report{Kinds: map[string]Result{}}}
	for i := range c.Upstreams {
		w.upstreams = append(w.upstreams, &upstream{failing: true, random: rand.New(rand.NewPCG(c.Seed, uint64(i)+2))})
	}
	switch c.Policy {
	case RoundRobin:
		w.router = newRoundRobin(w)
	case ShortEpisodes:
		w.router = newShortEpisodes(w)
	case Oracle:
		w.router = newOracle(w)
	}
	for i := range c.Kinds {
		w.arrive(&c.Kinds[i])
	}
	w.after(healthyFor, w.sample)
	for len(w.events) > 0 {
		e, _ := heap.Pop(&w.events).(event)
		w.now = e.at
		e.act()
	}
	w.report.Retries = float64(w.retried) / float64(max(w.requests, 1))
	w.report.Unused = float64(w.unused) / float64(max(w.healthy, 1))
	w.report.TooManyUnused = float64(w.tooManyUnused) / float64(max(w.samples, 1))
	return w.report
}

// sample looks for sound upstreams that get no requests.
func (w *world) sample() {
	sound, quiet := 0, 0
	for _, u := range w.upstreams {
		if u.isFailing(w.now) || w.now-u.recoveredAt < healthyFor {
			continue
		}
		sound++
		if w.now-u.lastRequest >= unusedWindow {
			quiet++
		}
	}
	w.healthy += sound
	w.unused += quiet
	w.samples++
	if float64(quiet) > maxUnused*float64(sound) {
		w.tooManyUnused++
	}
	if w.now+sampleInterval <= w.config.Span {
		w.after(sampleInterval, w.sample)
	}
}

// arrive draws the next request of a kind.
func (w *world) arrive(k *Kind) {
	gap := 1 + clock.Millis(w.random.ExpFloat64()*float64(clock.Second)/(k.PerSecond*w.config.Load))
	if w.now+gap > w.config.Span {
		return
	}
	w.after(gap, func() {
		sigma := k.Spread
		work := float64(k.Work) * math.Exp(sigma*w.random.NormFloat64()-sigma*sigma/2)
		r := &request{
			kind: k, entry: w.caller(k), began: w.now,
			work: max(clock.Millis(work), 1), tried: map[int]bool{}, full: map[int]bool{},
		}
		w.requests++
		w.count(k, func(out *Result) { out.Requests++ })
		w.router.start(r)
		w.arrive(k)
	})
}

// caller draws the entry to which a request of a kind comes.
func (w *world) caller(k *Kind) int {
	domains := max(w.config.Domains, 1)
	for {
		e := w.random.IntN(w.config.Entries)
		isCalling := w.config.CallingDomains == 0 || w.domain(e) < w.config.CallingDomains
		if isCalling && (e/domains)%max(k.EntryStride, 1) == 0 {
			return e
		}
	}
}

// domain is the failure domain of an entry or upstream.
func (w *world) domain(i int) int {
	return i % max(w.config.Domains, 1)
}

// run plays a request's run at an upstream and tells how it ended. The run is given up by
// what it returns.
func (w *world) run(r *request, i int, ended func(ok bool)) (giveUp func()) {
	isOver := false
	end := func(ok bool) {
		if !isOver {
			isOver = true
			ended(ok)
		}
	}
	r.ran++
	w.upstreams[i].lastRequest = w.now
	if r.ran == 2 {
		w.retried++
	}
	share := healthyFailingShare
	if w.upstreams[i].isFailing(w.now) {
		share = failingShare
	}
	isSick := share == failingShare
	switch {
	case w.random.Float64() >= share:
		w.after(r.work, func() { end(true) })
	case isSick && w.config.Hangs:
		w.after(max(r.deadline()-w.now, 1), func() { end(false) })
	default:
		w.after(failTime, func() { end(false) })
	}
	return func() { end(false) }
}

// finish counts the end of a request, once.
func (w *world) finish(r *request, served, refused bool) {
	if r.finished {
		return
	}
	r.finished = true
	took := w.now - r.began
	w.count(r.kind, func(out *Result) {
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

func (w *world) count(k *Kind, change func(out *Result)) {
	out := w.report.Kinds[k.Name]
	change(&out)
	w.report.Kinds[k.Name] = out
}

func (w *world) after(span clock.Millis, act func()) {
	w.sequence++
	heap.Push(&w.events, event{w.now + span, w.sequence, act})
}

type event struct {
	at       clock.Millis
	sequence int
	act      func()
}

// queue orders events by instant, then by when they were made.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event, for package heap.
func (q *queue) Push(x any) {
	if e, ok := x.(event); ok {
		*q = append(*q, e)
	}
}

// Pop removes the last event, for package heap.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
