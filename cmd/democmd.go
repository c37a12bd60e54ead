package cmd

import (
	"context"
	"fmt"
	"io"

	"fuchsiapick.example/fuchsiapick/demo"
)

type demoCmd struct {
	Deployment string `arg:"--deployment" default:"sicily" help:"sicily or kingston"`
	Log        bool   `arg:"--log" help:"write the nodes' logs to standard error"`
}

// run runs the demo, which ends on its own in less than 30 seconds.
func (c *demoCmd) run(stdout, stderr io.Writer) int {
	config := demo.Config{Deployment: c.Deployment, Out: stdout}
	if c.Log {
		config.Log = stderr
	}
	if err := demo.Run(context.Background(), config); err != nil {
		fmt.Fprintf(stderr, "fuchsiapick demo: %v\n", err)
		return ExitFailure
	}
	return ExitOK
}
