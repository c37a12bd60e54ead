// Command fuchsiapick is a proxy fleet for backend servers with gray failures.
package main

import (
	"os"

	"fuchsiapick.example/fuchsiapick/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
