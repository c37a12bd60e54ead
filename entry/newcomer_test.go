package entry_test

import (
	"io"
	"testing"

	"github.com/panjf2000/ants/v2"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// An upstream joins a service whose others have room and are known to be sound. Nothing
// is known of it, and no other node has a link to its own, over which it could ask for
// work: passed over for being unknown, it idled for the rest of the day. Each entry
// must give it some of its next requests, here of 60 one at least.
func TestNewcomersGetWorkBesideKnownOnes(t *testing.T) {
	pool, err := ants.NewPool(8)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	log := logrus.New()
	log.SetOutput(io.Discard)
	ways := map[string]*desk{}
	s := table.Service{Name: "conferme", Caution: table.Brief, Floor: 0.3, Deadline: clock.Minute, Retries: 0.2, Window: 10 * clock.Second, Extra: 60}
	join := func(name string) {
		ways[name] = &desk{name: name}
		s.Upstreams = append(s.Upstreams, table.Upstream{Name: name, Node: name, Domain: "catania", Weight: 100, Slots: 7})
	}
	system := clock.NewSystem().Now
	now := func() clock.Millis { return system() + clock.Hour } // the node has run for long
	e := entry.New(entry.Config{
		Domain: "catania", Now: now, Pool: pool, Journal: journal{}, Log: log,
		Target: func(u table.Upstream) entry.Target { return ways[u.Name] },
	})
	publish := func() {
		e.Update(table.Index(table.Table{
			Services: []table.Service{s},
			Routes:   []table.Route{{Prefix: "/", Service: "conferme", Timeout: clock.Minute, Target: clock.Second, Repeatable: []string{table.AnyMethod}}},
		}))
	}
	for _, name := range []string{"a", "b", "c"} {
		join(name)
	}
	publish()
	for name := range ways {
		e.Heard(wire.Upstream{Name: name, Share: 1, Severity: 0.005})
	}
	join("new")
	publish()
	for range 60 {
		if status, _ := post(e); status != 200 {
			t.Fatalf("got %d, want 200", status)
		}
	}
	if ways["new"].dispatched == 0 {
		t.Error("got no request for the newcomer of 60, want some")
	}
}
