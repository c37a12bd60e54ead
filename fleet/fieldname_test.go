package fleet_test

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/wire"
)

// drawBrokenField returns a field with the byte, which no field name may hold, somewhere in its name.
func drawBrokenField(random *rand.Rand, c byte) string {
	fields := []string{"X-Color: red", "Content-Length: 3", "Transfer-Encoding: chunked", "Connection: close", "Fuchsiapick-Request: x", "Fuchsiapick-Backend: shed", "Fuchsiapick-Rate-Limit: 1"}
	field := fields[random.IntN(len(fields))]
	end := strings.IndexByte(field, ':')
	at := []int{0, 2, end}[random.IntN(3)]
	if c == ':' {
		at = 0 // elsewhere it ends the name
	}
	return field[:at] + string([]byte{c}) + field[at:] + "\r\n"
}

// drawAnswerWith returns an answer that has the line in its head, an interim head or its trailer.
func drawAnswerWith(random *rand.Rand, line string) string {
	position := random.IntN(3)
	lines := []string{"X: y\r\n", "Z: y\r\n"}
	lines = append(lines[:position:position], append([]string{line}, lines[position:]...)...)
	section := strings.Join(lines, "")
	switch random.IntN(4) {
	case 0:
		return "HTTP/1.1 103 Early Hints\r\n" + section + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde"
	case 1:
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n" + section + "\r\n"
	case 2:
		return "HTTP/1.1 200 OK\r\n" + section + "\r\nabcde"
	default:
		return "HTTP/1.1 200 OK\r\n" + section + "Content-Length: 5\r\n\r\nabcde"
	}
}

// checkBrokenAnswer sends a request that the upstream answers with the text, which is no valid answer, and then
// one that it answers well. It returns whether the upstream got the first one.
func checkBrokenAnswer(t *testing.T, u *cuttingUpstream, caller *callerConn, place, method, text string, after ending) bool {
	t.Helper()
	u.setText(text, after)
	got, header := caller.send(t, method, "/conferme/cut")
	runs := u.runsOf(got.id)
	isUnknown := got.status == http.StatusBadGateway && got.outcome == string(access.Unknown)
	isNotRun := got.status >= 500 && got.outcome == string(access.NotRun)
	if !isUnknown && (!isNotRun || runs > 0) || strings.Contains(got.body, "abcde") {
		t.Errorf("%s %s, %q: got %d %s %s %q, %q after %d runs, want a failure that is true", place, method, text, got.status, got.outcome, got.reason, header, got.body, runs)
	}
	if method == http.MethodPost && runs > 1 {
		t.Errorf("%s %q: got %d runs of a request that may run once, want 1", place, text, runs)
	}
	path := "/conferme/next-" + got.id
	if got, _ := caller.send(t, method, path); got.outcome == string(access.Served) && got.body != path {
		t.Errorf("%s %s after %q: got %d %q, want %q", place, method, text, got.status, got.body, path)
	}
	return runs > 0
}

// Guards against a caller, beside the gate or behind a link, that gets an answer with a name that no field
// may have, or bytes of it in its next answer, and against a second run of a request that may run once.
func TestAnswerWithABrokenFieldNameReachesNoCaller(t *testing.T) {
	u, callers, near := startCutFleet(t)
	random := rand.New(rand.NewPCG(71, 0))
	requests, unsent := 0, 0
	for c := range 256 {
		if c == ':' || !wire.IsFieldName([]byte{byte(c)}) {
			for place, caller := range callers {
				for _, method := range []string{http.MethodGet, http.MethodPost} {
					text := drawAnswerWith(random, drawBrokenField(random, byte(c)))
					requests++
					if !checkBrokenAnswer(t, u, caller, place, method, text, []ending{kept, closed, reset}[random.IntN(3)]) {
						unsent++
					}
				}
			}
		}
	}
	t.Logf("%d of %d requests were refused before they were sent", unsent, requests)
	if unsent > requests/2 {
		t.Errorf("got %d of %d requests refused, want most of them sent", unsent, requests)
	}
	_, body, err := fasthttp.GetTimeout(nil, "http://"+near.Admin+"/metrics", waitTimeout)
	if err != nil || !strings.Contains(string(body), `fuchsiapick_requests_total{outcome="unknown",reason="torn-answer",service="conferme",upstream="conferme-1"}`) {
		t.Errorf("got error %v and no such request in the metrics, want them", err)
	}
}
