package cmd_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/standin"
)

// Guards against a node that ends on a SIGHUP which it gets before it has read its settings.
func TestHangupDuringTheStartDoesNotEndTheNode(t *testing.T) {
	const anyPort = "127.0.0.1:0"
	path := filepath.Join(t.TempDir(), "n1.toml")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	var output standin.Output
	node := exec.CommandContext(t.Context(), "fuchsiapick", "node", "--settings", path)
	node.Stdout, node.Stderr = &output, &output
	if err := node.Start(); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the node reads its settings
	if err != nil {
		t.Fatal(err)
	}
	if err := node.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = node.Wait() // the state tells how it ended
	}()
	_, _ = fmt.Fprintf(file, settingsTemplate, "n1", "palermo", "1s", "0s", "", anyPort, anyPort, "127.0.0.1:1", anyPort, "127.0.0.1:2", "5s")
	_ = file.Close() // an error of either shows below: the node doesn't start
	for !strings.Contains(output.String(), "node started") {
		select {
		case <-ended:
			t.Fatalf("got node ended with %v, want it started\n%s", node.ProcessState, output.String())
		case <-time.After(10 * time.Millisecond):
		}
	}
	_ = node.Process.Kill()
	<-ended
}
