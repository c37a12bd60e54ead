package cmd_test

import (
	"bytes"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/cmd"
)

// Scripts rely on exit codes. Guards against a report that lacks a node and ends like a
// complete one.
func TestReportExitCodes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	body, err := json.Marshal(access.New(access.Config{}).Snapshot(0, access.Filter{}))
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBody(body) }}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	up, down := l.Addr().String(), "127.0.0.1:1"
	file := filepath.Join(t.TempDir(), "report.html")
	tests := []struct {
		name string
		args []string
		code int
		out  string
		err  string
	}{
		{"whole", []string{"--node", up}, cmd.ExitOK, "Nothing needs attention", ""},
		{"json", []string{"--node", up, "--format", "json"}, cmd.ExitOK, `"format": 1`, ""},
		{"file", []string{"--node", up, "--format", "html", "--output", file}, cmd.ExitOK, "", ""},
		{"bad file", []string{"--node", up, "--output", t.TempDir()}, cmd.ExitFailure, "", "creating the report's file"},
		{"partial", []string{"--node", up, "--node", down}, cmd.ExitPartial, "PARTIAL", ""},
		{"partial, in a row", []string{"--node", up, down}, cmd.ExitPartial, "PARTIAL", ""},
		{"none", []string{"--node", down}, cmd.ExitFailure, "PARTIAL", "no node answered"},
		{"no address", nil, cmd.ExitUsage, "", "no node is named"},
		{"a name", []string{"--node", "foo"}, cmd.ExitUsage, "", `node "foo": not an IP number and port`},
		{"format", []string{"--node", up, "--format", "pdf"}, cmd.ExitUsage, "", `--format "pdf"`},
		{"since", []string{"--node", up, "--since", "5"}, cmd.ExitUsage, "", "not a span of time"},
		{"timeout", []string{"--node", up, "--timeout", "0s"}, cmd.ExitUsage, "", "--timeout"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			code := cmd.Main(append([]string{"report"}, tt.args...), &stdout, &stderr)
			if code != tt.code || !strings.Contains(stdout.String(), tt.out) || !strings.Contains(stderr.String(), tt.err) {
				t.Errorf("got %d, %q, %q; want %d, %q, %q", code, stdout.String(), stderr.String(), tt.code, tt.out, tt.err)
			}
			if got := strings.Count(stderr.String(), "\n"); tt.err != "" && got != 1 {
				t.Errorf("got %d lines %q, want one", got, stderr.String())
			}
		})
	}
	page, err := os.ReadFile(file)
	if err != nil || !bytes.HasPrefix(page, []byte("<!DOCTYPE html>")) {
		t.Errorf("got %d bytes, %v; want an HTML page", len(page), err)
	}
}
