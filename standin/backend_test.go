package standin_test

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/standin"
)

func startBackend(t *testing.T, config standin.BackendConfig) *standin.Backend {
	t.Helper()
	config.Address = "127.0.0.1:0"
	b, err := standin.StartBackend(t.Context(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// get sends a GET request, with headers as pairs of name and value, and returns the answer.
func get(t *testing.T, address, path string, headers ...string) *fasthttp.Response {
	t.Helper()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI("http://" + address + path)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp := new(fasthttp.Response)
	if err := fasthttp.Do(req, resp); err != nil {
		t.Fatalf("GET %s: %v", path, err)
	}
	return resp
}

// openRequest sends a request for a path with the given id and returns the connection without reading
// the answer.
func openRequest(t *testing.T, address, path, id string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: x\r\nFuchsiapick-Request: " + id + "\r\n\r\n"))
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

func awaitBackend(t *testing.T, b *standin.Backend, reached func(standin.Totals) bool) {
	t.Helper()
	if err := b.Await(t.Context(), reached); err != nil {
		t.Fatal(err)
	}
}

func TestBackendAnswersAndRecordsRequests(t *testing.T) {
	b := startBackend(t, standin.BackendConfig{Name: "a1", Service: 1})
	for _, id := range []string{"first", "second", "third"} {
		got := get(t, b.Address(), "/rosters?size=5000", standin.RequestHeader, id, standin.CallerHeader, "hotel")
		if want := standin.AnswerBody(id, 5000); !bytes.Equal(got.Body(), want) {
			t.Errorf("%s: got a body of %d bytes that differs, want the %d bytes for this id", id, len(got.Body()), len(want))
		}
		if name := string(got.Header.Peek(standin.BackendHeader)); name != "a1" {
			t.Errorf("%s: got answer of %q, want a1", id, name)
		}
	}
	got := b.Ledger()
	if len(got) != 3 || got[0].ID != "first" || got[2].ID != "third" {
		t.Fatalf("got ledger %+v, want the three requests in order", got)
	}
	e := got[1]
	if e.Caller != "hotel" || e.Method != fasthttp.MethodGet || e.Path != "/rosters" || e.Outcome != standin.Served || e.Ended <= e.Started {
		t.Errorf("got entry %+v, want a served GET /rosters of hotel", e)
	}
}

// Guards against a stand-in that takes a request for one of its own endpoints, or for one that crashes it,
// where a node passes it on as another.
func TestBackendDecidesByThePathAsSent(t *testing.T) {
	b := startBackend(t, standin.BackendConfig{Service: 1})
	paths := []string{"/%68ealthz", "//healthz", "/healthz/", "/x/../load", "/HEALTHZ", "/open%2Fx", "/./open/x"}
	for _, path := range paths {
		_ = openRequest(t, b.Address(), path+"?q=/healthz", path)
	}
	awaitBackend(t, b, func(totals standin.Totals) bool { return totals.Served == uint64(len(paths)) })
	for _, e := range b.Ledger() {
		if e.Path != e.ID {
			t.Errorf("got path %q in the ledger, want %q", e.Path, e.ID)
		}
	}
}

// A check compares runs with the shutdown of the gate that sent them. Without the time of day of
// a run, its length and its gate, it couldn't tell which process cut the run.
func TestBackendRecordsWhenAndFromWhereARequestRan(t *testing.T) {
	const work = 30 * clock.Millis(1)
	b := startBackend(t, standin.BackendConfig{Service: clock.Minute})
	before := time.Now()
	conn := openRequest(t, b.Address(), "/open?"+standin.WorkArgument+"="+work.String(), "first")
	awaitBackend(t, b, func(totals standin.Totals) bool { return totals.Served == 1 })
	e := b.Ledger()[0]
	if got, want := e.Gate, conn.LocalAddr().String(); got != want {
		t.Errorf("got a run from %s, want %s", got, want)
	}
	if e.Arrived.Before(before) || e.Arrived.After(time.Now()) {
		t.Errorf("got arrival %v, want one during the test", e.Arrived)
	}
	if got := e.Ended - e.Started; got < work || got >= clock.Minute {
		t.Errorf("got a run of %v, want one of %v and not of the service time", got, work)
	}
	if got := get(t, b.Address(), "/open?"+standin.WorkArgument+"=soon").StatusCode(); got != fasthttp.StatusBadRequest {
		t.Errorf("got status %d for a time that doesn't parse, want 400", got)
	}
}

func TestBackendFaults(t *testing.T) {
	tests := []struct {
		name     string
		fault    standin.Fault
		deadline string
		status   int
		refused  bool
	}{
		{"healthy", standin.Fault{Kind: standin.Healthy}, "60000", fasthttp.StatusOK, false},
		{"fails", standin.Fault{Kind: standin.Fails}, "60000", fasthttp.StatusInternalServerError, false},
		{"sheds its share", standin.Fault{Kind: standin.Sheds, Share: 1}, "60000", fasthttp.StatusServiceUnavailable, true},
		{"sheds with a free slot", standin.Fault{Kind: standin.Sheds}, "60000", fasthttp.StatusOK, false},
		{"drains", standin.Fault{Kind: standin.Drains}, "60000", fasthttp.StatusServiceUnavailable, true},
		{"deadline too short", standin.Fault{Kind: standin.Healthy}, "1", fasthttp.StatusServiceUnavailable, true},
		{"slow", standin.Fault{Kind: standin.Slow, Factor: 3}, "60000", fasthttp.StatusOK, false},
		{"cold start", standin.Fault{Kind: standin.ColdStart, Factor: 3}, "60000", fasthttp.StatusOK, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := startBackend(t, standin.BackendConfig{Service: 2})
			b.SetFault(tt.fault)
			got := get(t, b.Address(), "/x", standin.DeadlineHeader, tt.deadline)
			if got.StatusCode() != tt.status {
				t.Errorf("got status %d, want %d", got.StatusCode(), tt.status)
			}
			if refused := string(got.Header.Peek(standin.RefusalHeader)) == standin.RefusalShed; refused != tt.refused {
				t.Errorf("got refusal %v, want %v", refused, tt.refused)
			}
			if closes := got.ConnectionClose(); closes != (tt.fault.Kind == standin.Drains) {
				t.Errorf("got connection closed %v, want it only under drain", closes)
			}
			if ran := len(b.Ledger()) == 1; ran == tt.refused {
				t.Errorf("got entry %v, want one only if the request ran", ran)
			}
			if tt.fault.Factor > 1 {
				if took := b.Ledger()[0].Ended - b.Ledger()[0].Started; took < 5*clock.Millis(1) {
					t.Errorf("got %v, want about three times the service time", took)
				}
			}
			if status := get(t, b.Address(), "/healthz").StatusCode(); status != fasthttp.StatusOK {
				t.Errorf("got health %d, want 200 under every fault", status)
			}
		})
	}
}

// A caller abandons a hanging request and its gate closes the connection. If the backend
// server didn't end the request then, its slot would stay taken, and tests would mistake a
// cancelled request for a running one.
func TestBackendHangEndsWhenConnectionCloses(t *testing.T) {
	b := startBackend(t, standin.BackendConfig{Slots: 1})
	b.SetFault(standin.Fault{Kind: standin.Hangs})
	conn := openRequest(t, b.Address(), "/open", "lost")
	awaitBackend(t, b, func(totals standin.Totals) bool { return totals.Begun == 1 })
	if got := b.Ledger()[0].Outcome; got != standin.Running {
		t.Errorf("got %s while it hangs, want running", got)
	}
	b.SetFault(standin.Fault{Kind: standin.Sheds})
	if got := get(t, b.Address(), "/x").StatusCode(); got != fasthttp.StatusServiceUnavailable {
		t.Errorf("got status %d with all slots taken, want 503", got)
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	awaitBackend(t, b, func(totals standin.Totals) bool { return totals.Cancelled == 1 })
	b.SetFault(standin.Fault{Kind: standin.Healthy})
	if got := get(t, b.Address(), "/x").StatusCode(); got != fasthttp.StatusOK {
		t.Errorf("got status %d after the slot was freed, want 200", got)
	}
}

// A request waits for a slot and its caller closes the connection. If the request ran later
// or were recorded, the ledger would show work that no caller waits for.
func TestBackendQueuedRequestEndsWhenConnectionCloses(t *testing.T) {
	b := startBackend(t, standin.BackendConfig{Slots: 1})
	b.SetFault(standin.Fault{Kind: standin.Hangs})
	holder := openRequest(t, b.Address(), "/open", "holder")
	awaitBackend(t, b, func(totals standin.Totals) bool { return totals.Begun == 1 })
	waiter := openRequest(t, b.Address(), "/open", "waiter")
	awaitBackend(t, b, func(totals standin.Totals) bool { return totals.Queued == 1 })
	_ = waiter.Close()
	awaitBackend(t, b, func(totals standin.Totals) bool { return totals.Abandoned == 1 })
	_ = holder.Close()
	awaitBackend(t, b, func(totals standin.Totals) bool { return totals.Ended() == 1 })
	if got := b.Totals().Begun; got != 1 {
		t.Errorf("got %d begun, want only the request that holds the slot", got)
	}
}

func TestBackendShareIsSeeded(t *testing.T) {
	failed := func() uint64 {
		b := startBackend(t, standin.BackendConfig{Seed: 7})
		b.SetFault(standin.Fault{Kind: standin.Fails, Share: 0.3})
		for range 200 {
			get(t, b.Address(), "/x")
		}
		return b.Totals().Failed
	}
	first, second := failed(), failed()
	if first != second || first < 40 || first > 80 {
		t.Errorf("got %d and %d failed of 200, want the same and about 60", first, second)
	}
}

func TestBackendLedgerIsBounded(t *testing.T) {
	b := startBackend(t, standin.BackendConfig{Ledger: 4})
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		get(t, b.Address(), "/x", standin.RequestHeader, id)
	}
	got := b.Ledger()
	if len(got) != 4 || got[0].ID != "c" || got[3].ID != "f" {
		t.Errorf("got %+v, want c to f", got)
	}
	if totals := b.Totals(); totals.Begun != 6 || totals.Served != 6 || totals.Dropped != 2 {
		t.Errorf("got totals %+v, want 6 begun and served, 2 dropped", totals)
	}
}
