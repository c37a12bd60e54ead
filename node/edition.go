package node

import (
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/account"
	"fuchsiapick.example/fuchsiapick/edition"
	"fuchsiapick.example/fuchsiapick/platform"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

const (
	fromPlatform = edition.Platform
	fromPeer     = edition.Peer
)

// Version returns the version of the table in force, 0 without one.
func (n *Node) Version() uint64 {
	return n.version()
}

// version returns the version of the table in force, 0 without one.
func (n *Node) version() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fence.Current().Version
}

// offer checks a table's text whole and puts it in force if the fence accepts
// it. Only a checked table reaches the fence: a version number alone, in a bad
// frame, could otherwise freeze the configuration for good.
func (n *Node) offer(version uint64, text []byte, source edition.Source) {
	log := n.log.WithFields(logrus.Fields{"version": version, "source": string(source)})
	t, err := table.Parse(text)
	if err == nil && t.Version != version {
		err = errors.Errorf("published as version %d but the table says %d", version, t.Version)
	}
	if err != nil {
		log.WithError(err).Error("table rejected; the last accepted one stays in force")
		n.metrics.Note(account.Event{At: n.clock.Now(), Kind: account.TableRejected, Reason: err.Error()})
		return
	}
	n.mu.Lock()
	verdict := n.fence.Offer(edition.Offer{Version: version, Digest: table.Digest(text), Source: source})
	if verdict == edition.Accept {
		n.table, n.text = t, text
		n.apply(t)
	}
	n.mu.Unlock()
	n.noteEdition(log, version, verdict)
}

func (n *Node) noteEdition(log logrus.FieldLogger, version uint64, verdict edition.Verdict) {
	e := account.Event{At: n.clock.Now(), Reason: "version " + formatVersion(version)}
	switch verdict {
	case edition.Accept:
		log.Info("table in force")
		n.inForceOnce.Do(func() { close(n.inForce) })
		e.Kind = account.TableAccepted
	case edition.Older:
		log.Warn("older table not put in force; publish above the version in force")
		e.Kind = account.TableOlder
	case edition.Conflict:
		log.Warn("two tables have this version; publish one above it")
		e.Kind = account.TableRejected
		e.Reason += " was published twice with different text"
	default:
		return
	}
	n.metrics.Note(e)
}

// apply puts a checked table in force. The node's lock is held.
func (n *Node) apply(t *table.Table) {
	n.applyGates(t)
	for _, g := range n.gates {
		g.Listed(n.listed[n.address()])
	}
	n.applyPeers(t)
	n.entry.Update(t)
	n.book.SetServices(t.Services)
	for node, leaving := range n.listed {
		n.entry.Instance(node, leaving)
	}
}

// platformFault logs a failed read. The table in force stays, however long the
// platform is away.
func (n *Node) platformFault(err error) {
	n.log.WithError(err).Debug("platform not read")
	if errors.Is(err, platform.ErrStale) {
		n.log.WithError(err).Warn("platform holds an older table than the one in force; publish above it")
		n.metrics.Note(account.Event{At: n.clock.Now(), Kind: account.TableOlder, Reason: err.Error()})
	}
}

// instances takes in the platform's list, which lags: it can say that a node
// is leaving, but a node that says so itself is leaving whatever the list says.
func (n *Node) instances(body []byte) {
	list, err := platform.ParseInstances(body)
	if err != nil {
		n.log.WithError(err).Error("instance list rejected")
		return
	}
	listed := make(map[string]bool, len(list.List))
	for _, i := range list.List {
		listed[i.Node] = i.State == platform.Leaving
	}
	n.mu.Lock()
	for node := range n.listed {
		if _, ok := listed[node]; !ok {
			n.entry.Instance(node, false)
		}
	}
	n.listed = listed
	for node, leaving := range listed {
		n.entry.Instance(node, leaving)
	}
	n.mu.Unlock()
	n.listGates()
}

// listGates passes on what the instance list says of this node, and tells the
// peers at once.
func (n *Node) listGates() {
	n.mu.Lock()
	self := n.listed[n.address()]
	n.mu.Unlock()
	for _, g := range n.allGates() {
		g.Listed(self)
		n.entry.Heard(g.Status())
	}
	n.links.BeatNow()
}

// Ask returns the table in force for a peer whose own is older.
func (n *Node) Ask(a *wire.Ask) (*wire.Edition, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	current := n.fence.Current().Version
	if current <= a.Version {
		return nil, false
	}
	return &wire.Edition{Version: current, Text: n.text}, true
}

// Edition takes in a table that a peer relays; it passes the same check as one
// from the platform.
func (n *Node) Edition(node string, e *wire.Edition) {
	if e.Version <= n.version() {
		return
	}
	n.log.WithField("peer", node).Debug("table relayed")
	n.offer(e.Version, e.Text, fromPeer)
}
