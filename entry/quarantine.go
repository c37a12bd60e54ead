package entry

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/floor"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Crashes is what the node knows of requests that crash backend servers.
type Crashes interface {
	// IsEmpty reports whether nothing is suspected.
	IsEmpty() bool
	// Watches reports whether a request with the hint may be a suspect.
	Watches(hint uint64) bool
	// Standing says how a request may be sent.
	Standing(f quarantine.Fingerprint) quarantine.Standing
	// Cleared takes in that a request succeeded.
	Cleared(f quarantine.Fingerprint)
}

// trials lets one trial of each suspected request run at a time.
type trials struct {
	mu      sync.Mutex
	running map[quarantine.Fingerprint]chan struct{}
}

// begin takes the turn of a request, or returns a channel that is closed when the trial
// before it has ended.
func (t *trials) begin(f quarantine.Fingerprint) (before <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if running, ok := t.running[f]; ok {
		return running
	}
	t.running[f] = make(chan struct{})
	return nil
}

func (t *trials) end(f quarantine.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.running[f])
	delete(t.running, f)
}

func (r *request) subject() quarantine.Request {
	s := quarantine.Request{Caller: r.caller, Method: r.method, URI: string(r.ctx.RequestURI()), Body: r.body}
	if r.route.Host != "" {
		s.Host = r.headers.Host()
	}
	return s
}

// standing says how the request may be sent. Its fingerprint is worked out only where its
// hint is that of a suspect.
func (r *request) standing() quarantine.Standing {
	crashes := r.entry.config.Crashes
	if crashes == nil || crashes.IsEmpty() {
		return quarantine.Standing{}
	}
	subject := r.subject()
	if !crashes.Watches(subject.Hint()) {
		return quarantine.Standing{}
	}
	return crashes.Standing(r.print())
}

// print is the request's fingerprint, which is worked out once.
func (r *request) print() quarantine.Fingerprint {
	if r.fingerprint == (quarantine.Fingerprint{}) {
		subject := r.subject()
		r.fingerprint = subject.Fingerprint()
	}
	return r.fingerprint
}

// tryAsSuspect sends a request under which backend servers have ended to one upstream, one
// send at a time. It returns false where the request is to be looked at anew.
func (r *request) tryAsSuspect(now clock.Millis, s quarantine.Standing) (final, bool) {
	look := trialSearch{fingerprint: r.fingerprint, tried: append(slices.Clone(r.tried), r.progress.full...), verdict: s.Verdict}
	if s.Verdict == quarantine.Quarantined {
		if !r.service.hasUntested(s.Versions) {
			return r.consult(now, look)
		}
		look.untested, look.verdict = s.Versions, quarantine.Suspected
	}
	if before := r.entry.trials.begin(r.fingerprint); before != nil {
		return r.awaitTrial(now, before)
	}
	defer r.entry.trials.end(r.fingerprint)
	if again := r.standing(); again.Verdict != s.Verdict {
		return final{}, false
	}
	choice, untried, ok := r.service.chooseTrial(now, look)
	switch {
	case !ok && s.Verdict == quarantine.Quarantined:
		return r.quarantined(), true
	case !ok:
		return r.nowhere(now), true
	}
	return r.tryOne(now, choice, untried)
}

// consult asks a gate about a request that is to be held back. What cleared it may not have
// come here yet; the gate then runs it.
func (r *request) consult(now clock.Millis, look trialSearch) (final, bool) {
	choice, _, ok := r.service.chooseTrial(now, look)
	if !ok {
		return r.quarantined(), true
	}
	answer, done := r.tryOne(now, choice, 0)
	switch {
	case done && answer.outcome != access.NotRun:
		return answer, true
	case r.standing().Verdict != quarantine.Quarantined:
		return final{}, false
	default:
		return r.quarantined(), true
	}
}

// tryOne sends the request to an upstream and takes in that it succeeded there.
func (r *request) tryOne(now clock.Millis, a attempt, untried int) (final, bool) {
	result := r.try(now, a, untried)
	r.note(&a, &result, now)
	if result.served {
		r.entry.config.Crashes.Cleared(r.fingerprint)
	}
	return r.judge(result, untried)
}

// awaitTrial waits for the end of another send's trial.
func (r *request) awaitTrial(now clock.Millis, before <-chan struct{}) (final, bool) {
	timer := time.NewTimer(max(r.deadline-now, 1).Duration() / 2)
	defer timer.Stop()
	select {
	case <-before:
		return final{}, false
	case <-r.left:
		return r.unserved(string(wire.ReasonLeft), 0), true
	case <-timer.C:
		return r.unserved(access.ReasonNoUpstream, r.service.comeBack(now)), true
	}
}

// quarantined is the final answer to a request that crashes the backend servers which run
// it. Some have run it, under this id or another: it isn't called not run.
func (*request) quarantined() final {
	return final{outcome: access.Unknown, status: fasthttp.StatusBadGateway, reason: string(wire.ReasonQuarantined)}
}

// trialSearch is what a suspected request looks for.
type trialSearch struct {
	fingerprint quarantine.Fingerprint
	tried       []*member
	verdict     quarantine.Verdict
	// untested are versions of the software that crash: another one is looked for. Nil
	// takes any.
	untested []string
}

// takes reports whether an upstream may be tried.
func (t *trialSearch) takes(m *member) bool {
	if t.untested != nil && (m.upstream.Version == "" || slices.Contains(t.untested, m.upstream.Version)) {
		return false
	}
	return !slices.Contains(t.tried, m)
}

// score is an upstream's place for the request, the same at all nodes: sends of it through
// several entries meet at one gate, where one runs at a time.
func (t *trialSearch) score(upstream string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(t.fingerprint[:]) // a hash's Write never fails
	_, _ = hash.Write([]byte(upstream))
	return hash.Sum64()
}

// chooseTrial picks the upstream for a suspected request. It reports how many others are
// left.
func (s *service) chooseTrial(now clock.Millis, look trialSearch) (a attempt, untried int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	best, found := uint64(0), -1
	for i, m := range s.members {
		if (s.uses[i] != floor.Normal && s.uses[i] != floor.Forced) || !look.takes(m) {
			continue
		}
		untried++
		if score := look.score(m.upstream.Name); found < 0 || score > best {
			best, found = score, i
		}
	}
	if found < 0 {
		return attempt{}, 0, false
	}
	a = s.send(now, found)
	a.verdict, a.bounded = look.verdict, true
	return a, untried - 1, true
}

// hasUntested reports whether an upstream runs software of another version.
func (s *service) hasUntested(versions []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	look := trialSearch{untested: versions}
	return slices.ContainsFunc(s.members, look.takes)
}
