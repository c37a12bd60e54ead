package quarantine_test

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quarantine"
)

// What a world can lack.
const (
	nothing   = ""
	telling   = "telling"   // nodes tell each other nothing
	repairing = "repairing" // what is lost on the way isn't told again
	acquittal = "acquittal" // runs that come to their end aren't taken in
	convict   = "verdicts"  // entries heed no verdict
	success   = "success"   // a failure that is answered counts as a run's end
)

// event is something that happens at an instant.
type event struct {
	at    clock.Millis
	order int
	act   func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].order < a[j].order)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// server is one upstream of the service, with the gate beside it.
type server struct {
	name    string
	life    int
	isDown  bool
	isGray  bool // it answers most of its requests with a failure at once
	runs    map[int]*run
	suspect *run
	parked  []func()
	// finished are the requests that came to their end in this process.
	finished map[string]bool
}

// run is one send of a request at a server.
type run struct {
	id      int
	request quarantine.Request
	began   clock.Millis
	isTrial bool
	deadly  bool
	life    int
	over    func(crashed bool)
}

// world plays a fleet in virtual time: nodes with their registers, messages that take time
// and get lost, servers that end under a deadly request and by themselves, and harmless
// requests, one of them popular.
type world struct {
	random    *rand.Rand
	without   string
	now       clock.Millis
	events    agenda
	count     int
	nodes     []*quarantine.Registry
	told      []uint64
	cutUntil  []clock.Millis
	restarted []clock.Millis // when a node was restarted last
	servers   []*server
	loss      float64
	pause     clock.Millis // the longest between two sends of the deadly request

	deadly       quarantine.Request
	popular      quarantine.Request
	deadlyEnds   int
	thirdEnd     clock.Millis
	later        int
	refusedOther string
}

const stable = 3 * clock.Second

func newWorld(seed uint64, nodes, servers int, without string) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), without: without, loss: 0.2, pause: 500 * clock.Millis(1+seed%6),
		deadly: quarantine.Request{Caller: "a", Method: "GET", URI: "/deadly"}, popular: quarantine.Request{Caller: "a", Method: "GET", URI: "/popular"},
	}
	for range nodes {
		w.nodes = append(w.nodes, quarantine.NewRegistry())
		w.told = append(w.told, 0)
		w.cutUntil = append(w.cutUntil, 0)
		w.restarted = append(w.restarted, -stable)
	}
	for i := range servers {
		w.servers = append(w.servers, &server{name: fmt.Sprintf("s%d", i), runs: map[int]*run{}, finished: map[string]bool{}})
	}
	return w
}

func (w *world) after(span clock.Millis, act func()) {
	w.count++
	heap.Push(&w.events, event{w.now + span, w.count, act})
}

func (w *world) every(least, most clock.Millis, act func()) {
	w.after(least+clock.Millis(w.random.Int64N(int64(most-least)+1)), func() {
		act()
		w.every(least, most, act)
	})
}

func (w *world) play(span clock.Millis) {
	for len(w.events) > 0 && w.events[0].at <= span {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.act()
	}
}

// changed tells all other nodes what has changed at one.
func (w *world) changed(node int) {
	ends, number := w.nodes[node].ChangedSince(w.told[node])
	w.told[node] = number
	if w.without == telling || w.cutUntil[node] > w.now {
		return
	}
	for other := range w.nodes {
		if other != node && w.random.Float64() >= w.loss {
			w.deliver(other, ends, 1+clock.Millis(w.random.Int64N(50)))
		}
	}
}

func (w *world) deliver(to int, ends []quarantine.Crash, delay clock.Millis) {
	w.after(delay, func() {
		if w.cutUntil[to] <= w.now {
			w.nodes[to].Merge(w.now, ends)
			_, w.told[to] = w.nodes[to].ChangedSince(w.told[to])
		}
	})
}

// repair has each node compare with some others, as heartbeats do.
func (w *world) repair() {
	for node := range w.nodes {
		w.compare(node, 3)
	}
}

// compare has a node hear what some others know, and tell them.
func (w *world) compare(node, others int) {
	if w.without == telling || w.without == repairing || w.cutUntil[node] > w.now {
		return
	}
	for range others {
		other := w.random.IntN(len(w.nodes))
		if w.cutUntil[other] > w.now || w.nodes[node].Digest() == w.nodes[other].Digest() {
			continue
		}
		mine, _ := w.nodes[node].ChangedSince(0)
		_, behind := w.nodes[other].Merge(w.now, mine)
		theirs, _ := w.nodes[other].ChangedSince(0)
		w.nodes[node].Merge(w.now, append(theirs, behind...))
	}
}

// returns has a node that knows little compare over its first links.
func (w *world) returns(node int) {
	w.after(clock.Second, func() { w.compare(node, 2*len(w.nodes)) })
}

// send lets a request come to a node, and go on to servers up to three times.
func (w *world) send(node int, request quarantine.Request, attempts int) {
	fingerprint := request.Fingerprint()
	standing := w.nodes[node].Status(w.now, fingerprint)
	if w.without == convict {
		standing = quarantine.Status{}
	}
	s := w.pick(fingerprint, standing.Verdict != quarantine.Free)
	if s == nil {
		return
	}
	w.after(1, func() { w.begin(node, s, request, standing.Verdict, attempts) })
}

// refuse holds a request back.
func (w *world) refuse(request quarantine.Request) {
	if request.URI != w.deadly.URI {
		w.refusedOther = request.URI
	}
}

// pick is the server for a request: any, or the one where all sends of a suspect meet.
func (w *world) pick(fingerprint quarantine.Fingerprint, isSuspect bool) *server {
	var found *server
	best := uint64(0)
	for _, s := range w.servers {
		if s.isDown {
			continue
		}
		score := w.random.Uint64()
		if isSuspect {
			hash := fnv.New64a()
			_, _ = hash.Write(fingerprint[:])
			_, _ = hash.Write([]byte(s.name))
			score = hash.Sum64()
		}
		if found == nil || score > best {
			best, found = score, s
		}
	}
	return found
}

func (w *world) begin(node int, s *server, request quarantine.Request, entry quarantine.Verdict, attempts int) {
	gate := w.nodes[w.gateOf(s)].Status(w.now, request.Fingerprint())
	if w.without == convict {
		gate = quarantine.Status{}
	}
	admission := gate.Admit(entry, "v1")
	switch {
	case admission == quarantine.Refuse:
		w.refuse(request)
		return
	case s.isDown:
		w.send(node, request, attempts)
		return
	}
	isTrial := admission == quarantine.RunAlone
	if isTrial && s.suspect != nil {
		s.parked = append(s.parked, func() { w.send(node, request, attempts) })
		return
	}
	isDeadly := request.URI == w.deadly.URI
	if isDeadly && w.deadlyEnds >= 3 && w.now > w.thirdEnd+stable && w.isInTouch(node) && w.isInTouch(w.gateOf(s)) {
		w.later++
	}
	w.count++
	r := &run{id: w.count, request: request, began: w.now, isTrial: isTrial, deadly: isDeadly, life: s.life}
	r.over = func(crashed bool) {
		if !crashed && entry != quarantine.Free && w.without != acquittal && w.nodes[node].Clear(w.now, request.Fingerprint()) {
			w.changed(node)
		}
		if crashed && attempts > 1 {
			w.after(2, func() { w.send(node, request, attempts-1) })
		}
	}
	s.runs[r.id] = r
	if isTrial {
		s.suspect = r
	}
	if s.isGray && w.random.IntN(10) > 0 {
		w.after(2, func() { w.fail(s, r) })
		return
	}
	w.after(20+clock.Millis(w.random.Int64N(200)), func() { w.end(s, r) })
}

// fail ends a run at once, before it did anything.
func (w *world) fail(s *server, r *run) {
	switch {
	case s.life != r.life || s.isDown:
	case w.without == success:
		r.deadly = false
		w.end(s, r)
	default:
		delete(s.runs, r.id)
		if r.isTrial {
			w.miss(s, r)
		}
		r.over(true)
		w.endTrial(s, r)
	}
}

// miss tells of a trial that showed nothing.
func (w *world) miss(s *server, r *run) {
	gate := w.gateOf(s)
	e := w.endOf(s)
	e.Suspects = []quarantine.Suspect{w.suspectOf(r)}
	if w.nodes[gate].AddInconclusive(w.now, e) {
		w.changed(gate)
	}
}

func (w *world) endOf(s *server) quarantine.Crash {
	return quarantine.Crash{ID: w.random.Uint64(), Service: "service", Upstream: s.name, Version: "v1", Upstreams: len(w.servers), At: w.now}
}

func (w *world) suspectOf(r *run) quarantine.Suspect {
	return quarantine.Suspect{Fingerprint: r.request.Fingerprint(), Hint: r.request.Hint(), Elapsed: w.now - r.began, IsTrial: r.isTrial}
}

// isInTouch reports whether a node wasn't restarted or cut off for a while.
func (w *world) isInTouch(node int) bool {
	return w.now >= max(w.restarted[node], w.cutUntil[node])+stable
}

// gateOf is the node beside a server.
func (w *world) gateOf(s *server) int {
	for i, other := range w.servers {
		if other == s {
			return i % len(w.nodes)
		}
	}
	return 0
}

// end ends a run: with its server, or by itself.
func (w *world) end(s *server, r *run) {
	if s.life != r.life || s.isDown {
		return
	}
	if r.deadly {
		w.deadlyEnds++
		if w.deadlyEnds == 3 {
			w.thirdEnd = w.now
		}
		w.crash(s)
		return
	}
	delete(s.runs, r.id)
	if w.without != acquittal {
		s.finished[r.request.URI] = true
	}
	if gate := w.gateOf(s); w.without != acquittal && w.nodes[gate].Clear(w.now, r.request.Fingerprint()) {
		w.changed(gate)
	}
	r.over(false)
	w.endTrial(s, r)
}

func (w *world) endTrial(s *server, r *run) {
	if s.suspect != r {
		return
	}
	s.suspect = nil
	parked := s.parked
	s.parked = nil
	for _, act := range parked {
		act()
	}
}

// crash ends a server under its runs; it is back later, as another process.
func (w *world) crash(s *server) {
	if s.isDown {
		return
	}
	end := w.endOf(s)
	runs := slices.SortedFunc(maps.Values(s.runs), func(a, b *run) int { return a.id - b.id })
	for _, r := range runs {
		if len(end.Suspects) < quarantine.MaxSuspects && !s.finished[r.request.URI] {
			end.Suspects = append(end.Suspects, w.suspectOf(r))
		}
	}
	s.isDown, s.runs, s.finished = true, map[int]*run{}, map[string]bool{}
	gate := w.gateOf(s)
	if isNews, _ := w.nodes[gate].Merge(w.now, []quarantine.Crash{end}); isNews {
		w.changed(gate)
	}
	for _, r := range runs {
		r.over(true)
		w.endTrial(s, r)
	}
	w.after(2*clock.Second, func() { s.isDown, s.life = false, s.life+1 })
}
