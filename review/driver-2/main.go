// Command driver2 runs the scripts of the second review. It starts nodes as separate processes on
// loopback addresses, with stand-ins for clients, upstreams and the platform's store.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scripts are the cases that can be run, by name.
var scripts = map[string]func(r *record, trouble bool) (broken bool, err error){
	"path":   runPath,
	"quota":  runQuota,
	"keys":   runKeys,
	"leave":  runLeave,
	"linger": runLinger,
}

func main() {
	os.Exit(runMain())
}

func runMain() int {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE RECORD-FOLDER")
		return exitNotRun
	}
	r := newRecord()
	broken, err := scripts[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	code := exitHeld
	switch {
	case err != nil:
		r.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitNotRun
	case broken:
		r.add("the rule is broken")
		code = exitBroken
	default:
		r.add("the rule held")
	}
	if err := r.write(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}
