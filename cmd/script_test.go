package cmd_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiapick.example/fuchsiapick/cmd"
)

// TestMain lets the sessions under testdata run this program as a process.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"fuchsiapick": func() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScript(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			root, err := os.Getwd()
			env.Setenv("EXAMPLES", root+"/../examples")
			return err
		},
	})
}
