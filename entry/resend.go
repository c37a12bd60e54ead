package entry

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/resend"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// Header names of requests that a caller may send again.
const (
	// HeaderKey carries the key of an operation that must run at most once.
	HeaderKey = "Idempotency-Key"
	// HeaderResend marks a resend: "<number>; age=<seconds>".
	HeaderResend = "Fuchsiapick-Resend"
	// HeaderReplay is true if the answer is that of an earlier send of the same key.
	HeaderReplay = "Fuchsiapick-Replay"
)

// idempotency is what a caller states about a request that it may send again. It is zero
// for a request without a key.
type idempotency struct {
	key    string
	digest resend.Digest
	resend resend.Header
}

// checkResend decides on a keyed request before any dispatch. It returns false if the
// request is to run. A repeatable request needs no key, since it may run again.
func (r *request) checkResend() (finalAnswer, bool) {
	if r.repeatable {
		return finalAnswer{}, false
	}
	var err error
	r.idempotency, err = parseIdempotency(&r.ctx.Request.Header, r.body)
	switch {
	case err != nil:
		r.entry.config.Log.WithError(err).WithField("request", r.id.String()).Debug("malformed request")
		return refused(fasthttp.StatusBadRequest, access.ReasonCallerFault, 0), true
	case r.idempotency.resend.Number == 0:
		return finalAnswer{}, false
	default:
		return r.resolveResend()
	}
}

// parseIdempotency reads the headers HeaderKey and HeaderResend. It returns
// resend.ErrMalformed if a value is malformed, if a header occurs twice or if
// HeaderResend comes without a key. Treating such a request as a first send would
// silently drop the protection that its caller asked for.
func parseIdempotency(header *fasthttp.RequestHeader, body []byte) (idempotency, error) {
	key, keys := headerValue(header, HeaderKey)
	value, resends := headerValue(header, HeaderResend)
	if keys+resends == 0 {
		return idempotency{}, nil
	}
	if keys != 1 || resends > 1 {
		return idempotency{}, errors.Annotatef(resend.ErrMalformed, "%d Idempotency-Key and %d Fuchsiapick-Resend headers", keys, resends)
	}
	s := idempotency{key: string(key), digest: digestOf(header, body)}
	if err := resend.CheckKey(s.key); err != nil {
		return idempotency{}, errors.Trace(err)
	}
	if resends == 0 {
		return s, nil
	}
	var err error
	s.resend, err = resend.ParseHeader(string(value))
	return s, errors.Trace(err)
}

// headerValue returns the last value of a header field and the number of its occurrences.
// Names compare case-insensitively, because a proxy on the way may change their case.
func headerValue(header *fasthttp.RequestHeader, name string) (value []byte, count int) {
	if name == "" {
		return nil, 0
	}
	for other, v := range header.All() {
		if len(other) == len(name) && bytes.EqualFold(other, []byte(name)) {
			value = v
			count++
		}
	}
	return value, count
}

// digestOf returns a digest that distinguishes requests with the same key. Line feeds
// separate the parts, since neither a method nor a request target can contain one.
func digestOf(header *fasthttp.RequestHeader, body []byte) resend.Digest {
	hash := sha256.New()
	hash.Write(header.Method())
	hash.Write([]byte{'\n'})
	hash.Write(header.RequestURI())
	hash.Write([]byte{'\n'})
	hash.Write(body)
	return resend.Digest(hash.Sum(nil)[:len(resend.Digest{})])
}

// setKey sets a dispatch's idempotency key.
func (r *request) setKey(now clock.Millis, d *wire.Dispatch) {
	if r.idempotency.key == "" {
		return
	}
	d.Key, d.Digest, d.Resend = r.idempotency.key, r.idempotency.digest[:], r.idempotency.resend.Number
	d.LeaseSpan = now - r.started + d.Budget
}

// resolveResend asks all nodes that may have received the key, and decides whether the
// resend runs. It returns the final answer, or false if the resend is to run.
func (r *request) resolveResend() (finalAnswer, bool) {
	now := r.entry.config.Now()
	age := r.idempotency.resend.Age + now - r.started
	// Read before the nodes are asked, so that the version is not newer than theirs.
	version := r.entry.table.Load().Version
	reach := resend.MaxAge(age, r.entry.config.KeyMargin)
	nodes := r.service.keyNodes(now, reach)
	all := r.lookupKey(now, nodes)
	now = r.entry.config.Now()
	answers := make([]resend.LookupResult, 0, len(all))
	for i := range all {
		answers = append(answers, all[i].answer(now))
	}
	decision := resend.Resolve(resend.Lookup{
		Age:       r.idempotency.resend.Age + now - r.started,
		KnownFor:  now - clock.Millis(r.entry.routesChangedAt.Load()),
		Retention: resend.Retention,
		Margin:    r.entry.config.KeyMargin,
		Version:   version,
	}, answers)
	switch decision.Action {
	case resend.Run:
		return finalAnswer{}, false
	case resend.Replay:
		return r.replay(all[decision.From].reply), true
	case resend.Refuse:
		return refused(fasthttp.StatusUnprocessableEntity, string(decision.Reason), 0), true
	default:
		return unresolvedAnswer(string(decision.Reason), decision.RetryAfter), true
	}
}

func (r *request) replay(recorded *wire.KeyRevocationReply) finalAnswer {
	r.lastUpstream.Name = recorded.Upstream
	reply := &wire.Reply{Outcome: wire.Answered, Status: recorded.Status, Headers: recorded.Headers, Body: recorded.Body}
	return finalAnswer{outcome: access.Served, status: recorded.Status, reply: reply, replay: true}
}

// unresolvedAnswer is the final answer to a send whose key may have run with an earlier
// send.
func unresolvedAnswer(reason string, after clock.Millis) finalAnswer {
	status := fasthttp.StatusBadGateway
	switch reason {
	case string(resend.ReasonRunning), string(resend.ReasonSuperseded), string(wire.ReasonKeyRevoked):
		status = fasthttp.StatusConflict
	}
	return finalAnswer{outcome: access.Unknown, status: status, reason: reason, retryAfter: after}
}

// lookupResult is one node's answer; reply is nil if there is none.
type lookupResult struct {
	node       int
	reply      *wire.KeyRevocationReply
	receivedAt clock.Millis // when reply arrived
}

// answer returns the node's answer, with the period that the node's records cover
// extended to now.
func (a *lookupResult) answer(now clock.Millis) resend.LookupResult {
	if a.reply == nil {
		return resend.LookupResult{}
	}
	status := resend.Status(a.reply.KeyStatus)
	if status == resend.Ran && !isResponse(a.reply.Status, a.reply.Headers) {
		status = resend.Lost // the record is no answer
	}
	return resend.LookupResult{
		Answered: true,
		Status:   status,
		Covers:   a.reply.Covers + now - a.receivedAt,
		Version:  a.reply.Version,
	}
}

// lookupWaiter passes on one node's answer. The channel answers has room for one answer
// of each node.
type lookupWaiter struct {
	node    int
	now     func() clock.Millis
	answers chan<- lookupResult
}

// NotSent records that the node is unreachable.
func (a lookupWaiter) NotSent() {
	a.answers <- lookupResult{node: a.node}
}

// Revoked records the node's answer.
func (a lookupWaiter) Revoked(r *wire.KeyRevocationReply) {
	a.answers <- lookupResult{node: a.node, reply: r, receivedAt: a.now()}
}

// lookupKey asks all nodes for the key at the same time. It waits until all have
// answered, until one answer is definite or until half of the remaining time has passed;
// the rest is for the run.
func (r *request) lookupKey(now clock.Millis, nodes []GateClient) []lookupResult {
	timeout := max((r.deadline-now)/2, 1)
	revocation := &wire.KeyRevocation{
		ID: r.id, Caller: r.caller, Service: r.config.Name,
		Key: r.idempotency.key, Digest: r.idempotency.digest[:], Number: r.idempotency.resend.Number,
	}
	results := make(chan lookupResult, len(nodes))
	pending := 0
	for i, node := range nodes {
		if node.RevokeKey(revocation, timeout, lookupWaiter{i, r.entry.config.Now, results}) == nil {
			defer node.ForgetRevocation(r.id)
			pending++
		}
	}
	all := make([]lookupResult, len(nodes))
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	for ; pending > 0; pending-- {
		select {
		case a := <-results:
			all[a.node] = a
			if a.reply != nil && resend.Definite([]resend.LookupResult{a.answer(a.receivedAt)}) {
				return all
			}
		case <-timer.C:
			return all
		case <-r.entry.stopped:
			return all
		}
	}
	return all
}

// keyRefusal returns the final answer to a dispatch that its gate refused because of the
// key, or false. No other gate is tried, since the refusal concerns the key and not the
// gate.
func (r *request) keyRefusal(o *result) (finalAnswer, bool) {
	if r.idempotency.key == "" {
		return finalAnswer{}, false
	}
	switch wire.Reason(o.reason) {
	case wire.ReasonKeyReused:
		return refused(fasthttp.StatusUnprocessableEntity, o.reason, 0), true
	case wire.ReasonKeyRunning:
		return unresolvedAnswer(o.reason, max(o.retryAfter, clock.Second)), true
	case wire.ReasonKeyRevoked:
		// The resend that takes precedence may have run by now.
		return unresolvedAnswer(o.reason, clock.Second), true
	case wire.ReasonReplyNotKept:
		return unresolvedAnswer(o.reason, 0), true
	default:
		return finalAnswer{}, false
	}
}

// updateMembership records which nodes a table lists for the service.
func (s *service) updateMembership(now clock.Millis, c table.Service, gateClient func(u table.Upstream) GateClient) {
	nodes := make([]string, 0, len(c.Upstreams))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range c.Upstreams {
		if !slices.Contains(nodes, u.Node) {
			nodes = append(nodes, u.Node)
			s.nodes[u.Node] = gateClient(u)
		}
	}
	s.membership.Update(now, nodes)
	for node := range s.nodes {
		if !s.membership.Has(node) {
			delete(s.nodes, node)
		}
	}
}

// keyNodes returns clients for the nodes that may have received a key first sent at most
// reach ago.
func (s *service) keyNodes(now, reach clock.Millis) []GateClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := s.membership.Nodes(now, reach)
	clients := make([]GateClient, 0, len(names))
	for _, name := range names {
		clients = append(clients, s.nodes[name])
	}
	return clients
}

// recordRouteChange records the time of a table update that changes which service a
// request goes to. Older keys may have run at another service's nodes.
func (e *Entry) recordRouteChange(old, updated *table.Table) {
	same := func(a, b table.Route) bool {
		return a.Host == b.Host && a.Prefix == b.Prefix && a.Service == b.Service &&
			slices.Equal(a.Shares, b.Shares) && slices.Equal(a.Repeatable, b.Repeatable)
	}
	if old == nil || !slices.EqualFunc(old.Routes, updated.Routes, same) {
		e.routesChangedAt.Store(int64(e.config.Now()))
	}
}
