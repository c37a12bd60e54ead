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

// Headers of requests that a caller may send again.
const (
	// HeaderKey names what must run at most once.
	HeaderKey = "Idempotency-Key"
	// HeaderResend marks a resend: "<number>; age=<seconds>".
	HeaderResend = "Fuchsiapick-Resend"
	// HeaderReplay is true on the answer of an earlier send of the same key.
	HeaderReplay = "Fuchsiapick-Replay"
)

// idempotency is what a caller says of a request that it may send again. Without a key
// it is zero.
type idempotency struct {
	key    string
	digest resend.Digest
	resend resend.Header
}

// checkResend decides about a keyed request before it goes anywhere. It returns
// false for one that runs. A repeatable request needs no key: it may run again.
func (r *request) checkResend() (finalAnswer, bool) {
	if r.repeatable {
		return finalAnswer{}, false
	}
	var err error
	r.idempotency, err = parseIdempotency(&r.ctx.Request)
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

// parseIdempotency reads key and mark. It returns resend.ErrMark for malformed ones, for
// two of one kind, and for a mark without a key: such a request passed over as
// unmarked would lose its caller's protection in silence.
func parseIdempotency(request *fasthttp.Request) (idempotency, error) {
	key, keys := headerValue(&request.Header, HeaderKey)
	mark, marks := headerValue(&request.Header, HeaderResend)
	if keys+marks == 0 {
		return idempotency{}, nil
	}
	if keys != 1 || marks > 1 {
		return idempotency{}, errors.Annotatef(resend.ErrMalformed, "%d keys and %d marks", keys, marks)
	}
	s := idempotency{key: string(key), digest: digestOf(request)}
	if err := resend.CheckKey(s.key); err != nil {
		return idempotency{}, errors.Trace(err)
	}
	if marks == 0 {
		return s, nil
	}
	var err error
	s.resend, err = resend.ParseHeader(string(mark))
	return s, errors.Trace(err)
}

// headerValue returns the last value of a header field and how many there are. Names
// compare without regard to case, which a proxy on the way may change.
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

// digestOf tells a request from others under the same key. Neither a method nor
// a request target can hold a line break.
func digestOf(request *fasthttp.Request) resend.Digest {
	hash := sha256.New()
	hash.Write(request.Header.Method())
	hash.Write([]byte{'\n'})
	hash.Write(request.Header.RequestURI())
	hash.Write([]byte{'\n'})
	hash.Write(request.Body())
	return resend.Digest(hash.Sum(nil)[:len(resend.Digest{})])
}

// setKey gives a dispatch the request's key.
func (r *request) setKey(now clock.Millis, d *wire.Dispatch) {
	if r.idempotency.key == "" {
		return
	}
	d.Key, d.Digest, d.Resend = r.idempotency.key, r.idempotency.digest[:], r.idempotency.resend.Number
	d.LeaseSpan = now - r.started + d.Budget
}

// resolveResend asks all nodes that may have had the key, and decides.
func (r *request) resolveResend() (finalAnswer, bool) {
	now := r.entry.config.Now()
	age := r.idempotency.resend.Age + now - r.started
	version := r.entry.table.Load().Version // before the nodes: at most as new as they
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
		return undecided(string(decision.Reason), decision.RetryAfter), true
	}
}

func (r *request) replay(v *wire.KeyRevocationReply) finalAnswer {
	r.lastUpstream.Name = v.Upstream
	reply := &wire.Reply{Outcome: wire.Answered, Status: v.Status, Headers: v.Headers, Body: v.Body}
	return finalAnswer{outcome: access.Served, status: v.Status, reply: reply, replay: true}
}

// undecided ends a send of a key that an earlier send may have run.
func undecided(reason string, after clock.Millis) finalAnswer {
	status := fasthttp.StatusBadGateway
	switch reason {
	case string(resend.ReasonRunning), string(resend.ReasonSuperseded), string(wire.ReasonKeyRevoked):
		status = fasthttp.StatusConflict
	}
	return finalAnswer{outcome: access.Unknown, status: status, reason: reason, retryAfter: after}
}

// lookupResult is one node's answer; voided is nil without one.
type lookupResult struct {
	node       int
	reply      *wire.KeyRevocationReply
	receivedAt clock.Millis // when it was heard
}

// answer is what the node said, with the reach of its memory as of now.
func (a *lookupResult) answer(now clock.Millis) resend.LookupResult {
	if a.reply == nil {
		return resend.LookupResult{}
	}
	return resend.LookupResult{
		Answered: true,
		Status:   resend.Status(a.reply.KeyStatus),
		Covers:   a.reply.Covers + now - a.receivedAt,
		Version:  a.reply.Version,
	}
}

// lookupWaiter hands one node's answer on. There is room for those of all nodes.
type lookupWaiter struct {
	node    int
	now     func() clock.Millis
	answers chan<- lookupResult
}

// NotSent takes in that the node is out of reach.
func (a lookupWaiter) NotSent() {
	a.answers <- lookupResult{node: a.node}
}

// Revoked takes in what a node knows.
func (a lookupWaiter) Revoked(v *wire.KeyRevocationReply) {
	a.answers <- lookupResult{node: a.node, reply: v, receivedAt: a.now()}
}

// lookupKey puts the question to all nodes at once and waits until all have answered,
// one answer settles it, or half of the deadline is over: the rest is for the
// run.
func (r *request) lookupKey(now clock.Millis, nodes []GateClient) []lookupResult {
	patience := max((r.deadline-now)/2, 1)
	question := &wire.KeyRevocation{
		ID: r.id, Caller: r.caller, Service: r.config.Name,
		Key: r.idempotency.key, Digest: r.idempotency.digest[:], Number: r.idempotency.resend.Number,
	}
	channel := make(chan lookupResult, len(nodes))
	open := 0
	for i, node := range nodes {
		if node.RevokeKey(question, patience, lookupWaiter{i, r.entry.config.Now, channel}) == nil {
			defer node.ForgetRevocation(r.id)
			open++
		}
	}
	all := make([]lookupResult, len(nodes))
	timer := time.NewTimer(patience.Duration())
	defer timer.Stop()
	for ; open > 0; open-- {
		select {
		case a := <-channel:
			all[a.node] = a
			if a.reply != nil && resend.Definite([]resend.LookupResult{a.answer(a.receivedAt)}) {
				return all
			}
		case <-timer.C:
			return all
		}
	}
	return all
}

// keyRefusal is the final answer to a dispatch that its gate refused for its key, or
// false. No other gate is tried: the key is decided.
func (r *request) keyRefusal(o *result) (finalAnswer, bool) {
	if r.idempotency.key == "" {
		return finalAnswer{}, false
	}
	switch wire.Reason(o.reason) {
	case wire.ReasonKeyReused:
		return refused(fasthttp.StatusUnprocessableEntity, o.reason, 0), true
	case wire.ReasonKeyRunning:
		return undecided(o.reason, max(o.retryAfter, clock.Second)), true
	case wire.ReasonKeyRevoked:
		// The resend that goes first may have run by now.
		return undecided(o.reason, clock.Second), true
	case wire.ReasonReplyNotKept:
		return undecided(o.reason, 0), true
	default:
		return finalAnswer{}, false
	}
}

// updateMembership takes in which nodes a table edit names for the service.
func (s *service) updateMembership(now clock.Millis, c table.Service, target func(u table.Upstream) GateClient) {
	nodes := make([]string, 0, len(c.Upstreams))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range c.Upstreams {
		if !slices.Contains(nodes, u.Node) {
			nodes = append(nodes, u.Node)
			s.nodes[u.Node] = target(u)
		}
	}
	s.membership.Update(now, nodes)
	for node := range s.nodes {
		if !s.membership.Has(node) {
			delete(s.nodes, node)
		}
	}
}

// keyNodes returns the ways to the nodes that may have had a key first sent at
// most that long ago.
func (s *service) keyNodes(now, reach clock.Millis) []GateClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := s.membership.Nodes(now, reach)
	targets := make([]GateClient, 0, len(names))
	for _, name := range names {
		targets = append(targets, s.nodes[name])
	}
	return targets
}

// recordRouteChange takes in whether a table edit changes which service a request goes
// to. Keys of before may have run at another service's nodes.
func (e *Entry) recordRouteChange(old, fresh *table.Table) {
	same := func(a, b table.Route) bool {
		return a.Host == b.Host && a.Prefix == b.Prefix && a.Service == b.Service &&
			slices.Equal(a.Shares, b.Shares) && slices.Equal(a.Repeatable, b.Repeatable)
	}
	if old == nil || !slices.EqualFunc(old.Routes, fresh.Routes, same) {
		e.routesChangedAt.Store(int64(e.config.Now()))
	}
}
