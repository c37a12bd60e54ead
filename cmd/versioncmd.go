package cmd

import (
	"fmt"
	"io"

	"fuchsiapick.example/fuchsiapick/table"
)

// Release is the version of this program.
const Release = "0.1.0"

type versionCmd struct{}

func (*versionCmd) run(stdout, _ io.Writer) int {
	fmt.Fprintf(stdout, "fuchsiapick %s, table format %d\n", Release, table.Format)
	return ExitOK
}
