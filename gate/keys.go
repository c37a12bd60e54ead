package gate

import (
	"sync"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/resend"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// maxKeys limits the keys that a node retains: at 550 bytes for the longest key they
	// take 55 MB at most, and at up to 160 sends with a key per second every key is kept
	// for the whole retention time.
	maxKeys = 100_000
	// maxRetainedReply limits a retained reply in bytes, headers included, so that the
	// reply to a key revocation fits into one frame.
	maxRetainedReply = 32 << 10
	// maxRetainedBytes limits all retained replies of a node in bytes.
	maxRetainedBytes = 32 << 20
)

// KeyStore records the idempotency keys of all gates of a node. It outlives a gate that
// a table change replaces or removes. It is safe for concurrent use.
type KeyStore struct {
	now   func() clock.Millis
	mu    sync.Mutex
	store *resend.Store[*wire.Reply]
}

// NewKeyStore returns an empty store whose records begin now.
func NewKeyStore(now func() clock.Millis) *KeyStore {
	return &KeyStore{now: now, store: resend.NewStore[*wire.Reply](resend.StoreConfig{
		Start:     now(),
		Retention: resend.Retention,
		MaxKeys:   maxKeys,
		MaxReply:  maxRetainedReply,
		MaxBytes:  maxRetainedBytes,
	})}
}

// Revoke returns the status of a resend's key, with the retained reply if there is one, and
// forbids earlier sends of the key to begin.
func (k *KeyStore) Revoke(r *wire.KeyRevocation) *wire.KeyRevocationReply {
	send := resend.Send{
		Key:        resend.Key{Caller: r.Caller, Service: r.Service, Text: r.Key},
		Digest:     digestOf(r.Digest),
		Precedence: resend.Precedence{Number: r.Number, Entry: r.ID.Entry, Seq: r.ID.Seq},
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	status, reply := k.store.Revoke(now, send)
	result := &wire.KeyRevocationReply{ID: r.ID, KeyStatus: uint8(status), Covers: k.store.Covers(now)}
	if reply != nil {
		result.Status, result.Headers, result.Body, result.Upstream = reply.Status, reply.Headers, reply.Body, reply.Upstream.Name
	}
	return result
}

func (k *KeyStore) lookup(now clock.Millis, s resend.Send) (resend.Status, *wire.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.store.Lookup(now, s)
}

func (k *KeyStore) begin(now clock.Millis, s resend.Send) (resend.Status, *wire.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.store.Begin(now, s)
}

// finish records the outcome of a send that was begun.
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

// newSend returns the send that a dispatch with an idempotency key makes, or false for a
// dispatch without a key.
func (g *Gate) newSend(d *wire.Dispatch) (resend.Send, bool) {
	if d.Key == "" {
		return resend.Send{}, false
	}
	s := resend.Send{
		Key:         resend.Key{Caller: d.Caller, Service: g.config.Service.Name, Text: d.Key},
		Digest:      digestOf(d.Digest),
		Received:    d.Lease - d.LeaseSpan,
		GateCreated: g.createdAt,
	}
	if d.Resend > 0 {
		s.Precedence = resend.Precedence{Number: d.Resend, Entry: d.ID.Entry, Seq: d.ID.Seq}
	}
	return s, true
}

// keyRefusal returns the reply to a dispatch whose key may not run here, or false. The check
// saves such a dispatch the wait in the queue; beginKey is what prevents the run. It is
// called with the gate's lock held.
func (g *Gate) keyRefusal(now clock.Millis, d *wire.Dispatch) (*wire.Reply, bool) {
	send, ok := g.newSend(d)
	if !ok {
		return nil, false
	}
	status, retained := g.config.Keys.lookup(now, send)
	if status == resend.Free {
		return nil, false
	}
	return g.keyReply(now, d, status, retained), true
}

// beginKey is the last check before a request with a key is sent. It returns false, and sets
// the job's refusal, if the key may not run. All gates of the node share the store's lock, so
// that of two waiting sends only one begins, and none that a resend has revoked meanwhile.
func (g *Gate) beginKey(now clock.Millis, j *job) bool {
	send, ok := g.newSend(j.dispatch)
	if !ok {
		return true
	}
	status, retained := g.config.Keys.begin(now, send)
	if status == resend.Free {
		return true
	}
	j.refusal = g.keyReply(now, j.dispatch, status, retained)
	return false
}

// endKey records the outcome of a begun dispatch for its key.
func (g *Gate) endKey(d *wire.Dispatch, r *wire.Reply) {
	if send, ok := g.newSend(d); ok {
		g.config.Keys.finish(send.Key, r)
	}
}

// keyReply returns the reply to a dispatch whose key has status s and may not run; retained is
// the retained reply for resend.Ran. The outcome is NotRun only if no send with the key is
// known to have run.
func (g *Gate) keyReply(now clock.Millis, d *wire.Dispatch, s resend.Status, retained *wire.Reply) *wire.Reply {
	r := g.reply(now, d)
	switch s {
	case resend.Ran:
		r.Outcome, r.Status, r.Headers, r.Body, r.Length = wire.Answered, retained.Status, retained.Headers, retained.Body, retained.Length
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

// recordReply records a refusal for a later Resolve, which must not report the run of an
// earlier send as not run.
func (g *Gate) recordReply(now clock.Millis, j *job, r *wire.Reply) {
	if r.Outcome != wire.NotRun && g.dedup.Begin(now, j.key) {
		g.dedup.Finish(j.key, r)
		return
	}
	g.dedup.Refuse(j.key)
}
