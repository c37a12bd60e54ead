package cmd_test

import (
	"net"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

// occupyPort implements "occupy ADDRESS": the test listens on an address, as another program would.
// "! occupy ADDRESS" ends that.
func occupyPort(ts *testscript.TestScript, neg bool, args []string) {
	s := sessionOf(ts)
	if neg {
		ts.Check(s.occupied[args[0]].Close())
		delete(s.occupied, args[0])
		return
	}
	poll(ts, "address "+args[0]+" free", func() (string, bool) { // a connection of another test may have it for a moment
		l, err := net.Listen("tcp", args[0])
		if err != nil {
			return err.Error(), false
		}
		s.occupied[args[0]] = l
		ts.Defer(func() { _ = l.Close() }) // the script may have closed it already
		return "", true
	})
}

// openIdle implements "idle COUNT ADDRESS": it opens connections to an address and sends nothing on
// them. "! idle ADDRESS" closes them.
func openIdle(ts *testscript.TestScript, neg bool, args []string) {
	s := sessionOf(ts)
	if neg {
		for _, c := range s.idle[args[0]] {
			ts.Check(c.Close())
		}
		delete(s.idle, args[0])
		return
	}
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	for range count {
		c, err := net.DialTimeout("tcp", args[1], waitTimeout)
		ts.Check(err)
		s.idle[args[1]] = append(s.idle[args[1]], c)
		ts.Defer(func() { _ = c.Close() }) // the script may have closed it already
	}
}
