package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/mirror"
	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// store holds some values, one at least, or doesn't answer.
type store struct {
	isAway bool
	values int
}

func (s store) List(context.Context) (mirror.Listing, error) {
	if s.isAway {
		return mirror.Listing{}, mirror.ErrUnavailable
	}
	items := []mirror.Item{{Key: "what is known", Revision: 5}}
	for i := len(items); i < s.values; i++ {
		items = append(items, mirror.Item{Key: fmt.Sprint("registration ", i), Revision: 5})
	}
	return mirror.Listing{Items: items, Revision: 5, IsSnapshot: true}, nil
}

func (s store) Watch(context.Context, uint64, clock.Millis, int) ([]mirror.Event, uint64, error) {
	if s.isAway {
		return nil, 0, mirror.ErrUnavailable
	}
	return nil, 5, nil
}

// tables makes one table of any value.
type tables struct {
	table *table.Table
}

func (t tables) Table(items []mirror.Item) (*table.Table, bool) { return t.table, len(items) > 0 }
func (tables) ExpectedRemoval(mirror.Item) bool                 { return false }
func (tables) Hash(item mirror.Item) uint64                     { return item.Revision }

// run starts a node that reads the store.
func run(t *testing.T, name string, l *node.Listeners, s store, made tables) *node.Node {
	t.Helper()
	log := logging.Silent()
	n, err := node.New(node.Config{
		Settings: &settings.Settings{
			Node: name, Domain: "palermo", Secret: "a secret of this test",
			Listen:            settings.Listen{Caller: "127.0.0.1:1", Link: l.Link.Addr().String(), Admin: "127.0.0.1:2"},
			Limits:            settings.Limits{Body: 1 << 20, Answer: 1 << 20, Requests: 16, Records: 16},
			HeartbeatInterval: 200, Grace: clock.Second,
		},
		Log: log, Listeners: l, Store: s, TableBuilder: made,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("got %v of a node that was stopped, want none", err)
		}
	})
	return n
}

func listen(t *testing.T) *node.Listeners {
	t.Helper()
	const open = "127.0.0.1:0"
	l, err := node.Listen(t.Context(), settings.Listen{Caller: open, Link: open, Admin: open})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// A node is replaced while the platform is away: its callers hear 503 from it for
// as long as that lasts, and the calls of the backend server beside it fail. It
// knows no peer, but its peers know it and dial it with the next request.
func TestPeersHelpANodeThatKnowsNothing(t *testing.T) {
	t.Run("few values", func(t *testing.T) { testHelp(t, store{}) })
	// More than one array of a frame holds: the copy was not handed over, and a large
	// fleet's nodes refused their callers until the platform was back.
	t.Run("many values", func(t *testing.T) { testHelp(t, store{values: 2*wire.MaxItems + 1}) })
}

func testHelp(t *testing.T, full store) {
	t.Helper()
	knowing, blank := listen(t), listen(t)
	deployment := table.Index(table.Table{
		Format: table.Format, Version: 7,
		Services: []table.Service{{
			Name: "conferme", Caution: table.ShortEpisodes, Deadline: clock.Second,
			Upstreams: []table.Upstream{{
				Name: "c1", Address: "127.0.0.1:1", Node: blank.Link.Addr().String(),
				Domain: "palermo", Weight: 100, Slots: 1, Connections: 1,
			}},
		}},
		Routes: []table.Route{{Prefix: "/", Service: "conferme"}},
	})
	made := tables{deployment}
	address := knowing.Caller.Addr().String()
	helper := run(t, "knowing", knowing, full, made)
	helped := run(t, "blank", blank, store{isAway: true}, made)
	<-helper.InForce()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + address + "/turno")
	if err := fasthttp.DoTimeout(request, response, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	<-helped.InForce()
}
