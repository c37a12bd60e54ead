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

// CrashTracker holds what the node knows about requests that crash backend servers.
type CrashTracker interface {
	// IsEmpty reports whether no request is suspected.
	IsEmpty() bool
	// MayMatch reports whether a request with the hint may be a suspect.
	MayMatch(hint uint64) bool
	// Status returns how a request may be sent.
	Status(f quarantine.Fingerprint) quarantine.Status
	// Clear records that a request succeeded.
	Clear(f quarantine.Fingerprint)
}

// trialLocks allows one trial at a time for each suspected request.
type trialLocks struct {
	mu      sync.Mutex
	running map[quarantine.Fingerprint]chan struct{}
}

// acquire starts a trial of the request and returns nil. If another trial of the request
// is running, it returns a channel that is closed when that trial ends.
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
	req := quarantine.Request{Caller: r.caller, Method: r.method, URI: r.target, Body: r.body}
	if r.route.Host != "" {
		req.Host = r.headers.Host()
	}
	return req
}

// quarantineStatus returns how the request may be sent. It computes the fingerprint only
// if the request's hint matches a suspect.
func (r *request) quarantineStatus() quarantine.Status {
	crashes := r.entry.config.CrashTracker
	if crashes == nil || crashes.IsEmpty() {
		return quarantine.Status{}
	}
	req := r.quarantineRequest()
	if !crashes.MayMatch(req.Hint()) {
		return quarantine.Status{}
	}
	return crashes.Status(r.requestFingerprint())
}

// requestFingerprint returns the request's fingerprint, computed on first use.
func (r *request) requestFingerprint() quarantine.Fingerprint {
	if r.fingerprint == (quarantine.Fingerprint{}) {
		req := r.quarantineRequest()
		r.fingerprint = req.Fingerprint()
	}
	return r.fingerprint
}

// tryAsSuspect sends a request that is suspected of crashing backend servers to one
// upstream. Only one send of the request runs at a time. It returns false if the
// request's status must be checked again.
func (r *request) tryAsSuspect(now clock.Millis, s quarantine.Status) (finalAnswer, bool) {
	filter := trialFilter{fingerprint: r.fingerprint, tried: append(slices.Clone(r.tried), r.selection.fullGates...), verdict: s.Verdict}
	if s.Verdict == quarantine.Quarantined {
		if !r.service.hasUntestedVersion(s.Versions) {
			return r.confirmQuarantine(now, filter)
		}
		filter.crashedVersions, filter.verdict = s.Versions, quarantine.Suspected
	}
	if before := r.entry.trialLocks.acquire(r.fingerprint); before != nil {
		return r.awaitTrial(now, before)
	}
	defer r.entry.trialLocks.release(r.fingerprint)
	if current := r.quarantineStatus(); current.Verdict != s.Verdict {
		return finalAnswer{}, false
	}
	choice, untried, ok := r.service.chooseTrial(now, filter)
	switch {
	case !ok && s.Verdict == quarantine.Quarantined:
		return r.quarantined(), true
	case !ok:
		return r.noUpstreamLeft(), true
	}
	return r.trySuspect(now, choice, untried)
}

// confirmQuarantine sends a quarantined request to a gate for confirmation. The update
// that cleared the request may not have reached this node yet; in that case the gate runs
// the request.
func (r *request) confirmQuarantine(now clock.Millis, filter trialFilter) (finalAnswer, bool) {
	choice, _, ok := r.service.chooseTrial(now, filter)
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

// trySuspect sends the request to an upstream and clears the suspicion if the request
// succeeds there.
func (r *request) trySuspect(now clock.Millis, a attempt, untried int) (finalAnswer, bool) {
	result := r.try(a, untried)
	r.recordAttempt(&a, &result, now)
	if result.served {
		r.entry.config.CrashTracker.Clear(r.fingerprint)
	}
	return r.handleResult(result, untried)
}

// awaitTrial waits for the running trial of the same request, at most for half of the
// remaining time. It returns false when that trial has ended.
func (r *request) awaitTrial(now clock.Millis, before <-chan struct{}) (finalAnswer, bool) {
	timer := time.NewTimer(max(r.deadline-now, 1).Duration() / 2)
	defer timer.Stop()
	select {
	case <-before:
		return finalAnswer{}, false
	case <-r.callerGone:
		return r.unserved(string(wire.ReasonCallerLeft), 0), true
	case <-r.entry.stopped:
		return r.stoppedAnswer(), true
	case <-timer.C:
		return r.unserved(access.ReasonNoUpstream, r.service.retryAfter(now)), true
	}
}

// quarantined is the final answer to a request that crashes the backend servers that run
// it. Some backend servers have run the request, under this id or another, so the outcome
// is Unknown, not NotRun.
func (*request) quarantined() finalAnswer {
	return finalAnswer{outcome: access.Unknown, status: fasthttp.StatusBadGateway, reason: string(wire.ReasonQuarantined)}
}

// trialFilter selects the upstreams for a trial of a suspected request.
type trialFilter struct {
	fingerprint quarantine.Fingerprint
	tried       []*member
	verdict     quarantine.Verdict
	// crashedVersions are the software versions that crash; the trial needs another
	// version. Nil allows any version.
	crashedVersions []string
}

// matches reports whether the request may be tried at the upstream.
func (t *trialFilter) matches(m *member) bool {
	if t.crashedVersions != nil && (m.upstream.Version == "" || slices.Contains(t.crashedVersions, m.upstream.Version)) {
		return false
	}
	return !slices.Contains(t.tried, m)
}

// score ranks an upstream for the request, equally at all nodes. Sends of the request
// through several entries thus reach the same gate, which runs one at a time.
func (t *trialFilter) score(upstream string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(t.fingerprint[:]) // Write of a hash never fails
	_, _ = hash.Write([]byte(upstream))
	return hash.Sum64()
}

// chooseTrial picks the upstream for a suspected request. The untried result is how many
// other upstreams match the filter.
func (s *service) chooseTrial(now clock.Millis, filter trialFilter) (a attempt, untried int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	best, found := uint64(0), -1
	for i, m := range s.members {
		if (s.uses[i] != floor.Normal && s.uses[i] != floor.Forced) || !filter.matches(m) {
			continue
		}
		untried++
		if score := filter.score(m.upstream.Name); found < 0 || score > best {
			best, found = score, i
		}
	}
	if found < 0 {
		return attempt{}, 0, false
	}
	a = s.startAttempt(now, found)
	a.verdict, a.noWait = filter.verdict, true
	return a, untried - 1, true
}

// hasUntestedVersion reports whether an upstream runs a software version that is not
// among the given ones.
func (s *service) hasUntestedVersion(versions []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	filter := trialFilter{crashedVersions: versions}
	return slices.ContainsFunc(s.members, filter.matches)
}
