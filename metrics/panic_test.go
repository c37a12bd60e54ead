package metrics_test

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/metrics"
)

// panickingNode has an upstream whose name no label may have, and counts the panics that are recorded.
type panickingNode struct {
	fakeNode

	recorded *int
}

func (panickingNode) States() []access.UpstreamState {
	return []access.UpstreamState{{Service: "conferme", Name: "cut inside a character \xc3", State: access.StateLeaving}}
}

func (n panickingNode) Record(string, any, []byte) { *n.recorded++ }

// Guards against a scrape that has no metrics at all, and a panic that only its answer names, because one
// upstream's name is no text.
func TestPanicOfAScrapeLeavesTheOtherMetrics(t *testing.T) {
	recorded := 0
	s := metrics.New(metrics.Config{
		Recorder: access.New(access.Config{}), State: panickingNode{recorded: &recorded}, Panics: panickingNode{recorded: &recorded}, Requests: 7,
	})
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, nil, nil)
	s.Handler()(&ctx)
	if got := string(ctx.Response.Body()); !strings.Contains(got, "fuchsiapick_requests_bound 7") {
		t.Errorf("got %q, want the other metrics", got)
	}
	if recorded != 1 {
		t.Errorf("got %d panics recorded, want 1", recorded)
	}
}
