package node

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	// expireInterval is how often what is known of crashes is looked through.
	expireInterval = 5 * time.Second
	// crashSyncInterval is how often a peer that knows something else of crashes is asked.
	crashSyncInterval = 2 * clock.Second
)

// runCrashUpdates tells the readers of what has changed, and acts on it here.
func (n *Node) runCrashUpdates(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	held := map[quarantine.Fingerprint]struct{}{}
	for {
		select {
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		case <-ticker.C:
			n.crashes.expire()
		case <-n.crashes.changed:
			if ends := n.crashes.takePending(); len(ends) > 0 {
				n.announceToReaders(wire.NewCrashReports(n.clock.Now(), ends))
			}
		}
		n.applyCases(n.crashes.cases(), held)
	}
}

// announceToReaders tells the nodes that all others keep links to.
func (n *Node) announceToReaders(frames []*wire.CrashReport) {
	for _, p := range n.allReaders() {
		p.link.EnsureLink()
		for _, c := range frames {
			p.link.SendCrashes(c)
		}
	}
}

func (n *Node) allReaders() []*peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	var all []*peer
	for _, address := range mirror.AllReaders(n.nodes()) {
		if p, ok := n.peers[address]; ok {
			all = append(all, p)
		}
	}
	return all
}

// applyCases says which requests are held back from now on, and which no longer, and tells the
// gates of upstreams that are not to blame for their crashes.
func (n *Node) applyCases(cases []quarantine.Case, held map[quarantine.Fingerprint]struct{}) {
	now := n.clock.Now()
	current := map[quarantine.Fingerprint]struct{}{}
	for i := range cases {
		c := &cases[i]
		if c.Verdict != quarantine.Quarantined || now >= c.Until {
			continue
		}
		current[c.Fingerprint] = struct{}{}
		if _, ok := held[c.Fingerprint]; ok {
			continue
		}
		held[c.Fingerprint] = struct{}{}
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
	for f := range held {
		if _, ok := current[f]; !ok {
			delete(held, f)
			n.log.WithField("fingerprint", f.String()).Info("request quarantined no longer")
			n.metrics.RecordEvent(access.Event{At: now, Kind: access.Released, Reason: f.String()})
		}
	}
}

// ReceiveCrashes takes in what a node with a link to this one tells.
func (n *Node) ReceiveCrashes(c *wire.CrashReport) []*wire.CrashReport {
	_, isReader := n.fleetSize()
	behind := n.crashes.merge(c, isReader)
	if c.WantsReply {
		behind = append(n.crashes.all(), behind...)
	}
	return wire.NewCrashReports(n.clock.Now(), behind)
}

// PeerCrashReport takes in what a node that this one dialled tells.
func (n *Node) PeerCrashReport(c *wire.CrashReport) {
	_, isReader := n.fleetSize()
	n.crashes.merge(c, isReader)
}

// syncCrashes asks a peer that knows something else of crashes.
func (n *Node) syncCrashes(node string, b *wire.Heartbeat) {
	if b.CrashDigest == n.crashes.digest.Load() {
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
	for _, c := range wire.NewCrashReports(now, n.crashes.all()) {
		p.link.SendCrashes(c)
	}
	p.link.SendCrashes(&wire.CrashReport{WantsReply: true})
}

// Quarantine lists the requests under which backend servers crash.
func (n *Node) Quarantine() []access.Suspect {
	now := n.clock.Now()
	cases := n.crashes.cases()
	all := make([]access.Suspect, 0, len(cases))
	for i := range cases {
		c := &cases[i]
		s := access.Suspect{
			Fingerprint: c.Fingerprint.String(), Verdict: access.VerdictSuspected, Service: c.Service,
			Upstreams: c.Servers, Requests: c.Requests, Trials: c.Trials, Chance: c.Chance, Age: now - c.Last,
		}
		if c.Verdict == quarantine.Quarantined && now < c.Until {
			s.Verdict, s.Remaining = access.VerdictQuarantined, c.Until-now
		}
		all = append(all, s)
	}
	return all
}
