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

// sent is what a caller says of a request that it may send again. Without a key
// it is zero.
type sent struct {
	key    string
	digest resend.Digest
	mark   resend.Mark
}

// settled decides about a keyed request before it goes anywhere. It returns
// false for one that runs. A repeatable request needs no key: it may run again.
func (r *request) settled() (final, bool) {
	if r.repeatable {
		return final{}, false
	}
	var err error
	r.sent, err = sentOf(&r.ctx.Request)
	switch {
	case err != nil:
		r.entry.config.Log.WithError(err).WithField("request", r.id.String()).Debug("malformed request")
		return refused(fasthttp.StatusBadRequest, access.ReasonCallerFault, 0), true
	case r.sent.mark.Number == 0:
		return final{}, false
	default:
		return r.settle()
	}
}

// sentOf reads key and mark. It returns resend.ErrMark for malformed ones, for
// two of one kind, and for a mark without a key: such a request passed over as
// unmarked would lose its caller's protection in silence.
func sentOf(request *fasthttp.Request) (sent, error) {
	key, keys := field(&request.Header, HeaderKey)
	mark, marks := field(&request.Header, HeaderResend)
	if keys+marks == 0 {
		return sent{}, nil
	}
	if keys != 1 || marks > 1 {
		return sent{}, errors.Annotatef(resend.ErrMark, "%d keys and %d marks", keys, marks)
	}
	s := sent{key: string(key), digest: digestOf(request)}
	if err := resend.CheckKey(s.key); err != nil {
		return sent{}, errors.Trace(err)
	}
	if marks == 0 {
		return s, nil
	}
	var err error
	s.mark, err = resend.ParseMark(string(mark))
	return s, errors.Trace(err)
}

// field returns the last value of a header field and how many there are. Names
// compare without regard to case, which a proxy on the way may change.
func field(header *fasthttp.RequestHeader, name string) (value []byte, count int) {
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

// stamp gives a dispatch the request's key.
func (r *request) stamp(now clock.Millis, d *wire.Dispatch) {
	if r.sent.key == "" {
		return
	}
	d.Key, d.Digest, d.Resend = r.sent.key, r.sent.digest[:], r.sent.mark.Number
	d.Span = now - r.started + d.Budget
}

// settle asks all nodes that may have had the key, and decides.
func (r *request) settle() (final, bool) {
	now := r.entry.config.Now()
	age := r.sent.mark.Age + now - r.started
	version := r.entry.table.Load().Version // before the nodes: at most as new as they
	reach := resend.Reach(age, r.entry.config.KeyMargin)
	nodes := r.service.mayHave(now, reach)
	all := r.ask(now, nodes)
	now = r.entry.config.Now()
	answers := make([]resend.Answer, 0, len(all))
	for i := range all {
		answers = append(answers, all[i].says(now))
	}
	decision := resend.Settle(resend.Question{
		Age:       r.sent.mark.Age + now - r.started,
		Known:     now - clock.Millis(r.entry.routed.Load()),
		Retention: resend.Retention,
		Margin:    r.entry.config.KeyMargin,
		Version:   version,
	}, answers)
	switch decision.Action {
	case resend.Run:
		return final{}, false
	case resend.Replay:
		return r.replay(all[decision.From].voided), true
	case resend.Refuse:
		return refused(fasthttp.StatusUnprocessableEntity, string(decision.Reason), 0), true
	default:
		return undecided(string(decision.Reason), decision.RetryAfter), true
	}
}

func (r *request) replay(v *wire.Voided) final {
	r.last.Name = v.Upstream
	reply := &wire.Reply{Outcome: wire.Answered, Status: v.Status, Headers: v.Headers, Body: v.Body}
	return final{outcome: access.Served, status: v.Status, reply: reply, replay: true}
}

// undecided ends a send of a key that an earlier send may have run.
func undecided(reason string, after clock.Millis) final {
	status := fasthttp.StatusBadGateway
	switch reason {
	case string(resend.ReasonRunning), string(resend.ReasonOutranked), string(wire.ReasonKeyVoided):
		status = fasthttp.StatusConflict
	}
	return final{outcome: access.Unknown, status: status, reason: reason, retryAfter: after}
}

// asked is one node's answer; voided is nil without one.
type asked struct {
	node   int
	voided *wire.Voided
	at     clock.Millis // when it was heard
}

// says is what the node said, with the reach of its memory as of now.
func (a *asked) says(now clock.Millis) resend.Answer {
	if a.voided == nil {
		return resend.Answer{}
	}
	return resend.Answer{
		Heard:    true,
		Standing: resend.Standing(a.voided.Standing),
		Covers:   a.voided.Covers + now - a.at,
		Version:  a.voided.Version,
	}
}

// asking hands one node's answer on. There is room for those of all nodes.
type asking struct {
	node    int
	now     func() clock.Millis
	answers chan<- asked
}

// Unasked takes in that the node is out of reach.
func (a asking) Unasked() {
	a.answers <- asked{node: a.node}
}

// Voided takes in what a node knows.
func (a asking) Voided(v *wire.Voided) {
	a.answers <- asked{node: a.node, voided: v, at: a.now()}
}

// ask puts the question to all nodes at once and waits until all have answered,
// one answer settles it, or half of the deadline is over: the rest is for the
// run.
func (r *request) ask(now clock.Millis, nodes []Target) []asked {
	patience := max((r.deadline-now)/2, 1)
	question := &wire.Void{
		ID: r.id, Caller: r.caller, Service: r.config.Name,
		Key: r.sent.key, Digest: r.sent.digest[:], Number: r.sent.mark.Number,
	}
	channel := make(chan asked, len(nodes))
	open := 0
	for i, node := range nodes {
		if node.Void(question, patience, asking{i, r.entry.config.Now, channel}) == nil {
			defer node.ForgetVoid(r.id)
			open++
		}
	}
	all := make([]asked, len(nodes))
	timer := time.NewTimer(patience.Duration())
	defer timer.Stop()
	for ; open > 0; open-- {
		select {
		case a := <-channel:
			all[a.node] = a
			if a.voided != nil && resend.Definite([]resend.Answer{a.says(a.at)}) {
				return all
			}
		case <-timer.C:
			return all
		}
	}
	return all
}

// keyed is the final answer to a dispatch that its gate refused for its key, or
// false. No other gate is tried: the key is decided.
func (r *request) keyed(o *result) (final, bool) {
	if r.sent.key == "" {
		return final{}, false
	}
	switch wire.Reason(o.reason) {
	case wire.ReasonKeyReused:
		return refused(fasthttp.StatusUnprocessableEntity, o.reason, 0), true
	case wire.ReasonKeyRunning:
		return undecided(o.reason, max(o.after, clock.Second)), true
	case wire.ReasonKeyVoided:
		// The resend that goes first may have run by now.
		return undecided(o.reason, clock.Second), true
	case wire.ReasonKeyLost:
		return undecided(o.reason, 0), true
	default:
		return final{}, false
	}
}

// enrol takes in which nodes a table edit names for the service.
func (s *service) enrol(now clock.Millis, c table.Service, target func(u table.Upstream) Target) {
	nodes := make([]string, 0, len(c.Upstreams))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range c.Upstreams {
		if !slices.Contains(nodes, u.Node) {
			nodes = append(nodes, u.Node)
			s.nodes[u.Node] = target(u)
		}
	}
	s.roster.Update(now, nodes)
	for node := range s.nodes {
		if !s.roster.Has(node) {
			delete(s.nodes, node)
		}
	}
}

// mayHave returns the ways to the nodes that may have had a key first sent at
// most that long ago.
func (s *service) mayHave(now, reach clock.Millis) []Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := s.roster.Nodes(now, reach)
	targets := make([]Target, 0, len(names))
	for _, name := range names {
		targets = append(targets, s.nodes[name])
	}
	return targets
}

// noteRoutes takes in whether a table edit changes which service a request goes
// to. Keys of before may have run at another service's nodes.
func (e *Entry) noteRoutes(old, fresh *table.Table) {
	same := func(a, b table.Route) bool {
		return a.Host == b.Host && a.Prefix == b.Prefix && a.Service == b.Service &&
			slices.Equal(a.Shares, b.Shares) && slices.Equal(a.Repeatable, b.Repeatable)
	}
	if old == nil || !slices.EqualFunc(old.Routes, fresh.Routes, same) {
		e.routed.Store(int64(e.config.Now()))
	}
}
