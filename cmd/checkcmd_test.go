package cmd_test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"fuchsiapick.example/fuchsiapick/cmd"
)

// Scripts that publish tables rely on the exit code. A table with faults must be
// distinguishable from wrong usage of the command.
func TestCheckExitCodes(t *testing.T) {
	good := filepath.Join("..", "examples", "sicily.toml")
	bad := filepath.Join("..", "table", "testdata", "faults.toml")
	tests := map[string]struct {
		args []string
		want int
	}{
		"good":              {[]string{good}, cmd.ExitOK},
		"good and bad":      {[]string{bad, good}, cmd.ExitFailure},
		"missing file":      {[]string{"none.toml"}, cmd.ExitFailure},
		"directory":         {[]string{"."}, cmd.ExitFailure},
		"wrong kind":        {[]string{"--kind", "settings", good}, cmd.ExitFailure},
		"against itself":    {[]string{"--against", good, good}, cmd.ExitFailure},
		"no file":           {nil, cmd.ExitUsage},
		"unknown kind":      {[]string{"--kind", "x", good}, cmd.ExitUsage},
		"unknown flag":      {[]string{"--strict", good}, cmd.ExitUsage},
		"against two files": {[]string{"--against", good, good, good}, cmd.ExitUsage},
		"against settings":  {[]string{"--kind", "settings", "--against", good, good}, cmd.ExitUsage},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			got := cmd.Main(append([]string{"check"}, test.args...), &stdout, &stderr)
			if got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
			if lines := strings.Count(stderr.String(), "\n"); test.want == cmd.ExitUsage && lines != 1 {
				t.Errorf("got %q, want one clear line", stderr.String())
			}
		})
	}
}
