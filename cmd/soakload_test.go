package cmd_test

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
)

// workload draws requests of different lengths: a third of them short, a third of any length up to
// the longest, a third not far from the longest.
type workload struct {
	random         *rand.Rand
	longest, limit time.Duration
}

const (
	// Short requests run from shortestWork to longestShortWork.
	shortestWork     = 50 * time.Millisecond
	longestShortWork = 300 * time.Millisecond
	// shortestSlack is how much longer than its run a request's time limit is, at least.
	shortestSlack = 500 * time.Millisecond
	// refusedPause is how long a caller waits after a refusal.
	refusedPause = 50 * time.Millisecond
)

// newWorkload returns the workload that a script's arguments SEED LONGEST LIMIT describe, of one
// of several callers.
func newWorkload(ts *testscript.TestScript, args []string, caller int) *workload {
	seed, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	longest, err := time.ParseDuration(args[1])
	ts.Check(err)
	limit, err := time.ParseDuration(args[2])
	ts.Check(err)
	return &workload{random: rand.New(rand.NewPCG(seed, uint64(caller))), longest: longest, limit: limit}
}

// between draws a whole number of milliseconds.
func (w *workload) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64((high-low)/time.Millisecond)+1))*time.Millisecond
}

// send draws a request and sends it. One in four may be repeated, and one in three has a time limit
// that may end before a grace period does.
func (w *workload) send(s *session, client *fasthttp.Client, url string) callerResult {
	method, work, limit := fasthttp.MethodPost, w.between(shortestWork, longestShortWork), w.limit
	if w.random.IntN(4) == 0 {
		method = fasthttp.MethodGet
	}
	switch w.random.IntN(3) {
	case 0:
		work = w.between(longestShortWork, w.longest)
	case 1:
		work = w.between(w.longest/2, w.longest)
	}
	if w.random.IntN(3) == 0 {
		limit = w.between(work+shortestSlack, w.longest+shortestSlack)
	}
	return s.sendWork(client, method, url, work, limit)
}

// startClients implements "clients NAME CALLERS SEED LONGEST LIMIT URL...": each caller sends one
// request after another to its own URL, on a connection that it keeps open, until the script joins
// the load. While its port is closed, a caller sends to the next URL.
func startClients(ts *testscript.TestScript, _ bool, args []string) {
	s, l := sessionOf(ts), &load{stop: make(chan struct{})}
	s.loads[args[0]] = l
	callers, err := strconv.Atoi(args[1])
	ts.Check(err)
	urls := args[5:]
	for i := range callers {
		w := newWorkload(ts, args[2:5], i)
		l.group.Go(func() { w.sendUntilStopped(s, l, urls, i) })
	}
}

func (w *workload) sendUntilStopped(s *session, l *load, urls []string, home int) {
	client := &fasthttp.Client{}
	defer client.CloseIdleConnections()
	for next := home; !l.isStopped(); {
		result := w.send(s, client, urls[next%len(urls)])
		l.add(result)
		if result.outcome == connectionRefused {
			next++
		} else {
			next = home
		}
		if result.outcome != access.Served {
			<-time.After(refusedPause)
		}
	}
}

// floodNode implements "flood NAME COUNT SEED LONGEST LIMIT URL": it sends COUNT requests at
// once, each on a connection of its own, in the background.
func floodNode(ts *testscript.TestScript, _ bool, args []string) {
	s, l := sessionOf(ts), &load{}
	s.loads[args[0]] = l
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	for i := range count {
		w := newWorkload(ts, args[2:5], i)
		l.group.Go(func() {
			client := &fasthttp.Client{}
			defer client.CloseIdleConnections()
			l.add(w.send(s, client, args[5]))
		})
	}
}
