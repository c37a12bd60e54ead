package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/standin"
)

// readyLine is the JSON line that a stand-in prints once it listens.
type readyLine struct{ Kind, Address, Admin string }

// startStandIn runs a stand-in until the test ends, and then checks its exit code.
func startStandIn(t *testing.T, program string, args ...string) readyLine {
	t.Helper()
	cmd := exec.CommandContext(context.Background(), program, args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		if err := cmd.Wait(); err != nil {
			t.Errorf("%v: got %v after SIGTERM, want exit 0", args, err)
		}
	})
	var line readyLine
	if err := json.NewDecoder(out).Decode(&line); err != nil || line.Kind != args[0] {
		t.Fatalf("got %+v, error %v, want a JSON line with kind %s", line, err, args[0])
	}
	return line
}

// sendRequest returns the body of the answer, and fails the test unless the status is want.
func sendRequest(t *testing.T, method, address, path, body string, want int) []byte {
	t.Helper()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.SetBodyString(body)
	req.SetConnectionClose() // another process may have the port in the next run
	if err := fasthttp.Do(&req, &resp); err != nil || resp.StatusCode() != want {
		t.Fatalf("%s %s: got status %d, error %v, want %d", method, path, resp.StatusCode(), err, want)
	}
	return resp.Body()
}

// Scripts run the stand-ins as processes: they wait for the ready lines, set faults by the
// admin paths and read the ledger. A wrong path, argument or status would break them.
func TestAdminPathsControlStandIns(t *testing.T) {
	program := filepath.Join(t.TempDir(), "standin")
	if out, err := exec.CommandContext(context.Background(), "go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	platform := startStandIn(t, program, "platform")
	backend := startStandIn(t, program, "backend", "--name", "b1", "--service", "1ms")
	relay := startStandIn(t, program, "relay", "--target", backend.Address)

	sendRequest(t, "POST", platform.Address, "/standin/publish?key=table&version=2", "t2", 204)
	sendRequest(t, "POST", platform.Address, "/standin/restore?key=table&version=1", "t1", 204)
	if got := sendRequest(t, "GET", platform.Address, "/kv-range?prefix=table", "", 200); !bytes.Contains(got, []byte(`"value":"dDE="`)) {
		t.Errorf("got %s, want the restored t1 in base64", got)
	}
	sendRequest(t, "POST", platform.Address, "/standin/mode?mode=down", "", 204)
	sendRequest(t, "POST", platform.Address, "/standin/mode?mode=asleep", "", 400)
	sendRequest(t, "POST", platform.Address, "/standin/publish?version=3", "", 400)
	sendRequest(t, "POST", platform.Address, "/standin/nothing", "", 404)
	if got := sendRequest(t, "GET", platform.Address, "/standin/await?calls=1", "", 200); string(got) != "1\n" {
		t.Errorf("got %q calls, want 1", got)
	}
	sendRequest(t, "GET", platform.Address, "/standin/await?calls=2&wait=1ms", "", 408)

	sendRequest(t, "GET", relay.Address, "/through", "", 200)
	sendRequest(t, "POST", relay.Admin, "/standin/mode?mode=silentold", "", 204)
	sendRequest(t, "POST", relay.Admin, "/standin/mode?mode=away", "", 400)
	sendRequest(t, "POST", backend.Address, "/standin/fault?kind=fails&share=1&factor=2&requests=3", "", 204)
	sendRequest(t, "POST", backend.Address, "/standin/fault?kind=tired", "", 400)
	sendRequest(t, "GET", backend.Address, "/x", "", 500)
	sendRequest(t, "GET", backend.Address, "/standin/await?begun=2&ended=2", "", 200)
	var entries []standin.Entry
	if err := json.Unmarshal(sendRequest(t, "GET", backend.Address, "/standin/ledger", "", 200), &entries); err != nil {
		t.Fatal(err)
	}
	if len(entries) != 2 || entries[0].Path != "/through" || entries[1].Outcome != standin.Failed {
		t.Errorf("got %+v, want a served and a failed request", entries)
	}
}
