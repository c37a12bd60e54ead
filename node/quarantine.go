package node

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// expireInterval is how often crashes that are too old are dropped.
	expireInterval = 5 * time.Second
	// crashSyncInterval is the minimum interval between two synchronizations with a peer whose
	// crash digest differs.
	crashSyncInterval = 2 * clock.Second
)

// runCrashUpdates sends changed crashes to the reader nodes and applies the resulting
// verdicts on this node, until the context ends.
func (n *Node) runCrashUpdates(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	quarantined := map[quarantine.Fingerprint]struct{}{}
	for {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-ticker.C:
			n.crashes.expire()
		case <-n.crashes.changed:
			if crashes := n.crashes.takePending(); len(crashes) > 0 {
				n.announceToRelays(wire.NewCrashReports(n.clock.Now(), crashes))
			}
		}
		n.applyCases(n.crashes.cases(), quarantined)
	}
}

// announceToRelays sends crash reports to all relays, because every node keeps links to some of
// them.
func (n *Node) announceToRelays(reports []*wire.CrashReport) {
	for _, p := range n.allRelays() {
		p.link.EnsureLink()
		for _, report := range reports {
			p.link.SendCrashes(report)
		}
	}
}

// allRelays returns the peers that other nodes subscribe to.
func (n *Node) allRelays() []*peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var relays []*peer
	for _, address := range n.currentTopology().Relays() {
		if p, ok := n.peers[address]; ok {
			relays = append(relays, p)
		}
	}
	return relays
}

// applyCases logs and records which requests are newly quarantined and which no longer are,
// and updates the set of quarantined requests. It clears the crashes that a quarantined
// request caused from the evidence against the upstreams.
func (n *Node) applyCases(cases []quarantine.Case, quarantined map[quarantine.Fingerprint]struct{}) {
	now := n.clock.Now()
	current := map[quarantine.Fingerprint]struct{}{}
	for i := range cases {
		c := &cases[i]
		if c.Verdict != quarantine.Quarantined || now >= c.Until {
			continue
		}
		current[c.Fingerprint] = struct{}{}
		if _, ok := quarantined[c.Fingerprint]; ok {
			continue
		}
		quarantined[c.Fingerprint] = struct{}{}
		n.log.WithFields(logrus.Fields{
			"fingerprint": c.Fingerprint.String(), "service": c.Service, "upstreams": c.Servers, "requests": c.Requests,
			"trials": c.Trials, "chance": wire.RoundFloat(c.Chance), "age": (now - c.Last).String(), "until": (c.Until - now).String(),
		}).Warn("request quarantined; it crashes the backend servers that run it")
		n.metrics.RecordEvent(access.Event{
			At: now, Kind: access.Quarantined, Service: c.Service, Reason: c.Fingerprint.String(), Until: c.Until,
		})
	}
	for _, g := range n.allGates() {
		for i := range cases {
			if cases[i].Verdict == quarantine.Quarantined && slices.Contains(cases[i].Servers, g.Name()) {
				g.ClearCrashEvidence(cases[i].Crashes)
			}
		}
	}
	for f := range quarantined {
		if _, ok := current[f]; !ok {
			delete(quarantined, f)
			n.log.WithField("fingerprint", f.String()).Info("request is no longer quarantined")
			n.metrics.RecordEvent(access.Event{At: now, Kind: access.Released, Reason: f.String()})
		}
	}
}

// ReceiveCrashes merges the crash report of a node that dialled this one. It returns the
// crashes that the sender lacks, preceded by all crashes if the report asks for a reply.
func (n *Node) ReceiveCrashes(report *wire.CrashReport) []*wire.CrashReport {
	missing := n.crashes.merge(report, n.isRelay())
	if report.WantsReply {
		missing = append(n.crashes.allCrashes(), missing...)
	}
	return wire.NewCrashReports(n.clock.Now(), missing)
}

// PeerCrashReport merges the crash report of a node that this one dialled.
func (n *Node) PeerCrashReport(report *wire.CrashReport) {
	n.crashes.merge(report, n.isRelay())
}

// syncCrashes exchanges all crashes with a peer whose crash digest differs from this node's.
func (n *Node) syncCrashes(node string, h *wire.Heartbeat) {
	if h.CrashDigest == n.crashes.digest.Load() {
		return
	}
	now := n.clock.Now()
	n.mu.Lock()
	p, ok := n.peers[node]
	isDue := ok && (p.crashesAskedAt == 0 || now-p.crashesAskedAt >= crashSyncInterval)
	if isDue {
		p.crashesAskedAt = now
	}
	n.mu.Unlock()
	if !isDue {
		return
	}
	for _, report := range wire.NewCrashReports(now, n.crashes.allCrashes()) {
		p.link.SendCrashes(report)
	}
	p.link.SendCrashes(&wire.CrashReport{WantsReply: true})
}

// Quarantine returns the requests that are suspected of crashing backend servers or
// quarantined.
func (n *Node) Quarantine() []access.Suspect {
	now := n.clock.Now()
	cases := n.crashes.cases()
	suspects := make([]access.Suspect, 0, len(cases))
	for i := range cases {
		c := &cases[i]
		s := access.Suspect{
			Fingerprint: c.Fingerprint.String(), Verdict: access.VerdictSuspected, Service: c.Service,
			Upstreams: c.Servers, Requests: c.Requests, Trials: c.Trials, Chance: c.Chance, Age: now - c.Last,
		}
		if c.Verdict == quarantine.Quarantined && now < c.Until {
			s.Verdict, s.Remaining = access.VerdictQuarantined, c.Until-now
		}
		suspects = append(suspects, s)
	}
	return suspects
}
