package node_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
)

// countingStore is a fakeStore that counts the lists of all nodes.
type countingStore struct {
	fakeStore

	lists atomic.Int64
}

func (s *countingStore) List(ctx context.Context) (mirror.Listing, error) {
	s.lists.Add(1)
	return s.fakeStore.List(ctx)
}

// tableOf returns a deployment with an upstream beside each node.
func tableOf(ports []*node.Listeners) *table.Table {
	s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Deadline: clock.Second}
	for i, l := range ports {
		s.Upstreams = append(s.Upstreams, table.Upstream{
			Name: fmt.Sprint("c", i), Address: "127.0.0.1:1", Node: l.Link.Addr().String(),
			Domain: "palermo", Weight: 100, Slots: 1, Connections: 1,
		})
	}
	return table.Index(table.Table{
		Format: table.Format, Version: 7, Services: []table.Service{s}, Routes: []table.Route{{Prefix: "/", Service: "conferme"}},
	})
}

// awaitTable waits until a node has a table in force.
func awaitTable(t *testing.T, name string, n *node.Node) {
	t.Helper()
	select {
	case <-n.InForce():
	case <-time.After(10 * time.Second):
		t.Fatalf("%s: got no table within 10s, want one", name)
	}
}

// Guards against a fleet that lists all values at every node when all start at once: with 983
// nodes the store's link was busy for three seconds, and callers were refused for six.
func TestNodesThatStartAtOnceTakeTheCopiesOfSeeds(t *testing.T) {
	const count = 30
	ports := make([]*node.Listeners, 0, count)
	for range count {
		ports = append(ports, listen(t))
	}
	seeds := []string{ports[0].Link.Addr().String(), ports[1].Link.Addr().String(), ports[2].Link.Addr().String()}
	store := &countingStore{fakeStore: fakeStore{count: 2500}} // a copy of several parts
	builder := fixedTable{tableOf(ports)}
	nodes := make([]*node.Node, count)
	for i, l := range ports {
		nodes[i] = startNodeWith(t, fmt.Sprint("n", i), l, store, builder, func(s *settings.Settings) { s.Peers = seeds })
	}
	for i, n := range nodes {
		awaitTable(t, fmt.Sprint("n", i), n)
	}
	if got, want := store.lists.Load(), int64(len(seeds)); got > want {
		t.Errorf("got %d lists of %d nodes, want at most %d", got, count, want)
	}
}

// Guards against a node that starts only when the store answers it, while its neighbours hold a
// copy.
func TestNodeJoinsWhileStoreIsUnavailable(t *testing.T) {
	seedPorts, joiningPorts := listen(t), listen(t)
	builder := fixedTable{tableOf([]*node.Listeners{seedPorts, joiningPorts})}
	seeds := []string{seedPorts.Link.Addr().String()}
	seed := startNodeWith(t, "seed", seedPorts, fakeStore{count: 3}, builder, func(s *settings.Settings) { s.Peers = seeds })
	awaitTable(t, "seed", seed)
	joining := startNodeWith(t, "joining", joiningPorts, fakeStore{isUnavailable: true}, builder, func(s *settings.Settings) { s.Peers = seeds })
	awaitTable(t, "joining", joining)
}

// Guards against a node that waits for seeds that are down or have been replaced: it must read
// the store itself.
func TestNodeWithoutReachableSeedReadsStore(t *testing.T) {
	gone, ports := listen(t), listen(t)
	gone.Close()
	builder := fixedTable{tableOf([]*node.Listeners{ports})}
	n := startNodeWith(t, "alone", ports, fakeStore{count: 3}, builder, func(s *settings.Settings) { s.Peers = []string{gone.Link.Addr().String()} })
	awaitTable(t, "alone", n)
}
