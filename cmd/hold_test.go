package cmd_test

import (
	"net"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// holdConnections implements "hold ADDRESS COUNT": it opens connections that send nothing and stay open
// until the script ends.
func holdConnections(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	for range count {
		conn, err := net.DialTimeout("tcp", args[0], waitTimeout)
		ts.Check(err)
		ts.Defer(func() { _ = conn.Close() })
	}
}
