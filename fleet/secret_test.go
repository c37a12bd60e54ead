package fleet_test

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// Guards against keys in logs, metrics or reports: whoever reads them could send requests
// in a client account's name.
func TestKeysAppearInNoOutput(t *testing.T) {
	logs := &standin.Output{}
	f := startFleet(t, fleet.Config{Table: tableWithAccounts(2), Log: logs})
	for _, b := range f.Backends {
		b.SetFault(standin.Fault{Kind: standin.Fails})
	}
	for _, key := range []string{hotelKey, clinicKey, noKey} {
		for _, path := range []string{"/conferme/a", "/conferme/public/a", "/nowhere"} {
			sendWithHeaders(t, f.Members[0].Caller, path, "Authorization", "Bearer "+key)
		}
	}
	sendWithHeaders(t, f.Members[0].Caller, "/conferme/a", "Authorization", "Bearer "+hotelKey, "Authorization", "Bearer "+clinicKey)
	sendWithHeaders(t, f.Members[0].Caller, "/conferme/a", "Authorization", "Basic "+hotelKey)
	// The table has a key instead of its digest: nodes reject the table and log the fault.
	err := f.Publish(func(tt *table.Table) { tt.Accounts[0].Keys = table.KeyDigests{noKey} })
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "log line of the rejected table", func() bool { return strings.Contains(logs.String(), "SHA-256") })

	outputs := map[string]string{"log": logs.String()}
	for _, path := range []string{"/metrics", "/report", "/quarantine", "/readyz"} {
		status, body, err := fasthttp.Get(nil, "http://"+f.Members[0].Admin+path)
		if err != nil || status != fasthttp.StatusOK {
			t.Fatalf("%s: got %d, %v", path, status, err)
		}
		outputs[path] = string(body)
	}
	for name, text := range outputs {
		for _, key := range []string{hotelKey, clinicKey, noKey} {
			if strings.Contains(text, key) {
				t.Errorf("%s: got the key %q in it, want none", name, key)
			}
		}
	}
	if !strings.Contains(outputs["log"], `"account":"hotel"`) {
		t.Errorf("got no line of account hotel, want its failed requests logged")
	}
}
