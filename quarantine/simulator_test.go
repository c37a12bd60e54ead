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

// Mechanisms that a simulation can run without.
const (
	disableNothing      = ""
	disableUpdates      = "telling"   // nodes send each other no crashes
	disableExchange     = "repairing" // lost messages aren't made up for by a later exchange
	disableClearing     = "acquittal" // completed runs don't clear a request
	disableVerdicts     = "verdicts"  // entries and gates ignore all verdicts
	disableFailureCheck = "success"   // a run that the server answers with a failure counts as completed
)

// event is an action that is due at an instant.
type event struct {
	at     clock.Millis
	order  int
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].order < q[j].order)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// server is one upstream of the service, with its gate.
type server struct {
	name        string
	incarnation int
	isDown      bool
	isFailing   bool // answers most of its requests with a failure, immediately
	runs        map[int]*run
	trial       *run
	waiting     []func()
	// finished has the URIs of the requests that this process has completed.
	finished map[string]bool
}

// run is one send of a request at a server.
type run struct {
	id          int
	request     quarantine.Request
	startedAt   clock.Millis
	isTrial     bool
	isFatal     bool
	incarnation int
	onEnd       func(crashed bool)
}

// simulator simulates a fleet in virtual time: nodes with their registries, messages that
// are delayed and lost, servers that crash under a fatal request and by themselves, and
// harmless requests, one of them frequent.
type simulator struct {
	random          *rand.Rand
	disabled        string
	now             clock.Millis
	events          eventQueue
	sequence        int
	nodes           []*quarantine.Registry
	announced       []uint64
	isolatedUntil   []clock.Millis
	restartedAt     []clock.Millis // time of each node's last restart
	servers         []*server
	lossRate        float64
	maxSendInterval clock.Millis // longest time between two sends of the fatal request

	fatal           quarantine.Request
	popular         quarantine.Request
	fatalCrashes    int
	thirdCrashAt    clock.Millis
	lateSends       int
	refusedHarmless string
}

// settlingTime is the time after which all connected nodes should know of a crash.
const settlingTime = 3 * clock.Second

func newSimulator(seed uint64, nodes, servers int, disabled string) *simulator {
	sim := &simulator{
		random: rand.New(rand.NewPCG(seed, 7)), disabled: disabled, lossRate: 0.2, maxSendInterval: 500 * clock.Millis(1+seed%6),
		fatal: quarantine.Request{Caller: "a", Method: "GET", URI: "/deadly"}, popular: quarantine.Request{Caller: "a", Method: "GET", URI: "/popular"},
	}
	for range nodes {
		sim.nodes = append(sim.nodes, quarantine.NewRegistry())
		sim.announced = append(sim.announced, 0)
		sim.isolatedUntil = append(sim.isolatedUntil, 0)
		sim.restartedAt = append(sim.restartedAt, -settlingTime)
	}
	for i := range servers {
		sim.servers = append(sim.servers, &server{name: fmt.Sprintf("s%d", i), runs: map[int]*run{}, finished: map[string]bool{}})
	}
	return sim
}

func (sim *simulator) after(delay clock.Millis, action func()) {
	sim.sequence++
	heap.Push(&sim.events, event{sim.now + delay, sim.sequence, action})
}

// every repeats an action at random intervals between shortest and longest.
func (sim *simulator) every(shortest, longest clock.Millis, action func()) {
	sim.after(shortest+clock.Millis(sim.random.Int64N(int64(longest-shortest)+1)), func() {
		action()
		sim.every(shortest, longest, action)
	})
}

func (sim *simulator) runUntil(end clock.Millis) {
	for len(sim.events) > 0 && sim.events[0].at <= end {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.action()
	}
}

// announceChanges sends the crashes that changed at a node to all other nodes. Each message
// may be lost.
func (sim *simulator) announceChanges(node int) {
	crashes, sequence := sim.nodes[node].ChangedSince(sim.announced[node])
	sim.announced[node] = sequence
	if sim.disabled == disableUpdates || sim.isolatedUntil[node] > sim.now {
		return
	}
	for other := range sim.nodes {
		if other != node && sim.random.Float64() >= sim.lossRate {
			sim.deliver(other, crashes, 1+clock.Millis(sim.random.Int64N(50)))
		}
	}
}

func (sim *simulator) deliver(to int, crashes []quarantine.Crash, delay clock.Millis) {
	sim.after(delay, func() {
		if sim.isolatedUntil[to] <= sim.now {
			sim.nodes[to].Merge(sim.now, crashes)
			_, sim.announced[to] = sim.nodes[to].ChangedSince(sim.announced[to])
		}
	})
}

// exchangeWithPeers has each node exchange crashes with three random nodes, as heartbeats
// do.
func (sim *simulator) exchangeWithPeers() {
	for node := range sim.nodes {
		sim.exchange(node, 3)
	}
}

// exchange merges the crashes of a node with those of random other nodes, in both
// directions.
func (sim *simulator) exchange(node, count int) {
	if sim.disabled == disableUpdates || sim.disabled == disableExchange || sim.isolatedUntil[node] > sim.now {
		return
	}
	for range count {
		other := sim.random.IntN(len(sim.nodes))
		if sim.isolatedUntil[other] > sim.now || sim.nodes[node].Digest() == sim.nodes[other].Digest() {
			continue
		}
		mine, _ := sim.nodes[node].ChangedSince(0)
		_, behind := sim.nodes[other].Merge(sim.now, mine)
		theirs, _ := sim.nodes[other].ChangedSince(0)
		sim.nodes[node].Merge(sim.now, append(theirs, behind...))
	}
}

// rejoin has a node that was restarted or isolated exchange crashes over its first links.
func (sim *simulator) rejoin(node int) {
	sim.after(clock.Second, func() { sim.exchange(node, 2*len(sim.nodes)) })
}

// send has a node receive a request and send it to a server, at most attempts times.
func (sim *simulator) send(node int, request quarantine.Request, attempts int) {
	fingerprint := request.Fingerprint()
	status := sim.nodes[node].Status(sim.now, fingerprint)
	if sim.disabled == disableVerdicts {
		status = quarantine.Status{}
	}
	s := sim.pickServer(fingerprint, status.Verdict != quarantine.Free)
	if s == nil {
		return
	}
	sim.after(1, func() { sim.startRun(node, s, request, status.Verdict, attempts) })
}

// recordRefusal records that a request was refused, if the request is harmless.
func (sim *simulator) recordRefusal(request quarantine.Request) {
	if request.URI != sim.fatal.URI {
		sim.refusedHarmless = request.URI
	}
}

// pickServer returns a random server, or for a suspect the server that all of its sends
// share; nil if all servers are down.
func (sim *simulator) pickServer(fingerprint quarantine.Fingerprint, isSuspect bool) *server {
	var found *server
	best := uint64(0)
	for _, s := range sim.servers {
		if s.isDown {
			continue
		}
		score := sim.random.Uint64()
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

// startRun has a server's gate admit a request and starts its run.
func (sim *simulator) startRun(node int, s *server, request quarantine.Request, entry quarantine.Verdict, attempts int) {
	gate := sim.nodes[sim.gateNode(s)].Status(sim.now, request.Fingerprint())
	if sim.disabled == disableVerdicts {
		gate = quarantine.Status{}
	}
	admission := gate.Admit(entry, "v1")
	switch {
	case admission == quarantine.Refuse:
		sim.recordRefusal(request)
		return
	case s.isDown:
		sim.send(node, request, attempts)
		return
	}
	isTrial := admission == quarantine.RunAlone
	if isTrial && s.trial != nil {
		s.waiting = append(s.waiting, func() { sim.send(node, request, attempts) })
		return
	}
	isFatal := request.URI == sim.fatal.URI
	if isFatal && sim.fatalCrashes >= 3 && sim.now > sim.thirdCrashAt+settlingTime && sim.isConnected(node) && sim.isConnected(sim.gateNode(s)) {
		sim.lateSends++
	}
	sim.sequence++
	r := &run{id: sim.sequence, request: request, startedAt: sim.now, isTrial: isTrial, isFatal: isFatal, incarnation: s.incarnation}
	r.onEnd = func(crashed bool) {
		if !crashed && entry != quarantine.Free && sim.disabled != disableClearing && sim.nodes[node].Clear(sim.now, request.Fingerprint()) {
			sim.announceChanges(node)
		}
		if crashed && attempts > 1 {
			sim.after(2, func() { sim.send(node, request, attempts-1) })
		}
	}
	s.runs[r.id] = r
	if isTrial {
		s.trial = r
	}
	if s.isFailing && sim.random.IntN(10) > 0 {
		sim.after(2, func() { sim.failRun(s, r) })
		return
	}
	sim.after(20+clock.Millis(sim.random.Int64N(200)), func() { sim.finishRun(s, r) })
}

// failRun ends a run with a failure before the server has processed the request.
func (sim *simulator) failRun(s *server, r *run) {
	switch {
	case s.incarnation != r.incarnation || s.isDown:
	case sim.disabled == disableFailureCheck:
		r.isFatal = false
		sim.finishRun(s, r)
	default:
		delete(s.runs, r.id)
		if r.isTrial {
			sim.recordInconclusive(s, r)
		}
		r.onEnd(true)
		sim.endTrial(s, r)
	}
}

// recordInconclusive records a trial that proved nothing, at the node of the server's gate.
func (sim *simulator) recordInconclusive(s *server, r *run) {
	gate := sim.gateNode(s)
	crash := sim.newCrash(s)
	crash.Suspects = []quarantine.Suspect{sim.newSuspect(r)}
	if sim.nodes[gate].AddInconclusive(sim.now, crash) {
		sim.announceChanges(gate)
	}
}

func (sim *simulator) newCrash(s *server) quarantine.Crash {
	return quarantine.Crash{ID: sim.random.Uint64(), Service: "service", Upstream: s.name, Version: "v1", Upstreams: len(sim.servers), At: sim.now}
}

func (sim *simulator) newSuspect(r *run) quarantine.Suspect {
	return quarantine.Suspect{Fingerprint: r.request.Fingerprint(), Hint: r.request.Hint(), Elapsed: sim.now - r.startedAt, IsTrial: r.isTrial}
}

// isConnected reports whether a node has been neither restarted nor isolated for at least
// the settling time.
func (sim *simulator) isConnected(node int) bool {
	return sim.now >= max(sim.restartedAt[node], sim.isolatedUntil[node])+settlingTime
}

// gateNode returns the index of the node that runs the gate of a server.
func (sim *simulator) gateNode(s *server) int {
	for i, other := range sim.servers {
		if other == s {
			return i % len(sim.nodes)
		}
	}
	return 0
}

// finishRun ends a run: a fatal request crashes the server, any other one completes.
func (sim *simulator) finishRun(s *server, r *run) {
	if s.incarnation != r.incarnation || s.isDown {
		return
	}
	if r.isFatal {
		sim.fatalCrashes++
		if sim.fatalCrashes == 3 {
			sim.thirdCrashAt = sim.now
		}
		sim.crashServer(s)
		return
	}
	delete(s.runs, r.id)
	if sim.disabled != disableClearing {
		s.finished[r.request.URI] = true
	}
	if gate := sim.gateNode(s); sim.disabled != disableClearing && sim.nodes[gate].Clear(sim.now, r.request.Fingerprint()) {
		sim.announceChanges(gate)
	}
	r.onEnd(false)
	sim.endTrial(s, r)
}

// endTrial lets the requests that wait for a server's trial be sent again.
func (sim *simulator) endTrial(s *server, r *run) {
	if s.trial != r {
		return
	}
	s.trial = nil
	waiting := s.waiting
	s.waiting = nil
	for _, action := range waiting {
		action()
	}
}

// crashServer crashes a server with its runs. The server restarts 2 s later as a new
// process.
func (sim *simulator) crashServer(s *server) {
	if s.isDown {
		return
	}
	crash := sim.newCrash(s)
	runs := slices.SortedFunc(maps.Values(s.runs), func(a, b *run) int { return a.id - b.id })
	for _, r := range runs {
		if len(crash.Suspects) < quarantine.MaxSuspects && !s.finished[r.request.URI] {
			crash.Suspects = append(crash.Suspects, sim.newSuspect(r))
		}
	}
	s.isDown, s.runs, s.finished = true, map[int]*run{}, map[string]bool{}
	gate := sim.gateNode(s)
	if isChanged, _ := sim.nodes[gate].Merge(sim.now, []quarantine.Crash{crash}); isChanged {
		sim.announceChanges(gate)
	}
	for _, r := range runs {
		r.onEnd(true)
		sim.endTrial(s, r)
	}
	sim.after(2*clock.Second, func() { s.isDown, s.incarnation = false, s.incarnation+1 })
}
