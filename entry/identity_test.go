package entry_test

import (
	"bytes"
	"flag"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/logging"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// rapid uses the same random seed on every run unless -rapid.seed is given.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const rightKey = "hotel-key"

// newAccountEntry returns an entry whose table has one client account, and the dispatches
// that the entry sends.
func newAccountEntry(t *testing.T) (*entry.Entry, *[]*wire.Dispatch) {
	t.Helper()
	var sent []*wire.Dispatch
	d := &fakeGate{name: "c1"}
	d.handle = func(d *fakeGate, m *wire.Dispatch, w link.DispatchObserver) {
		sent = append(sent, m)
		w.Replied(d.served(m))
	}
	s := table.Service{Name: "conferme", Caution: table.ShortEpisodes, Deadline: clock.Minute, Upstreams: []table.Upstream{
		{Name: "c1", Node: "c1", Domain: "palermo", Weight: 100, Slots: 9},
	}}
	e := entry.New(entry.Config{
		Domain: "palermo", Now: clock.NewSystem().Now, Pool: newPool(t), Recorder: nopRecorder{}, Log: logging.Silent(),
		Headers:    entry.DefaultHeaders(),
		GateClient: func(table.Upstream) entry.GateClient { return d },
	})
	e.Update(table.Index(table.Table{
		Format: table.Format, Version: 1, Services: []table.Service{s},
		Routes:   []table.Route{{Prefix: "/", Service: "conferme", Repeatable: []string{}}},
		Accounts: []table.Account{{Name: "hotel", Keys: table.KeyDigests{table.DigestOf([]byte(rightKey))}, Priority: table.RoutePriority}},
	}))
	return e, &sent
}

// Callers may send any bytes as their key: parts of a valid key, two keys together,
// another scheme. Only the complete key under the right scheme may run a request, and no
// upstream may receive it.
func TestOnlyAWholeKeyRunsARequest(t *testing.T) {
	e, sent := newAccountEntry(t)
	rapid.Check(t, func(t *rapid.T) {
		piece := rapid.SampledFrom([]string{"Bearer", "bearer", "Token", "Basic", " ", "\t", ",", rightKey, rightKey[:4], "x", "", "\x00", "Bearer " + rightKey})
		mixed := rapid.Map(rapid.SliceOfN(piece, 0, 5), func(p []string) string { return strings.Join(p, "") })
		right := rapid.Just("Bearer " + rightKey)
		values := rapid.SliceOfN(rapid.OneOf(mixed, right), 0, 3).Draw(t, "values")
		var request fasthttp.Request
		request.Header.SetMethod(fasthttp.MethodGet)
		request.SetRequestURI("http://clinic.example/turno")
		for _, value := range values {
			request.Header.Add(fasthttp.HeaderAuthorization, value)
		}
		var ctx fasthttp.RequestCtx
		ctx.Init(&request, nil, nil)
		*sent = nil
		e.Serve(&ctx)

		isRight := len(values) == 1 && isKeyOf(values[0])
		status := ctx.Response.StatusCode()
		if isRight != (status == fasthttp.StatusOK) || (!isRight && status != fasthttp.StatusUnauthorized) {
			t.Fatalf("%q: got %d, want 200 with exactly one complete key, otherwise 401", values, status)
		}
		if isRight != (len(*sent) == 1) {
			t.Fatalf("%q: got %d dispatches, want 1 for a valid key, otherwise 0", values, len(*sent))
		}
		for _, d := range *sent {
			if d.Account != "hotel" || bytes.Contains(d.Headers, []byte(rightKey)) {
				t.Fatalf("%q: got account %q and headers %q, want account hotel and no key", values, d.Account, d.Headers)
			}
		}
	})
}

// isKeyOf reports whether the header value is valid: the scheme in any letter case,
// spaces, the key. Spaces before the scheme never arrive over the network, since HTTP
// parsing strips them.
func isKeyOf(value string) bool {
	scheme, key, ok := strings.Cut(value, " ")
	return ok && strings.EqualFold(scheme, "Bearer") && strings.TrimSpace(key) == rightKey
}
