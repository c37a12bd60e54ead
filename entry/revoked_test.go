package entry_test

import (
	"testing"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/link"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// cautions are the settings with which entries choose upstreams differently.
var cautions = []table.Caution{table.Balanced, table.ShortEpisodes}

// newEntryOfOne returns an entry of a service that has one upstream. Requests must run at most once.
func newEntryOfOne(t *testing.T, caution table.Caution, gate *fakeGate) *entry.Entry {
	t.Helper()
	return newServiceEntry(t, table.Service{Name: "conferme", Caution: caution, Floor: 0.3, Deadline: clock.Minute}, []string{}, gate)
}

// Guards against refusing a request that was revoked with its link as if its only upstream had refused it.
func TestRequestRevokedWithItsLinkIsSentAgain(t *testing.T) {
	for _, caution := range cautions {
		t.Run(string(caution), func(t *testing.T) {
			isReplaced := false
			e := newEntryOfOne(t, caution, &fakeGate{name: "c1", handle: func(d *fakeGate, m *wire.Dispatch, w link.DispatchObserver) {
				if !isReplaced {
					isReplaced = true
					w.Resolved(true)
					return
				}
				w.Replied(d.served(m))
			}})
			response := send(e)
			if got, want := response.StatusCode(), fasthttp.StatusOK; got != want {
				t.Errorf("got %d %s, want %d", got, response.Header.Peek(entry.HeaderReason), want)
			}
		})
	}
}

// Guards against sending a request again to the upstream that let its deadline pass, which could only end as unknown.
func TestRequestRevokedAtItsDeadlineIsNotSentAgain(t *testing.T) {
	for _, caution := range cautions {
		t.Run(string(caution), func(t *testing.T) {
			gate := &fakeGate{name: "c1"}
			gate.handle = func(_ *fakeGate, _ *wire.Dispatch, w link.DispatchObserver) {
				gate.onResolve = func() { w.Resolved(true) }
			}
			e := newEntryOfOne(t, caution, gate)
			var ctx fasthttp.RequestCtx
			ctx.Init(&fasthttp.Request{}, nil, nil)
			ctx.Request.Header.Set(entry.HeaderDeadline, "400")
			response := sendOn(&ctx, e)
			if got, want := string(response.Header.Peek(entry.HeaderOutcome)), string(access.NotRun); got != want || gate.dispatched != 1 {
				t.Errorf("got outcome %s after %d dispatches, want %s after 1", got, gate.dispatched, want)
			}
		})
	}
}
