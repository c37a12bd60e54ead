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

// CrashTracker is what the node knows of requests that crash backend servers.
type CrashTracker interface {
	// IsEmpty reports whether nothing is suspected.
	IsEmpty() bool
	// MayMatch reports whether a request with the hint may be a suspect.
	MayMatch(hint uint64) bool
	// Status says how a request may be sent.
	Status(f quarantine.Fingerprint) quarantine.Status
	// Clear takes in that a request succeeded.
	Clear(f quarantine.Fingerprint)
}

// trialLocks lets one trial of each suspected request run at a time.
type trialLocks struct {
	mu      sync.Mutex
	running map[quarantine.Fingerprint]chan struct{}
}

// acquire takes the turn of a request, or returns a channel that is closed when the trial
// before it has ended.
func (t *trialLocks) acquire(f quarantine.Fingerprint) (before <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if running, ok := t.running[f]; ok {
		return running
	}
	t.running[f] = make(chan struct{})
	return nil
}

func (t *trialLocks) release(f quarantine.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.running[f])
	delete(t.running, f)
}

func (r *request) quarantineRequest() quarantine.Request {
	s := quarantine.Request{Caller: r.caller, Method: r.method, URI: string(r.ctx.RequestURI()), Body: r.body}
	if r.route.Host != "" {
		s.Host = r.headers.Host()
	}
	return s
}

// quarantineStatus says how the request may be sent. Its fingerprint is worked out only where its
// hint is that of a suspect.
func (r *request) quarantineStatus() quarantine.Status {
	crashes := r.entry.config.CrashTracker
	if crashes == nil || crashes.IsEmpty() {
		return quarantine.Status{}
	}
	subject := r.quarantineRequest()
	if !crashes.MayMatch(subject.Hint()) {
		return quarantine.Status{}
	}
	return crashes.Status(r.requestFingerprint())
}

// requestFingerprint is the request's fingerprint, which is worked out once.
func (r *request) requestFingerprint() quarantine.Fingerprint {
	if r.fingerprint == (quarantine.Fingerprint{}) {
		subject := r.quarantineRequest()
		r.fingerprint = subject.Fingerprint()
	}
	return r.fingerprint
}

// tryAsSuspect sends a request under which backend servers have ended to one upstream, one
// send at a time. It returns false where the request is to be looked at anew.
func (r *request) tryAsSuspect(now clock.Millis, s quarantine.Status) (finalAnswer, bool) {
	look := trialFilter{fingerprint: r.fingerprint, tried: append(slices.Clone(r.tried), r.selection.full...), verdict: s.Verdict}
	if s.Verdict == quarantine.Quarantined {
		if !r.service.hasUntestedVersion(s.Versions) {
			return r.confirmQuarantine(now, look)
		}
		look.crashedVersions, look.verdict = s.Versions, quarantine.Suspected
	}
	if before := r.entry.trialLocks.acquire(r.fingerprint); before != nil {
		return r.awaitTrial(now, before)
	}
	defer r.entry.trialLocks.release(r.fingerprint)
	if again := r.quarantineStatus(); again.Verdict != s.Verdict {
		return finalAnswer{}, false
	}
	choice, untried, ok := r.service.chooseTrial(now, look)
	switch {
	case !ok && s.Verdict == quarantine.Quarantined:
		return r.quarantined(), true
	case !ok:
		return r.noUpstreamLeft(now), true
	}
	return r.trySuspect(now, choice, untried)
}

// confirmQuarantine asks a gate about a request that is to be held back. What cleared it may not have
// come here yet; the gate then runs it.
func (r *request) confirmQuarantine(now clock.Millis, look trialFilter) (finalAnswer, bool) {
	choice, _, ok := r.service.chooseTrial(now, look)
	if !ok {
		return r.quarantined(), true
	}
	answer, done := r.trySuspect(now, choice, 0)
	switch {
	case done && answer.outcome != access.NotRun:
		return answer, true
	case r.quarantineStatus().Verdict != quarantine.Quarantined:
		return finalAnswer{}, false
	default:
		return r.quarantined(), true
	}
}

// trySuspect sends the request to an upstream and takes in that it succeeded there.
func (r *request) trySuspect(now clock.Millis, a attempt, untried int) (finalAnswer, bool) {
	result := r.try(now, a, untried)
	r.recordAttempt(&a, &result, now)
	if result.served {
		r.entry.config.CrashTracker.Clear(r.fingerprint)
	}
	return r.handleResult(result, untried)
}

// awaitTrial waits for the end of another send's trial.
func (r *request) awaitTrial(now clock.Millis, before <-chan struct{}) (finalAnswer, bool) {
	timer := time.NewTimer(max(r.deadline-now, 1).Duration() / 2)
	defer timer.Stop()
	select {
	case <-before:
		return finalAnswer{}, false
	case <-r.callerGone:
		return r.unserved(string(wire.ReasonCallerLeft), 0), true
	case <-timer.C:
		return r.unserved(access.ReasonNoUpstream, r.service.retryAfter(now)), true
	}
}

// quarantined is the final answer to a request that crashes the backend servers which run
// it. Some have run it, under this id or another: it isn't called not run.
func (*request) quarantined() finalAnswer {
	return finalAnswer{outcome: access.Unknown, status: fasthttp.StatusBadGateway, reason: string(wire.ReasonQuarantined)}
}

// trialFilter is what a suspected request looks for.
type trialFilter struct {
	fingerprint quarantine.Fingerprint
	tried       []*member
	verdict     quarantine.Verdict
	// crashedVersions are versions of the software that crash: another one is looked for. Nil
	// takes any.
	crashedVersions []string
}

// matches reports whether an upstream may be tried.
func (t *trialFilter) matches(m *member) bool {
	if t.crashedVersions != nil && (m.upstream.Version == "" || slices.Contains(t.crashedVersions, m.upstream.Version)) {
		return false
	}
	return !slices.Contains(t.tried, m)
}

// score is an upstream's place for the request, the same at all nodes: sends of it through
// several entries meet at one gate, where one runs at a time.
func (t *trialFilter) score(upstream string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(t.fingerprint[:]) // a hash's Write never fails
	_, _ = hash.Write([]byte(upstream))
	return hash.Sum64()
}

// chooseTrial picks the upstream for a suspected request. It reports how many others are
// left.
func (s *service) chooseTrial(now clock.Millis, look trialFilter) (a attempt, untried int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	best, found := uint64(0), -1
	for i, m := range s.members {
		if (s.uses[i] != floor.Normal && s.uses[i] != floor.Forced) || !look.matches(m) {
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
	a = s.startAttempt(now, found)
	a.verdict, a.noWait = look.verdict, true
	return a, untried - 1, true
}

// hasUntestedVersion reports whether an upstream runs software of another version.
func (s *service) hasUntestedVersion(versions []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	look := trialFilter{crashedVersions: versions}
	return slices.ContainsFunc(s.members, look.matches)
}
