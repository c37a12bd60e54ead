package fleet_test

import (
	"encoding/json"
	"strings"
	"testing"

	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// line is a log line, as docs/OPERATIONS.md reads it.
type line struct {
	Message  string `json:"msg"`
	Node     string `json:"node"`
	Request  string `json:"request"`
	Outcome  string `json:"outcome"`
	Reason   string `json:"reason"`
	Upstream string `json:"upstream"`
	Took     string `json:"took"`
	Target   string `json:"target"`
	Tried    []struct {
		Upstream, Result, After string
	} `json:"tried"`
}

// linesOf returns what all nodes logged of a request.
func linesOf(t *testing.T, text, id string) []line {
	t.Helper()
	var all []line
	for l := range strings.Lines(text) {
		if !strings.Contains(l, id) {
			continue
		}
		var one line
		if err := json.Unmarshal([]byte(l), &one); err != nil {
			t.Fatalf("got a log line that can't be read: %v\n%s", err, l)
		}
		all = append(all, one)
	}
	return all
}

// A user complains and has only the id of a request. The on-call engineer has only
// the logs; each of the three paths of docs/OPERATIONS.md must lead to the cause.
func TestLogsExplainARequestByItsID(t *testing.T) {
	tests := []struct {
		name  string
		fault standin.Fault
		lines int
		want  func(t *testing.T, all []line)
	}{
		{"refused", standin.Fault{Kind: standin.Sheds, Share: 1}, 1, func(t *testing.T, all []line) {
			first := all[0]
			if first.Message != "request not served" || first.Outcome != "not-run" || first.Reason != "upstream-shed" {
				t.Errorf("got %+v, want it not run, as its upstream shed it", first)
			}
			if len(first.Tried) == 0 || first.Tried[0].Upstream != "conferme-1" || first.Tried[0].Result != "upstream-shed" {
				t.Errorf("got tries %+v, want conferme-1 that shed it", first.Tried)
			}
		}},
		{"unknown", standin.Fault{Kind: standin.Hangs, Share: 1}, 2, func(t *testing.T, all []line) {
			byMessage := map[string]line{}
			for _, l := range all {
				byMessage[l.Message] = l
			}
			entry, ok := byMessage["request not served"]
			if !ok || entry.Outcome != "unknown" || entry.Upstream != "conferme-1" {
				t.Errorf("got %+v, want its outcome unknown, at conferme-1", entry)
			}
			gate, ok := byMessage["request not answered by the backend server"]
			if !ok || gate.Reason != "timeout" {
				t.Errorf("got %+v of the gate, want it to name the timeout", gate)
			}
		}},
		{"late", standin.Fault{Kind: standin.Slow, Share: 1}, 1, func(t *testing.T, all []line) {
			first := all[0]
			if first.Message != "request answered late" || first.Target != "5ms" || len(first.Tried) != 1 || first.Tried[0].Result != "served" {
				t.Errorf("got %+v, want it late for its target of 5ms at its only try", first)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var log lines
			d := deployment(1)
			d.Services[0].Deadline = 700
			d.Services[0].Objective.Latency = 400
			d.Routes = []table.Route{{Prefix: "/conferme/", Service: "conferme", LatencyTarget: 5}}
			f := start(t, fleet.Config{Table: d, ServiceTime: 20, Log: &log})
			f.Backends["conferme-1"].SetFault(tt.fault)
			got := send(t, "POST", f.Members[0].Caller, "/conferme/turno", "")
			// The gate replies before it writes its line, so the entry's may stand first.
			until(t, "the log lines of the request", func() bool { return len(linesOf(t, log.String(), got.id)) >= tt.lines })
			tt.want(t, linesOf(t, log.String(), got.id))
		})
	}
}
