package report_test

import (
	"encoding/json"
	"io"
	"testing"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/report"
)

// FuzzMerge guards against a report that fails because of one node's answer. A node of
// another release, or another program at its address, may answer with inconsistent values;
// the report on the other nodes must still be written.
func FuzzMerge(f *testing.F) {
	for _, r := range results() {
		body, err := json.Marshal(r.Snapshot)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Add([]byte(`{"now":"-1s","events":[{"at":"9h","kind":"set-aside"}],"totals":[{"count":0}]}`))
	f.Add([]byte(`{"burn":[{"windows":[{"span":"0s","total":1,"failed":9,"series":[{"slice":-1,"total":1}]}]}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var s access.Snapshot
		if json.Unmarshal(body, &s) != nil {
			return
		}
		r := report.Merge([]report.NodeResult{{Snapshot: &s}})
		for _, write := range []func(io.Writer) error{r.Text, r.JSON, r.HTML} {
			if err := write(io.Discard); err != nil {
				t.Error(err)
			}
		}
	})
}
