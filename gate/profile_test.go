package gate_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/panjf2000/ants/v2"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// steadyBackend is a backend server whose requests each take the same virtual time.
type steadyBackend struct {
	blockingBackend

	now, took atomic.Int64
}

func (b *steadyBackend) Do(context.Context, *gate.Call) (gate.Response, error) {
	b.now.Add(b.took.Load())
	return gate.Response{Status: 200}, nil
}

// profiledGate is a gate with the profiles that it has sent, and when.
type profiledGate struct {
	*gate.Gate
	backend  *steadyBackend
	pool     *ants.Pool
	sequence uint64
	profiles []wire.UpstreamProfile
	times    []clock.Millis
}

func newProfiledGate(t *testing.T, p table.Placement, u table.Upstream) *profiledGate {
	t.Helper()
	pool, err := ants.NewPool(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pool.Release)
	g := &profiledGate{backend: &steadyBackend{}, pool: pool}
	g.backend.now.Store(int64(clock.Second)) // so that no run begins at 0
	now := func() clock.Millis { return clock.Millis(g.backend.now.Load()) }
	g.Gate = gate.New(gate.Config{
		Service:  table.Service{Name: "conferme", Caution: table.ShortEpisodes, Placement: p},
		Upstream: u, Incarnation: incarnation, Now: now, Backend: g.backend, Pool: pool, Recorder: discardRecorder{},
		Keys: gate.NewKeyStore(now), Log: logging.Silent(),
		OnProfile: func(p *wire.UpstreamProfile) { g.profiles, g.times = append(g.profiles, *p), append(g.times, now()) },
	})
	return g
}

// run sends requests one after the other. Each takes the given time, and typically 100 ms. The
// only worker of the pool runs the next task after it has sent the profile of the last run.
func (g *profiledGate) run(count int, took clock.Millis) {
	g.backend.took.Store(int64(took))
	for range count {
		g.sequence++
		d := dispatch(g.sequence, "request")
		d.MedianTime, d.LogStdDev = 100, 1 // a slow run is no sign of a hang
		g.Handle(d, func(*wire.Reply) {})
		done := make(chan struct{})
		if err := g.pool.Submit(func() { close(done) }); err != nil {
			panic(err)
		}
		<-done
	}
}

// Entries that get a profile after each run would spend more bytes on profiles than on
// requests. They must get one of a slow upstream, at most once a second while it changes, and
// again before they drop the last one.
func TestProfileIsSentWhenItChanges(t *testing.T) {
	g := newProfiledGate(t, table.PlaceByCost, table.Upstream{Name: "c1", Weight: 100, Slots: 4})
	g.run(50, 100)
	if len(g.profiles) > 0 {
		t.Errorf("got profiles %v of an average upstream, want none", g.profiles)
	}
	g.run(100, 200)
	if len(g.profiles) == 0 {
		t.Fatal("got no profile of a slow upstream, want one")
	}
	if got := g.profiles[len(g.profiles)-1].Speed; got < 0.45 || got > 0.65 {
		t.Errorf("got speed %v of an upstream that takes twice as long, want about 0.5", got)
	}
	for i := 1; i < len(g.times); i++ {
		if gap := g.times[i] - g.times[i-1]; gap < clock.Second || gap > 9*clock.Second {
			t.Errorf("got %v between two profiles, want 1 to 9 s", gap)
		}
	}
}

// A process that replaces a slow one must not be taken for slow.
func TestProfileEndsWithTheProcess(t *testing.T) {
	u := table.Upstream{Name: "c1", Weight: 100, Slots: 4, Started: 1}
	g := newProfiledGate(t, table.PlaceByCost, u)
	g.run(100, 300)
	u.Started = 2
	g.Update(table.Service{Name: "conferme", Caution: table.ShortEpisodes, Placement: table.PlaceByCost}, u)
	g.run(40, 100)
	if got := g.profiles[len(g.profiles)-1].Speed; got < 0.85 {
		t.Errorf("got speed %v after a restart, want about 1", got)
	}
}

// A service without placement by cost must send no message that older releases don't send.
func TestNoProfileWithoutPlacementByCost(t *testing.T) {
	g := newProfiledGate(t, table.PlaceNear, table.Upstream{Name: "c1", Weight: 100, Slots: 4})
	g.run(100, 300)
	if len(g.profiles) > 0 {
		t.Errorf("got profiles %v, want none", g.profiles)
	}
}
