// Command program runs one stand-in as a separate process.
package main

import (
	"os"

	"fuchsiapick.example/fuchsiapick/standin/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
