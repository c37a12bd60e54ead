package entry_test

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

const uploadSize = 60_000

// placementTarget is the latency target of the route in these tests.
const placementTarget = 4 * clock.Second

// newPlacedEntry returns an entry with the upstream of the near gate in its own failure
// domain and that of the far gate in another.
func newPlacedEntry(t *testing.T, p table.Placement, repeatable []string, near, far *fakeGate) *entry.Entry {
	t.Helper()
	return newPlacedEntryFromConfig(t, entry.Config{Now: clock.NewSystem().Now, Recorder: nopRecorder{}}, p, repeatable, near, far)
}

func newPlacedEntryFromConfig(t *testing.T, c entry.Config, p table.Placement, repeatable []string, near, far *fakeGate) *entry.Entry {
	t.Helper()
	c.Domain, c.Pool, c.Log = "catania", newPool(t), logging.Silent()
	c.GateClient = func(u table.Upstream) entry.GateClient {
		return map[string]*fakeGate{near.name: near, far.name: far}[u.Name]
	}
	e := entry.New(c)
	e.Update(table.Index(table.Table{
		Format: table.Format, Version: 1,
		Services: []table.Service{{
			Name: "conferme", Caution: table.ShortEpisodes, Placement: p, Floor: 0.3, Deadline: clock.Minute,
			Upstreams: []table.Upstream{
				{Name: near.name, Node: near.name, Domain: "catania", Weight: 100, Slots: 5},
				{Name: far.name, Node: far.name, Domain: "palermo", Weight: 100, Slots: 5},
			},
		}},
		Routes: []table.Route{{Prefix: "/", Service: "conferme", Timeout: 12 * clock.Second, LatencyTarget: placementTarget, Priority: 1, Bulk: true, Repeatable: repeatable}},
	}))
	return e
}

// postBody sends a body of the given size and returns the name of the upstream that served it.
func postBody(e *entry.Entry, size int) string {
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, nil, nil)
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.SetRequestURI("http://clinic.example/turno")
	ctx.Request.SetBodyString(strings.Repeat("x", size))
	e.Serve(&ctx)
	return string(ctx.Response.Body())
}

// busyGate has no free slot. A request that waits gets one if grantsWait is set.
func busyGate(name string, grantsWait bool, waits *[]clock.Millis) *fakeGate {
	return &fakeGate{
		name: name,
		onProbe: func(probe *wire.CapacityProbe, onReply func(*wire.Reservation)) {
			if probe.WaitBudget > 0 {
				*waits = append(*waits, probe.WaitBudget)
			}
			if probe.WaitBudget > 0 && grantsWait {
				grantSlot(name, 0)(probe, onReply)
				return
			}
			refuseSlot(name, wire.ReasonFull)(probe, onReply)
		},
	}
}

// Uploads crossed between failure domains whenever no upstream of their own had a free slot,
// and then took the bandwidth of the links between them. They must wait for a slot of their
// own domain as long as that leaves time to meet the target, and no longer.
func TestUploadWaitsInItsOwnDomain(t *testing.T) {
	tests := []struct {
		name       string
		placement  table.Placement
		size       int
		grantsWait bool
		want       string
		wantWait   bool // for a slot in the own domain alone
	}{
		{"an upload", table.PlaceByCost, uploadSize, true, "near", true},
		{"an upload that gets no slot in its own domain", table.PlaceByCost, uploadSize, false, "far", true},
		{"an upload of a service without placement by cost", table.PlaceNear, uploadSize, true, "far", false},
		{"an ordinary request", table.PlaceByCost, 400, true, "far", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var waits []clock.Millis
			near, far := busyGate("near", tt.grantsWait, &waits), &fakeGate{name: "far"}
			got := postBody(newPlacedEntry(t, tt.placement, []string{}, near, far), tt.size)
			if got != tt.want {
				t.Errorf("got the request served by %q, want %q", got, tt.want)
			}
			if waited := len(waits) > 0; waited != tt.wantWait {
				t.Errorf("got waits %v in the own domain, want a wait: %v", waits, tt.wantWait)
			}
			if tt.wantWait && waits[0] > placementTarget/2 {
				t.Errorf("got a wait of %v, want half of the target at most", waits[0])
			}
			if tt.want == "far" && far.probes == 0 {
				t.Error("got a dispatch to another domain without a probe, want a grant first")
			}
		})
	}
}

// A repeatable upload is sent to gates without a probe. Its body must not cross to another
// domain that way: if the gate has no free slot, the body crosses in vain.
func TestRepeatableUploadCrossesOnlyAfterGrant(t *testing.T) {
	var waits []clock.Millis
	near, far := busyGate("near", false, &waits), &fakeGate{name: "far"}
	near.onDispatch = func(m *wire.Dispatch) *wire.Reply {
		return &wire.Reply{ID: m.ID, Attempt: m.Attempt, Outcome: wire.NotRun, Reason: wire.ReasonFull, Upstream: wire.Upstream{Name: "near", Share: 1}}
	}
	if got := postBody(newPlacedEntry(t, table.PlaceByCost, []string{table.AnyMethod}, near, far), uploadSize); got != "far" {
		t.Errorf("got the request served by %q, want far", got)
	}
	if far.probes == 0 || far.dispatched != 1 || len(waits) == 0 {
		t.Errorf("got %d probes, %d dispatches at far and waits %v at near; want a wait, then a grant before the only dispatch", far.probes, far.dispatched, waits)
	}
}

// The bodies of a bulk route are as large as those before. A request whose own length says
// little must be placed like them.
func TestBulkRouteLearnsItsTypicalLength(t *testing.T) {
	var waits []clock.Millis
	near, far := &fakeGate{name: "near"}, &fakeGate{name: "far"}
	e := newPlacedEntry(t, table.PlaceByCost, []string{}, near, far)
	if got := postBody(e, uploadSize); got != "near" {
		t.Fatalf("got the first upload served by %q, want near", got)
	}
	near.onProbe = busyGate("near", true, &waits).onProbe
	if got := postBody(e, 400); got != "near" || len(waits) == 0 {
		t.Errorf("got the request served by %q after waits %v, want near after a wait", got, waits)
	}
}

// The load of another failure domain is known by a sample now and then. Requests overflowed into
// a full domain because one sample showed free slots, which others had taken meanwhile.
func TestNoOverflowIntoFullDomainOnOneSample(t *testing.T) {
	for _, placement := range []table.Placement{table.PlaceByCost, table.PlaceNear} {
		now := clock.Second
		near, far := &fakeGate{name: "near"}, &fakeGate{name: "far"}
		e := newPlacedEntryFromConfig(t, entry.Config{Now: func() clock.Millis { return now }, Recorder: nopRecorder{}}, placement, []string{table.AnyMethod}, near, far)
		const samples, requests = 30, 40
		for i := range samples + requests {
			load := 5
			if i < samples {
				now += 100
			} else {
				load = 3
			}
			if i == samples {
				near.dispatched, far.dispatched = 0, 0
			}
			e.UpdateUpstream(wire.Upstream{Name: "near", Share: 1, InFlight: 5})
			e.UpdateUpstream(wire.Upstream{Name: "far", Share: 1, InFlight: load})
			postBody(e, 400)
		}
		if got := far.dispatched > requests/2; got != (placement == table.PlaceNear) {
			t.Errorf("placement %q: got %d of %d requests in a domain that is full, want more than half: %v", placement, far.dispatched, requests, placement == table.PlaceNear)
		}
	}
}

// byteRecorder sums the bytes that crossed between failure domains.
type byteRecorder struct {
	nopRecorder

	crossed int
}

func (b *byteRecorder) RequestFinished(_ clock.Millis, r access.Record) { b.crossed += r.CrossBytes }

// Guards against bytes between failure domains that no metric shows.
func TestCrossBytesAreCounted(t *testing.T) {
	recorder := &byteRecorder{}
	near, far := &fakeGate{name: "near"}, &fakeGate{name: "far"}
	e := newPlacedEntryFromConfig(t, entry.Config{Now: clock.NewSystem().Now, Recorder: recorder}, table.PlaceByCost, []string{}, near, far)
	postBody(e, uploadSize)
	if recorder.crossed != 0 {
		t.Errorf("got %d bytes for a request in the own domain, want 0", recorder.crossed)
	}
	near.onProbe = refuseSlot("near", wire.ReasonFull)
	postBody(e, uploadSize)
	if want := uploadSize + len("far"); recorder.crossed != want {
		t.Errorf("got %d bytes for a request to another domain, want %d", recorder.crossed, want)
	}
}
