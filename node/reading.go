package node

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"

	"fuchsiapick.example/fuchsiapick/account"
	"fuchsiapick.example/fuchsiapick/metrics"
	"fuchsiapick.example/fuchsiapick/reading"
)

// Keys of the platform's values.
const (
	keyTable     = "table"
	keyInstances = "instances"
)

// addReading adds the readers of the platform's values.
func (n *Node) addReading(tree *suture.Supervisor) {
	if n.source != nil {
		tree.Add(service{"relay", every(relayEvery, n.relay)})
		tree.Add(service{"table source", func(ctx context.Context) error {
			return n.source.Serve(ctx, Told{Adopt: n.Adopt, Away: n.sourceAway, Tell: n.links.Tell})
		}})
		return
	}
	if n.settings.Platform.Address == "" {
		return
	}
	reader := reading.New(reading.Config{Address: n.settings.Platform.Address, Seed: n.seed})
	tables := n.follower(reader, reading.FollowerConfig{
		Key:     keyTable,
		After:   n.version,
		Deliver: func(v reading.Value) { n.offer(v.Version, v.Body, fromPlatform) },
		Report:  n.tableFault,
		Seed:    n.seed,
	})
	tree.Add(service{"relay", every(relayEvery, n.relay)})
	tree.Add(service{"table reader", func(ctx context.Context) error {
		n.consult(ctx)
		return tables.Serve(ctx)
	}})
	var seen uint64
	tree.Add(n.follower(reader, reading.FollowerConfig{
		Key:   keyInstances,
		After: func() uint64 { return seen },
		Deliver: func(v reading.Value) {
			seen = v.Version
			n.instances(v.Body)
		},
		Report: n.listFault,
		Seed:   n.seed + 1,
	}))
}

func (n *Node) follower(reader *reading.Reader, c reading.FollowerConfig) *reading.Follower {
	c.Source = noticed{reader, n}
	c.BackoffMax = n.settings.Platform.Poll
	c.Plan = func() reading.Plan { return reading.Share(reading.ShareConfig{}, n.view(), c.Key) }
	f := reading.NewFollower(c)
	n.mu.Lock()
	n.followers = append(n.followers, following{c.Key, f})
	n.mu.Unlock()
	return f
}

// following is the reader of one value.
type following struct {
	key      string
	follower *reading.Follower
}

// view is what this node knows when it decides whether to watch the platform
// itself or to hear of changes from peers.
func (n *Node) view() reading.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := reading.View{Self: n.address(), Fleet: len(n.peers) + 1}
	for address, p := range n.peers {
		if p.link.Ready() {
			v.Peers = append(v.Peers, address)
		}
	}
	return v
}

// noticed tells the node whether the platform answers.
type noticed struct {
	*reading.Reader

	node *Node
}

// Get reads a value.
func (s noticed) Get(ctx context.Context, key string) (reading.Value, error) {
	v, err := s.Reader.Get(ctx, key)
	s.node.platformAnswered(ctx, err)
	return v, err
}

// Watch waits for a value above a version.
func (s noticed) Watch(ctx context.Context, key string, after uint64) (reading.Value, bool, error) {
	v, found, err := s.Reader.Watch(ctx, key, after)
	s.node.platformAnswered(ctx, err)
	return v, found, err
}

// platformAnswered notes when the platform goes away and when it is back. The
// table in force stays however long it is away.
func (n *Node) platformAnswered(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	away := errors.Is(err, reading.ErrUnavailable)
	n.mu.Lock()
	changed := away != n.platformAway
	n.platformAway = away
	n.mu.Unlock()
	if !changed {
		return
	}
	e := account.Event{At: n.clock.Now(), Kind: account.PlatformBack}
	if away {
		e.Kind, e.Reason = account.PlatformLost, err.Error()
		n.log.WithError(err).Warn("platform doesn't answer; the table in force stays")
	} else {
		n.log.Info("platform answers again")
	}
	n.metrics.Note(e)
}

// sourceAway notes when the platform that the source reads goes away and when
// it is back.
func (n *Node) sourceAway(cause error) {
	if cause != nil {
		cause = errors.Annotate(reading.ErrUnavailable, cause.Error())
	}
	n.platformAnswered(context.Background(), cause)
}

// tableFault logs a failed read of the table.
func (n *Node) tableFault(err error) {
	if !errors.Is(err, reading.ErrStale) {
		n.log.WithError(err).Debug("table not read")
		return
	}
	n.log.WithError(err).Warn("platform holds an older table than the one in force; publish above it")
	n.metrics.Note(account.Event{At: n.clock.Now(), Kind: account.TableOlder, Reason: err.Error()})
}

// listFault logs a failed read of the instance list. One that was never
// published is no fault: links say who is leaving.
func (n *Node) listFault(err error) {
	if errors.Is(err, reading.ErrStale) {
		n.log.WithError(err).Warn("platform holds an older instance list than the one in force")
		return
	}
	n.log.WithError(err).Debug("instance list not read")
}

// consultTime bounds the wait for the peers that the settings name.
const consultTime = 2 * time.Second

// consult waits until a peer has said which table it has in force. A node that
// is replaced while the platform's replica is stale would otherwise put an
// older table in force than the one its predecessor served.
func (n *Node) consult(ctx context.Context) {
	if len(n.settings.Peers) == 0 {
		return
	}
	timer := time.NewTimer(consultTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.consulted:
	}
}

// Readings tells how reading the platform's values goes.
func (n *Node) Readings() []metrics.Reading {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make([]metrics.Reading, 0, len(n.followers))
	for _, f := range n.followers {
		s := f.follower.Stats()
		all = append(all, metrics.Reading{Key: f.key, Calls: s.Calls, Errors: s.Errors, Stale: s.Stale, Seen: s.Seen})
	}
	return all
}

// Links counts the links that are open now.
func (n *Node) Links() metrics.LinkCount {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := metrics.LinkCount{Peers: len(n.peers), Accepted: n.links.Open()}
	for _, p := range n.peers {
		if p.link.Ready() {
			c.Dialled++
		}
	}
	return c
}

// GateStates tells how the gates beside this node do.
func (n *Node) GateStates() []metrics.GateState {
	gates := n.allGates()
	all := make([]metrics.GateState, 0, len(gates))
	for _, g := range gates {
		all = append(all, g.Describe())
	}
	return all
}
