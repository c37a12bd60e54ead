package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// fakeStore holds count values, but at least one, or doesn't answer.
type fakeStore struct {
	isUnavailable bool
	count         int
}

func (s fakeStore) List(context.Context) (mirror.Listing, error) {
	if s.isUnavailable {
		return mirror.Listing{}, mirror.ErrUnavailable
	}
	items := []mirror.Item{{Key: "what is known", Revision: 5}}
	for i := len(items); i < s.count; i++ {
		items = append(items, mirror.Item{Key: fmt.Sprint("registration ", i), Revision: 5})
	}
	return mirror.Listing{Items: items, Revision: 5, IsSnapshot: true}, nil
}

func (s fakeStore) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	if s.isUnavailable {
		return nil, 0, mirror.ErrUnavailable
	}
	return nil, 5, nil
}

// fixedTable builds the same table from any values, and none without a value.
type fixedTable struct {
	table *table.Table
}

func (t fixedTable) Table(items []mirror.Item) (*table.Table, bool) { return t.table, len(items) > 0 }
func (fixedTable) ExpectedRemoval(mirror.Item) bool                 { return false }
func (fixedTable) Hash(item mirror.Item) uint64                     { return item.Revision }

// startNode starts a node that reads the store and builds its table with builder. The test's
// cleanup stops the node.
func (fixedTable) IsOlder(mirror.Item, mirror.Item) bool { return false }

func startNode(t *testing.T, name string, l *node.Listeners, s mirror.Store, builder fixedTable) *node.Node {
	t.Helper()
	return startNodeWith(t, name, l, s, builder, func(*settings.Settings) {})
}

// startNodeWith starts a node with settings that adjust changes.
func startNodeWith(t *testing.T, name string, l *node.Listeners, s mirror.Store, builder fixedTable, adjust func(*settings.Settings)) *node.Node {
	t.Helper()
	return startNodeWithLog(t, logging.Silent(), name, l, s, builder, adjust)
}

// startNodeWithLog starts a node that writes its lines to a log.
func startNodeWithLog(t *testing.T, log *logrus.Logger, name string, l *node.Listeners, s mirror.Store, builder fixedTable, adjust func(*settings.Settings)) *node.Node {
	t.Helper()
	nodeSettings := &settings.Settings{
		Node: name, Domain: "palermo", Secret: "a secret of this test",
		Listen:            settings.Listen{Caller: "127.0.0.1:1", Link: l.Link.Addr().String(), Admin: "127.0.0.1:2"},
		Limits:            settings.Limits{Body: 1 << 20, Answer: 1 << 20, Requests: 16, Records: 16},
		HeartbeatInterval: 200, Grace: clock.Second,
	}
	adjust(nodeSettings)
	n, err := node.New(node.Config{Settings: nodeSettings, Log: log, Listeners: l, Store: s, TableBuilder: builder})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("got %v from a node that was stopped, want no error", err)
		}
	})
	return n
}

func listen(t *testing.T) *node.Listeners {
	t.Helper()
	const anyPort = "127.0.0.1:0"
	l, err := node.Listen(t.Context(), settings.Listen{Caller: anyPort, Link: anyPort, Admin: anyPort}, logging.Silent())
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against a node without a table after it is replaced while the platform is
// unavailable: it answered 503 to its callers until the platform was back, and the calls of
// the backend server beside it failed. The node knows no peer, but its peers know it and dial
// it with the next request.
func TestPeersSeedNodeWithoutTable(t *testing.T) {
	t.Run("few values", func(t *testing.T) { testSeeding(t, fakeStore{}) })
	// More values than one array of a frame holds: the copy was not sent, and nodes of a large
	// fleet refused their callers' requests until the platform was back.
	t.Run("many values", func(t *testing.T) { testSeeding(t, fakeStore{count: 2*wire.MaxItems + 1}) })
}

func testSeeding(t *testing.T, helperStore fakeStore) {
	t.Helper()
	helperPorts, blankPorts := listen(t), listen(t)
	deployment := table.Index(table.Table{
		Format: table.Format, Version: 7,
		Services: []table.Service{{
			Name: "conferme", Caution: table.ShortEpisodes, Deadline: clock.Second,
			Upstreams: []table.Upstream{{
				Name: "c1", Address: "127.0.0.1:1", Node: blankPorts.Link.Addr().String(),
				Domain: "palermo", Weight: 100, Slots: 1, Connections: 1,
			}},
		}},
		Routes: []table.Route{{Prefix: "/", Service: "conferme"}},
	})
	builder := fixedTable{deployment}
	callerAddress := helperPorts.Caller.Addr().String()
	helper := startNode(t, "knowing", helperPorts, helperStore, builder)
	seeded := startNode(t, "blank", blankPorts, fakeStore{isUnavailable: true}, builder)
	<-helper.InForce()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + callerAddress + "/turno")
	if err := fasthttp.DoTimeout(request, response, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	<-seeded.InForce()
}
