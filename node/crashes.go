package node

import (
	"sync"
	"sync/atomic"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// crashTracker is what this node knows of requests that crash backend servers. It is safe for
// concurrent use. Its lock is taken under those of gates and of the node, and none of these is
// taken under it.
type crashTracker struct {
	now func() clock.Millis
	// announce tells entries of other nodes at once.
	announce func(c *wire.CrashReport)
	// isEmpty and digest are the register's, for readers that can't wait.
	isEmpty atomic.Bool
	digest  atomic.Uint64
	// changed is filled when there is something for the loop.
	changed chan struct{}

	mu       sync.Mutex
	register *quarantine.Registry
	// announcedRevision is up to where others were told, and untold what the readers are still to hear.
	announcedRevision uint64
	pending           []quarantine.Crash
}

func newCrashes(now func() clock.Millis, tell func(c *wire.CrashReport)) *crashTracker {
	c := &crashTracker{now: now, announce: tell, register: quarantine.NewRegistry(), changed: make(chan struct{}, 1)}
	c.isEmpty.Store(true)
	return c
}

// IsEmpty reports whether nothing is suspected.
func (c *crashTracker) IsEmpty() bool {
	return c.isEmpty.Load()
}

// MayMatch reports whether a request with the hint may be a suspect.
func (c *crashTracker) MayMatch(hint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.MayMatch(hint)
}

// Status says how a request may be sent.
func (c *crashTracker) Status(f quarantine.Fingerprint) quarantine.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Status(c.now(), f)
}

// RecordCrash takes in the end of a backend server beside this node.
func (c *crashTracker) RecordCrash(e quarantine.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isNews, _ := c.register.Merge(c.now(), []quarantine.Crash{e}); isNews {
		c.publish(true)
	}
}

// RecordInconclusive takes in a trial beside this node that showed nothing.
func (c *crashTracker) RecordInconclusive(e quarantine.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.register.AddInconclusive(c.now(), e) {
		c.publish(true)
	}
}

// RecordSuccess takes in that a run beside this node came to its end and didn't fail.
func (c *crashTracker) RecordSuccess(d *wire.Dispatch) {
	if c.IsEmpty() {
		return
	}
	subject := d.QuarantineRequest()
	if !c.MayMatch(subject.Hint()) {
		return
	}
	c.Clear(subject.Fingerprint())
}

// Clear takes in that a request succeeded.
func (c *crashTracker) Clear(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.register.Clear(c.now(), f) {
		c.publish(true)
	}
}

// merge takes in what a peer tells and returns what that peer lacks. A node that others
// keep links to passes on what is new.
func (c *crashTracker) merge(told *wire.CrashReport, passesOn bool) (behind []quarantine.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNews, behind := c.register.Merge(c.now(), told.ToQuarantine(c.now()))
	if isNews {
		c.publish(passesOn)
	}
	return behind
}

// publish brings what is read without the lock up to date, tells entries with a link what has
// changed if that is wanted, and wakes the loop. The lock is held.
func (c *crashTracker) publish(tells bool) {
	c.isEmpty.Store(c.register.IsEmpty())
	c.digest.Store(c.register.Digest())
	ends, told := c.register.ChangedSince(c.announcedRevision)
	c.announcedRevision = told
	if tells && len(ends) > 0 {
		c.pending = append(c.pending, ends...)
		for _, frame := range wire.NewCrashReports(c.now(), ends) {
			c.announce(frame)
		}
	}
	select {
	case c.changed <- struct{}{}:
	default: // it is to look already
	}
}

// takePending returns what the readers are still to hear.
func (c *crashTracker) takePending() []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := c.pending
	c.pending = nil
	return ends
}

// all returns everything that is to be known elsewhere, with the digest of it.
func (c *crashTracker) all() []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	ends, _ := c.register.ChangedSince(0)
	return ends
}

// cases returns the requests that are suspected or quarantined.
func (c *crashTracker) cases() []quarantine.Case {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Cases()
}

// expire forgets what is too old.
func (c *crashTracker) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.Expire(c.now())
	c.publish(false)
}

// lift frees the requests that a table names.
func (c *crashTracker) lift(t *table.Table) {
	var all []quarantine.Fingerprint
	for i := range t.Services {
		for _, text := range t.Services[i].LiftedFingerprints {
			if f, ok := quarantine.ParseFingerprint(text); ok { // the table was checked
				all = append(all, f)
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.register.Lift(all)
	c.publish(false)
}

// gateCrashes is what gates ask.
type gateCrashes struct{ *crashTracker }

// Status says how a dispatch's request may be sent.
func (b gateCrashes) Status(d *wire.Dispatch) quarantine.Status {
	if b.IsEmpty() {
		return quarantine.Status{}
	}
	subject := d.QuarantineRequest()
	if d.Verdict == uint8(quarantine.Free) && !b.MayMatch(subject.Hint()) {
		return quarantine.Status{}
	}
	return b.crashTracker.Status(subject.Fingerprint())
}
