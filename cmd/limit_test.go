package cmd_test

import (
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// limitWindow is the span over which the users' rule counts arrivals, limitNotice the time
	// after the first naming from which it does.
	limitWindow = 4 * clock.Second
	limitNotice = 3 * clock.Second
)

// namedLimit is the rate limit that a backend server names.
type namedLimit struct {
	rate float64
	// since is the number of requests in the ledger when it was first named.
	since int
}

// allowed returns how many requests the users' rule allows in limitWindow.
func (l namedLimit) allowed() float64 {
	return 1.5*l.rate*limitWindow.Seconds() + 5
}

// postAction returns the implementation of "ACTION PLATFORM", a POST request to the stand-in's
// admin path of that name.
func postAction(action string) func(ts *testscript.TestScript, neg bool, args []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		postAdmin(ts, "http://"+args[0]+"/standin/"+action)
	}
}

// crashBackend implements "crash BACKEND SPAN": it crashes a backend server, which is started
// again after the span.
func crashBackend(ts *testscript.TestScript, _ bool, args []string) {
	postAdmin(ts, "http://"+args[0]+"/standin/crash?down="+args[1])
}

// nameLimit implements "limit BACKEND RATE": the backend server names a rate limit from now on.
func nameLimit(ts *testscript.TestScript, neg bool, args []string) {
	rate, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	sessionOf(ts).limits[args[0]] = namedLimit{rate: rate, since: len(fetchLedger(ts, args[0]))}
	setFault(ts, neg, []string{args[0], "limits", "rate=" + args[1]})
}

// checkPace implements "paced BACKEND": it fails if the backend server has got more requests than
// it accepts.
func checkPace(ts *testscript.TestScript, _ bool, args []string) {
	l := sessionOf(ts).limits[args[0]]
	arrivals := fetchLedger(ts, args[0])
	arrivals = arrivals[min(l.since, len(arrivals)):]
	for i, first := range arrivals {
		count := 0
		for _, e := range arrivals[i:] {
			if e.Started < first.Started+limitWindow {
				count++
			}
		}
		if first.Started >= arrivals[0].Started+limitNotice && float64(count) > l.allowed() {
			ts.Fatalf("backend server %s, which accepts %v requests a second: got %d in %v, want at most %v", args[0], l.rate, count, limitWindow, l.allowed())
		}
	}
}
