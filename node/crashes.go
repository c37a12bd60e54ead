package node

import (
	"sync"
	"sync/atomic"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// crashTracker holds what this node knows about requests that crash backend servers. It is
// safe for concurrent use. Lock order: its lock may be acquired while the locks of the node
// or of a gate are held, but not the other way round.
type crashTracker struct {
	now func() clock.Millis
	// announce immediately sends a report to all entries that have a link to this node.
	announce func(c *wire.CrashReport)
	// isEmpty and digest copy values of the registry for callers that can't wait for the lock.
	isEmpty atomic.Bool
	digest  atomic.Uint64
	// changed wakes runCrashUpdates after a change.
	changed chan struct{}

	mu       sync.Mutex
	registry *quarantine.Registry
	// announcedRevision is the revision of the registry up to which publish has handled
	// changes. pending holds the crashes that are still to be sent to the reader nodes.
	announcedRevision uint64
	pending           []quarantine.Crash
}

func newCrashTracker(now func() clock.Millis, announce func(c *wire.CrashReport)) *crashTracker {
	c := &crashTracker{now: now, announce: announce, registry: quarantine.NewRegistry(), changed: make(chan struct{}, 1)}
	c.isEmpty.Store(true)
	return c
}

// IsEmpty reports whether no request is suspected.
func (c *crashTracker) IsEmpty() bool {
	return c.isEmpty.Load()
}

// MayMatch reports whether a request with this hint may be a suspect.
func (c *crashTracker) MayMatch(hint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.MayMatch(hint)
}

// Status returns how a request may be sent: freely, one at a time or not at all.
func (c *crashTracker) Status(f quarantine.Fingerprint) quarantine.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Status(c.now(), f)
}

// RecordCrash records a crash of a backend server beside this node.
func (c *crashTracker) RecordCrash(crash quarantine.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isNew, _ := c.registry.Merge(c.now(), []quarantine.Crash{crash}); isNew {
		c.publish(true)
	}
}

// RecordInconclusive records a trial beside this node that neither crashed the backend
// server nor succeeded.
func (c *crashTracker) RecordInconclusive(trial quarantine.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.AddInconclusive(c.now(), trial) {
		c.publish(true)
	}
}

// RecordSuccess records that a run beside this node finished without a failure.
func (c *crashTracker) RecordSuccess(d *wire.Dispatch) {
	if c.IsEmpty() {
		return
	}
	request := d.QuarantineRequest()
	if !c.MayMatch(request.Hint()) {
		return
	}
	c.Clear(request.Fingerprint())
}

// Clear records that a request succeeded.
func (c *crashTracker) Clear(f quarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.registry.Clear(c.now(), f) {
		c.publish(true)
	}
}

// merge adds the crashes of a peer's report and returns those that the peer lacks. With
// forwards, new ones are sent on to other nodes: the reader nodes do so, as all nodes keep
// links to some of them.
func (c *crashTracker) merge(report *wire.CrashReport, forwards bool) (missing []quarantine.Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew, missing := c.registry.Merge(c.now(), report.ToQuarantine(c.now()))
	if isNew {
		c.publish(forwards)
	}
	return missing
}

// publish updates the fields that are read without the lock and wakes runCrashUpdates. With
// announces, it also sends the changed crashes to the entries with a link and queues them for
// the reader nodes. The caller holds the lock.
func (c *crashTracker) publish(announces bool) {
	c.isEmpty.Store(c.registry.IsEmpty())
	c.digest.Store(c.registry.Digest())
	crashes, revision := c.registry.ChangedSince(c.announcedRevision)
	c.announcedRevision = revision
	if announces && len(crashes) > 0 {
		c.pending = append(c.pending, crashes...)
		for _, report := range wire.NewCrashReports(c.now(), crashes) {
			c.announce(report)
		}
	}
	select {
	case c.changed <- struct{}{}:
	default: // a wake-up is pending already
	}
}

// takePending returns the crashes that are still to be sent to the reader nodes, and clears
// them.
func (c *crashTracker) takePending() []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashes := c.pending
	c.pending = nil
	return crashes
}

// allCrashes returns all crashes that other nodes need: those with a request that is still
// suspected.
func (c *crashTracker) allCrashes() []quarantine.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashes, _ := c.registry.ChangedSince(0)
	return crashes
}

// cases returns the requests that are suspected or quarantined.
func (c *crashTracker) cases() []quarantine.Case {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.registry.Cases()
}

// expire drops crashes and verdicts that are too old.
func (c *crashTracker) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.Expire(c.now())
	c.publish(false)
}

// lift releases the requests whose fingerprints operators list in the table, as long as they
// are listed.
func (c *crashTracker) lift(t *table.Table) {
	var lifted []quarantine.Fingerprint
	for i := range t.Services {
		for _, text := range t.Services[i].LiftedFingerprints {
			if f, ok := quarantine.ParseFingerprint(text); ok { // validated with the table
				lifted = append(lifted, f)
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.registry.Lift(lifted)
	c.publish(false)
}

// gateCrashes adapts a crashTracker to gate.CrashTracker.
type gateCrashes struct{ *crashTracker }

// Status returns how a dispatch's request may be sent.
func (g gateCrashes) Status(d *wire.Dispatch) quarantine.Status {
	if g.IsEmpty() {
		return quarantine.Status{}
	}
	request := d.QuarantineRequest()
	if d.Verdict == uint8(quarantine.Free) && !g.MayMatch(request.Hint()) {
		return quarantine.Status{}
	}
	return g.crashTracker.Status(request.Fingerprint())
}
