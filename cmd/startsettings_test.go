package cmd_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/settings"
)

// Guards against a node that ends because its settings, or its secret, are still being written when it
// starts.
func TestNodeStartsOnceItsSettingsAreComplete(t *testing.T) {
	secret := filepath.Join(t.TempDir(), "secret")
	complete := nodeSettings()
	for name, test := range map[string]struct {
		early    *string // content of the file before; nil if there is none
		complete string
		secret   string // written with the complete settings
	}{
		"missing":         {nil, complete, ""},
		"empty":           {new(""), complete, ""},
		"cut":             {new(complete[:len(complete)/2]), complete, ""},
		"without secret":  {new(strings.Replace(complete, "secret = ", "secretfile = \""+secret+"\" # ", 1)), strings.Replace(complete, "secret = ", "secretfile = \""+secret+"\" # ", 1), "sixteen letters!"},
		"of another kind": {new("format = 1\nversion = 1\n"), complete, ""},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "n1.toml")
			if test.early != nil {
				writeFile(t, path, *test.early)
			}
			n := startNode(t, path)
			n.awaitLine(t, `"message":"settings not read yet; they are tried again"`)
			if test.secret != "" {
				writeFile(t, secret, test.secret)
			}
			writeFile(t, path, test.complete)
			n.awaitLine(t, `"message":"node started"`)
		})
	}
}

// Guards against a node that waits for ever for settings, or for longer than needed for those that nobody
// writes any more, and against an end without a line in the log.
func TestNodeEndsOnSettingsThatItCannotRead(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(t *testing.T, path string)
		want    string
	}{
		"fault":     {func(t *testing.T, path string) { writeFile(t, path, "node = \"n1\"\n") }, "domain: is missing"},
		"cut":       {func(t *testing.T, path string) { writeFile(t, path, nodeSettings()[:100]) }, "not TOML"},
		"long":      {func(t *testing.T, path string) { writeFile(t, path, strings.Repeat("# long\n", settings.MaxBytes)) }, "allowed: at most 65536 bytes"},
		"empty":     {func(t *testing.T, path string) { writeFile(t, path, "") }, "file is empty"},
		"missing":   {func(*testing.T, string) {}, "no such file or directory"},
		"directory": {func(t *testing.T, path string) { mustDo(t, os.Mkdir(path, 0o700)) }, "is a directory"},
		"pipe":      {func(t *testing.T, path string) { mustDo(t, syscall.Mkfifo(path, 0o600)) }, "file not read in time"},
		"secret": {func(t *testing.T, path string) {
			writeFile(t, path, strings.Replace(nodeSettings(), "secret = ", "secretfile = \"/dev/null\" # ", 1))
		}, "file is empty"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := filepath.Join(t.TempDir(), "n1.toml")
			test.prepare(t, path)
			n := startNode(t, path)
			if got := n.awaitEnd(t); got != "exit status 1" {
				t.Errorf("got %s, want exit status 1", got)
			}
			if got := n.stderr.String(); !strings.Contains(got, test.want) {
				t.Errorf("got %q, want %q on standard error", got, test.want)
			}
			var last struct{ Level, Message, Error string }
			for line := range strings.Lines(n.stdout.String()) {
				if strings.Contains(line, "settings refused") {
					mustDo(t, json.Unmarshal([]byte(line), &last))
				}
			}
			if last.Level != "error" || !strings.Contains(last.Error, test.want) {
				t.Errorf("got line %+v, want an error with %q", last, test.want)
			}
		})
	}
}

// Guards against an edit that is never in force: the node read the file while it was written, and the
// rest came within the resolution of the file's modification time.
func TestNodeReloadsSettingsCompletedWithinTheSameTick(t *testing.T) {
	path := filepath.Join(t.TempDir(), "n1.toml")
	writeFile(t, path, nodeSettings())
	n := startNode(t, path)
	n.awaitLine(t, `"message":"node started"`)
	edited := strings.Replace(nodeSettings(), `log = "debug"`, `log = "info"`, 1)
	// The node polls the file once a second from its start on, and a file that hasn't changed for a second
	// counts as written: halfway between two polls neither is near.
	<-time.After(settings.FaultSettleTime.Duration() / 2)
	tick := time.Now()
	writeFile(t, path, edited[:len(edited)/2])
	mustDo(t, os.Chtimes(path, tick, tick))
	n.awaitLine(t, "settings file not settled")
	writeFile(t, path, edited)
	mustDo(t, os.Chtimes(path, tick, tick))
	n.awaitLine(t, `"message":"settings reloaded"`)
	if strings.Contains(n.stdout.String(), "settings rejected") {
		t.Errorf("got settings rejected, want the half written file left alone\n%s", n.stdout.String())
	}
	mustDo(t, os.Remove(path))
	mustDo(t, n.cmd.Process.Signal(syscall.SIGHUP))
	n.awaitLine(t, `"message":"settings rejected; those in force stay"`)
	writeFile(t, path, nodeSettings())
	mustDo(t, os.Chtimes(path, tick, tick))
	for deadline := time.Now().Add(waitTimeout); strings.Count(n.stdout.String(), "settings reloaded") < 2; {
		<-time.After(10 * time.Millisecond)
		if time.Now().After(deadline) {
			t.Fatalf("got no reload of a file that came back\n%s", n.stdout.String())
		}
	}
}
