package fleet_test

import (
	"encoding/json"
	"strings"
	"testing"

	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/standin"
	"fuchsiapick.example/fuchsiapick/table"
)

// logLine holds the fields of a log line that docs/OPERATIONS.md refers to.
type logLine struct {
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

// logLinesOf returns the log lines of all nodes that contain the id of a request.
func logLinesOf(t *testing.T, text, id string) []logLine {
	t.Helper()
	var all []logLine
	for line := range strings.Lines(text) {
		if !strings.Contains(line, id) {
			continue
		}
		var parsed logLine
		if err := json.Unmarshal([]byte(line), &parsed); err != nil {
			t.Fatalf("got a log line that isn't JSON: %v\n%s", err, line)
		}
		all = append(all, parsed)
	}
	return all
}

// An on-call engineer knows only the id of a request and has only the logs. Each of the
// three procedures of docs/OPERATIONS.md must lead to the cause.
func TestLogsExplainARequestByItsID(t *testing.T) {
	tests := []struct {
		name  string
		fault standin.Fault
		lines int
		want  func(t *testing.T, all []logLine)
	}{
		{"refused", standin.Fault{Kind: standin.Sheds, Share: 1}, 1, func(t *testing.T, all []logLine) {
			first := all[0]
			if first.Message != "request not served" || first.Outcome != "not-run" || first.Reason != "upstream-shed" {
				t.Errorf("got %+v, want it not run because its upstream shed it", first)
			}
			if len(first.Tried) == 0 || first.Tried[0].Upstream != "conferme-1" || first.Tried[0].Result != "upstream-shed" {
				t.Errorf("got attempts %+v, want conferme-1 to have shed it", first.Tried)
			}
		}},
		{"unknown", standin.Fault{Kind: standin.Hangs, Share: 1}, 2, func(t *testing.T, all []logLine) {
			byMessage := map[string]logLine{}
			for _, l := range all {
				byMessage[l.Message] = l
			}
			entryLine, ok := byMessage["request not served"]
			if !ok || entryLine.Outcome != "unknown" || entryLine.Upstream != "conferme-1" {
				t.Errorf("got %+v, want its outcome unknown, at conferme-1", entryLine)
			}
			gateLine, ok := byMessage["request not answered by the backend server"]
			if !ok || gateLine.Reason != "timeout" {
				t.Errorf("got %+v from the gate, want reason timeout", gateLine)
			}
		}},
		{"late", standin.Fault{Kind: standin.Slow, Share: 1}, 1, func(t *testing.T, all []logLine) {
			first := all[0]
			if first.Message != "request answered late" || first.Target != "5ms" || len(first.Tried) != 1 || first.Tried[0].Result != "served" {
				t.Errorf("got %+v, want it later than its target of 5ms, with one attempt", first)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var log logBuffer
			d := newTable(1)
			d.Services[0].Deadline = 700
			d.Services[0].Objective.Latency = 400
			d.Routes = []table.Route{{Prefix: "/conferme/", Service: "conferme", LatencyTarget: 5}}
			f := startFleet(t, fleet.Config{Table: d, ServiceTime: 20, Log: &log})
			f.Backends["conferme-1"].SetFault(tt.fault)
			got := send(t, "POST", f.Members[0].Caller, "/conferme/turno", "")
			// The gate replies before it logs, so that the entry's line may come first.
			waitUntil(t, "the log lines of the request", func() bool { return len(logLinesOf(t, log.String(), got.id)) >= tt.lines })
			tt.want(t, logLinesOf(t, log.String(), got.id))
		})
	}
}
