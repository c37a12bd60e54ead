package gate

import (
	"sync"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/resend"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// keysKept bounds the keys that a node remembers: at 550 bytes for the
	// longest key they take 55 MB at most, and 160 sends with a key a second
	// reach back the whole retention.
	keysKept = 100_000
	// answerKept bounds a kept answer in bytes, headers included: with it a
	// question's answer stays within one frame.
	answerKept = 32 << 10
	// bytesKept bounds all kept answers of a node in bytes.
	bytesKept = 32 << 20
)

// Keys is what a node's gates know together of idempotency keys. One memory
// for all of them outlives a gate that a table edit replaces or removes. It is
// safe for concurrent use.
type Keys struct {
	now    func() clock.Millis
	mu     sync.Mutex
	memory *resend.Memory[*wire.Reply]
}

// NewKeys returns a memory that begins now.
func NewKeys(now func() clock.Millis) *Keys {
	return &Keys{now: now, memory: resend.NewMemory[*wire.Reply](resend.MemoryConfig{
		Start:     now(),
		Retention: resend.Retention,
		Keys:      keysKept,
		Answer:    answerKept,
		Bytes:     bytesKept,
	})}
}

// Void says what is known of a resend's key and forbids earlier sends.
func (k *Keys) Void(v *wire.Void) *wire.Voided {
	claim := resend.Claim{
		Key:    resend.Key{Caller: v.Caller, Service: v.Service, Text: v.Key},
		Digest: digestOf(v.Digest),
		Ballot: resend.Ballot{Number: v.Number, Entry: v.ID.Entry, Seq: v.ID.Seq},
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	standing, reply := k.memory.Void(now, claim)
	out := &wire.Voided{ID: v.ID, Standing: uint8(standing), Covers: k.memory.Covers(now)}
	if reply != nil {
		out.Status, out.Headers, out.Body, out.Upstream = reply.Status, reply.Headers, reply.Body, reply.Upstream.Name
	}
	return out
}

func (k *Keys) look(now clock.Millis, c resend.Claim) (resend.Standing, *wire.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.memory.Look(now, c)
}

func (k *Keys) begin(now clock.Millis, c resend.Claim) (resend.Standing, *wire.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.memory.Begin(now, c)
}

// end takes in what became of a send that was begun.
func (k *Keys) end(key resend.Key, r *wire.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch r.Outcome {
	case wire.NotRun:
		k.memory.NotRun(key)
	case wire.Answered:
		k.memory.Done(key, r, len(r.Body)+len(r.Headers))
	default:
		k.memory.Lost(key)
	}
}

func digestOf(b []byte) resend.Digest {
	var d resend.Digest
	copy(d[:], b)
	return d
}

// claim is what a dispatch claims for its key; false without one.
func (g *Gate) claim(d *wire.Dispatch) (resend.Claim, bool) {
	if d.Key == "" {
		return resend.Claim{}, false
	}
	c := resend.Claim{
		Key:      resend.Key{Caller: d.Caller, Service: g.config.Service.Name, Text: d.Key},
		Digest:   digestOf(d.Digest),
		Received: d.Lease - d.Span,
		Gate:     g.made,
	}
	if d.Resend > 0 {
		c.Ballot = resend.Ballot{Number: d.Resend, Entry: d.ID.Entry, Seq: d.ID.Seq}
	}
	return c, true
}

// known answers a dispatch whose key may not run here, or returns false. It
// spares such a dispatch the queue; that it doesn't run is up to beginKey.
func (g *Gate) known(now clock.Millis, d *wire.Dispatch) (*wire.Reply, bool) {
	c, ok := g.claim(d)
	if !ok {
		return nil, false
	}
	standing, answer := g.config.Keys.look(now, c)
	if standing == resend.Free {
		return nil, false
	}
	return g.keyReply(now, d, standing, answer), true
}

// beginKey is the last step before a send of a key goes out, under one lock
// for all gates of the node: of two sends that waited only one begins, and none
// that a resend has voided in the meantime.
func (g *Gate) beginKey(now clock.Millis, j *job) bool {
	c, ok := g.claim(j.dispatch)
	if !ok {
		return true
	}
	standing, answer := g.config.Keys.begin(now, c)
	if standing == resend.Free {
		return true
	}
	j.refusal = g.keyReply(now, j.dispatch, standing, answer)
	return false
}

// endKey takes in what became of a begun dispatch.
func (g *Gate) endKey(d *wire.Dispatch, r *wire.Reply) {
	if c, ok := g.claim(d); ok {
		g.config.Keys.end(c.Key, r)
	}
}

// keyReply says why a dispatch doesn't run. Not run is said only where nothing
// that was sent with the key is known to have run.
func (g *Gate) keyReply(now clock.Millis, d *wire.Dispatch, s resend.Standing, answer *wire.Reply) *wire.Reply {
	r := g.reply(now, d)
	switch s {
	case resend.Ran:
		r.Outcome, r.Status, r.Headers, r.Body, r.Length = wire.Answered, answer.Status, answer.Headers, answer.Body, answer.Length
		r.Replay = true
	case resend.Running:
		r.Outcome, r.Reason, r.RetryAfter = wire.Broken, wire.ReasonKeyRunning, clock.Second
	case resend.Lost:
		r.Outcome, r.Reason = wire.Broken, wire.ReasonKeyLost
	case resend.Other:
		r.Outcome, r.Reason = wire.NotRun, wire.ReasonKeyReused
	case resend.Outranked:
		r.Outcome, r.Reason = wire.NotRun, wire.ReasonKeyVoided
	default:
		r.Outcome, r.Reason = wire.NotRun, wire.ReasonKeyForgotten
	}
	return r
}

// keep records a refusal for a settlement: an answer of an earlier send must
// not be denied as not run.
func (g *Gate) keep(now clock.Millis, j *job, r *wire.Reply) {
	if r.Outcome != wire.NotRun && g.fence.Begin(now, j.key) {
		g.fence.Finish(j.key, r)
		return
	}
	g.fence.Refuse(j.key)
}
