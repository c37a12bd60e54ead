package gate

import (
	"sync"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/resend"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// maxKeys bounds the keys that a node remembers: at 550 bytes for the
	// longest key they take 55 MB at most, and 160 sends with a key a second
	// reach back the whole retention.
	maxKeys = 100_000
	// maxRetainedReply bounds a kept answer in bytes, headers included: with it a
	// question's answer stays within one frame.
	maxRetainedReply = 32 << 10
	// maxRetainedBytes bounds all kept answers of a node in bytes.
	maxRetainedBytes = 32 << 20
)

// KeyStore is what a node's gates know together of idempotency keys. One memory
// for all of them outlives a gate that a table edit replaces or removes. It is
// safe for concurrent use.
type KeyStore struct {
	now   func() clock.Millis
	mu    sync.Mutex
	store *resend.Store[*wire.Reply]
}

// NewKeyStore returns a memory that begins now.
func NewKeyStore(now func() clock.Millis) *KeyStore {
	return &KeyStore{now: now, store: resend.NewStore[*wire.Reply](resend.StoreConfig{
		Start:     now(),
		Retention: resend.Retention,
		MaxKeys:   maxKeys,
		MaxReply:  maxRetainedReply,
		MaxBytes:  maxRetainedBytes,
	})}
}

// Revoke says what is known of a resend's key and forbids earlier sends.
func (k *KeyStore) Revoke(v *wire.KeyRevocation) *wire.KeyRevocationReply {
	claim := resend.Send{
		Key:        resend.Key{Caller: v.Caller, Service: v.Service, Text: v.Key},
		Digest:     digestOf(v.Digest),
		Precedence: resend.Precedence{Number: v.Number, Entry: v.ID.Entry, Seq: v.ID.Seq},
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	standing, reply := k.store.Revoke(now, claim)
	out := &wire.KeyRevocationReply{ID: v.ID, KeyStatus: uint8(standing), Covers: k.store.Covers(now)}
	if reply != nil {
		out.Status, out.Headers, out.Body, out.Upstream = reply.Status, reply.Headers, reply.Body, reply.Upstream.Name
	}
	return out
}

func (k *KeyStore) lookup(now clock.Millis, c resend.Send) (resend.Status, *wire.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.store.Lookup(now, c)
}

func (k *KeyStore) begin(now clock.Millis, c resend.Send) (resend.Status, *wire.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.store.Begin(now, c)
}

// finish takes in what became of a send that was begun.
func (k *KeyStore) finish(key resend.Key, r *wire.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch r.Outcome {
	case wire.NotRun:
		k.store.RecordNotRun(key)
	case wire.Answered:
		k.store.RecordReply(key, r, len(r.Body)+len(r.Headers))
	default:
		k.store.RecordLost(key)
	}
}

func digestOf(b []byte) resend.Digest {
	var d resend.Digest
	copy(d[:], b)
	return d
}

// newSend is what a dispatch claims for its key; false without one.
func (g *Gate) newSend(d *wire.Dispatch) (resend.Send, bool) {
	if d.Key == "" {
		return resend.Send{}, false
	}
	c := resend.Send{
		Key:         resend.Key{Caller: d.Caller, Service: g.config.Service.Name, Text: d.Key},
		Digest:      digestOf(d.Digest),
		Received:    d.Lease - d.LeaseSpan,
		GateCreated: g.createdAt,
	}
	if d.Resend > 0 {
		c.Precedence = resend.Precedence{Number: d.Resend, Entry: d.ID.Entry, Seq: d.ID.Seq}
	}
	return c, true
}

// keyRefusal answers a dispatch whose key may not run here, or returns false. It
// spares such a dispatch the queue; that it doesn't run is up to beginKey.
func (g *Gate) keyRefusal(now clock.Millis, d *wire.Dispatch) (*wire.Reply, bool) {
	c, ok := g.newSend(d)
	if !ok {
		return nil, false
	}
	standing, answer := g.config.Keys.lookup(now, c)
	if standing == resend.Free {
		return nil, false
	}
	return g.keyReply(now, d, standing, answer), true
}

// beginKey is the last step before a send of a key goes out, under one lock
// for all gates of the node: of two sends that waited only one begins, and none
// that a resend has voided in the meantime.
func (g *Gate) beginKey(now clock.Millis, j *job) bool {
	c, ok := g.newSend(j.dispatch)
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
	if c, ok := g.newSend(d); ok {
		g.config.Keys.finish(c.Key, r)
	}
}

// keyReply says why a dispatch doesn't run. Not run is said only where nothing
// that was sent with the key is known to have run.
func (g *Gate) keyReply(now clock.Millis, d *wire.Dispatch, s resend.Status, answer *wire.Reply) *wire.Reply {
	r := g.reply(now, d)
	switch s {
	case resend.Ran:
		r.Outcome, r.Status, r.Headers, r.Body, r.Length = wire.Answered, answer.Status, answer.Headers, answer.Body, answer.Length
		r.Replay = true
	case resend.Running:
		r.Outcome, r.Reason, r.RetryAfter = wire.Broken, wire.ReasonKeyRunning, clock.Second
	case resend.Lost:
		r.Outcome, r.Reason = wire.Broken, wire.ReasonReplyNotKept
	case resend.Reused:
		r.Outcome, r.Reason = wire.NotRun, wire.ReasonKeyReused
	case resend.Superseded:
		r.Outcome, r.Reason = wire.NotRun, wire.ReasonKeyRevoked
	default:
		r.Outcome, r.Reason = wire.NotRun, wire.ReasonKeyPredatesNode
	}
	return r
}

// recordReply records a refusal for a settlement: an answer of an earlier send must
// not be denied as not run.
func (g *Gate) recordReply(now clock.Millis, j *job, r *wire.Reply) {
	if r.Outcome != wire.NotRun && g.dedup.Begin(now, j.key) {
		g.dedup.Finish(j.key, r)
		return
	}
	g.dedup.Refuse(j.key)
}
