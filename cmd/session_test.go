package cmd_test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/standin"
)

// session holds the state of one script: its processes, loads and recorded results.
type session struct {
	processes map[string]*process
	// history holds all processes that had a name, the oldest first.
	history  map[string][]*process
	loads    map[string]*load
	limits   map[string]namedLimit   // by backend
	occupied map[string]net.Listener // by address
	idle     map[string][]net.Conn   // by the address that they lead to
	sent     atomic.Int64
	recorder outcomeRecorder
	// unexpectedEnds describes the processes that ended by themselves.
	unexpectedEnds []string
}

type sessionKey struct{}

func newSession() *session {
	return &session{
		processes: map[string]*process{},
		history:   map[string][]*process{},
		loads:     map[string]*load{},
		limits:    map[string]namedLimit{},
		occupied:  map[string]net.Listener{},
		idle:      map[string][]net.Conn{},
		recorder:  outcomeRecorder{results: map[string]callerResult{}},
	}
}

func sessionOf(ts *testscript.TestScript) *session {
	s, ok := ts.Value(sessionKey{}).(*session)
	if !ok {
		ts.Fatalf("the script has no session")
	}
	return s
}

// Scripts use ports below the kernel's range for outgoing connections. Otherwise an outgoing
// connection could take the port of a node while the node is down. Test processes share no ports
// for the same reason: each takes blocks of them, which it locks by listening on their first port.
const (
	firstPort = 12_000
	portCount = 20_000
	blockSize = 200
)

// ports are the ports of this test process.
var ports portBlocks

// portBlocks hands out the ports of the blocks that a process has locked.
type portBlocks struct {
	mu     sync.Mutex
	locks  []net.Listener
	firsts []int
	// next counts the ports handed out, in all blocks.
	next int
}

// take returns a port, and the same one again only after all others.
func (p *portBlocks) take() (int, bool) {
	const usable = blockSize - 1 // without the lock
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next >= usable*len(p.firsts) && !p.lock() {
		p.next = 0
	}
	if len(p.firsts) == 0 {
		return 0, false
	}
	port := p.firsts[p.next/usable] + 1 + p.next%usable
	p.next++
	return port, true
}

// lock takes another block of ports and reports whether one was free.
func (p *portBlocks) lock() bool {
	const blocks = portCount / blockSize
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*blockSize
		l, err := net.Listen("tcp", loopback(first))
		if err != nil {
			continue
		}
		p.locks, p.firsts = append(p.locks, l), append(p.firsts, first)
		return true
	}
	return false
}

func loopback(port int) string {
	return "127.0.0.1:" + strconv.Itoa(port)
}

// freePort returns a loopback address on which nothing listens.
func freePort(ts *testscript.TestScript) string {
	for range portCount {
		port, ok := ports.take()
		if !ok {
			break
		}
		l, err := net.Listen("tcp", loopback(port))
		if err != nil {
			continue
		}
		ts.Check(l.Close())
		return loopback(port)
	}
	ts.Fatalf("no free port")
	return ""
}

// settingsTemplate is the template of the settings of nodes that scripts start.
const settingsTemplate = `node = %q
domain = %q
secret = "sixteen letters!"
grace = %q
linger = %q
peers = [%s]
log = "debug"

[listen]
caller = %q
link = %q
announce = %q
admin = %q

[platform]
address = %q
poll = %q
`

// writeSettings implements "configure NAME DOMAIN PLATFORM [PEER...]": it writes the
// settings file NAME.toml. The node listens on $C_NAME, $L_NAME and $A_NAME, which it
// sets if they are empty. The node announces $R_NAME if that is set, else $L_NAME. $GRACE,
// $LINGER and $POLL are its grace period, linger time and poll interval, by default 10s, 0s and
// 5s, $MEMORY the memory of its instance in bytes, by default unknown.
func writeSettings(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	for _, kind := range []string{"C_", "L_", "A_"} {
		if ts.Getenv(kind+name) == "" {
			ts.Setenv(kind+name, freePort(ts))
		}
	}
	announce := valueOr(ts.Getenv("R_"+name), ts.Getenv("L_"+name))
	grace := valueOr(ts.Getenv("GRACE"), "10s")
	linger := valueOr(ts.Getenv("LINGER"), "0s")
	poll := valueOr(ts.Getenv("POLL"), "5s")
	peers := make([]string, 0, len(args))
	for _, peer := range args[3:] {
		peers = append(peers, strconv.Quote(peer))
	}
	text := fmt.Sprintf(settingsTemplate, name, args[1], grace, linger, strings.Join(peers, ", "),
		ts.Getenv("C_"+name), ts.Getenv("L_"+name), announce, ts.Getenv("A_"+name), args[2], poll)
	if memory := ts.Getenv("MEMORY"); memory != "" {
		text += "\n[limits]\nmemory = " + memory + "\n"
	}
	ts.Check(os.WriteFile(ts.MkAbs(name+".toml"), []byte(text), 0o600))
}

func valueOr(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

// postAdmin sends a POST request to a stand-in's admin path.
func postAdmin(ts *testscript.TestScript, uri string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(uri)
	ts.Check(fasthttp.DoTimeout(request, response, waitTimeout))
	if got, want := response.StatusCode(), fasthttp.StatusNoContent; got != want {
		ts.Fatalf("%s: got %d %s, want %d", uri, got, response.Body(), want)
	}
}

// setMode implements "relay ADMIN MODE" and "mode PLATFORM MODE": it sets the mode of a
// relay or of the stand-in platform.
func setMode(ts *testscript.TestScript, _ bool, args []string) {
	postAdmin(ts, "http://"+args[0]+"/standin/mode?mode="+args[1])
}

// setFault implements "fault BACKEND KIND [ARGUMENTS]", such as "fault $B1 fails
// share=0.6": it sets the fault of a backend server. It repeats the call if the backend
// server crashes during it.
func setFault(ts *testscript.TestScript, _ bool, args []string) {
	uri := "http://" + args[0] + "/standin/fault?kind=" + strings.Join(args[1:], "&")
	poll(ts, "fault set at "+args[0], func() (string, bool) {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(request)
		defer fasthttp.ReleaseResponse(response)
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetRequestURI(uri)
		if err := fasthttp.DoTimeout(request, response, waitTimeout); err != nil {
			return err.Error(), false
		}
		if got, want := response.StatusCode(), fasthttp.StatusNoContent; got != want {
			ts.Fatalf("%s: got %d %s, want %d", uri, got, response.Body(), want)
		}
		return "", true
	})
}

// awaitLedger implements "ledger BACKEND begun=N...": it waits until the totals of a
// backend server reach the values. "! ledger BACKEND begun=N" doesn't wait: it fails if the
// totals have reached them.
func awaitLedger(ts *testscript.TestScript, neg bool, args []string) {
	if !neg {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+args[0]+"/standin/await?"+strings.Join(args[1:], "&"), waitTimeout)
		ts.Check(err)
		if status != fasthttp.StatusOK {
			ts.Fatalf("%s: got %d %s, want %s", args[0], status, body, strings.Join(args[1:], " "))
		}
		return
	}
	limit, err := strconv.Atoi(strings.TrimPrefix(args[1], "begun="))
	ts.Check(err)
	if got := len(fetchLedger(ts, args[0])); got >= limit {
		ts.Fatalf("%s: got %d begun, want under %d", args[0], got, limit)
	}
}

// setNextBegun implements "next VARIABLE BACKEND": it sets a variable to the number of
// requests that a backend server has begun, plus one, for a later "ledger BACKEND
// begun=$VARIABLE" or its negation.
func setNextBegun(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strconv.Itoa(len(fetchLedger(ts, args[1]))+1))
}

// checkPlatformCalls implements "calls PLATFORM MAX": it fails if the platform has
// received more calls.
func checkPlatformCalls(ts *testscript.TestScript, _ bool, args []string) {
	var got uint64
	fetchJSON(ts, "http://"+args[0]+"/standin/calls", &got)
	limit, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(err)
	ts.Logf("platform calls: %d", got)
	if got > limit {
		ts.Fatalf("got %d calls at the platform, want at most %d", got, limit)
	}
}

// awaitSameLines implements "same TEXT URL URL": it waits until both answers have the
// same lines with the text, and at least one.
func awaitSameLines(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, "the same lines with "+args[0], func() (string, bool) {
		first, second := fetchLines(ts, args[1], args[0]), fetchLines(ts, args[2], args[0])
		return first + "and " + second, first == second && first != ""
	})
	ts.Logf("%s", fetchLines(ts, args[1], args[0]))
}

// checkZero implements "zero TEXT URL": it fails if a line with the text ends in a value
// other than 0.
func checkZero(ts *testscript.TestScript, _ bool, args []string) {
	for line := range strings.Lines(fetchLines(ts, args[1], args[0])) {
		if !strings.HasSuffix(line, " 0\n") {
			ts.Fatalf("got %s, want 0", line)
		}
	}
}

// awaitNoLine implements "lacks TEXT URL [EXCEPT...]": it waits until no line of the answer contains
// the text, but lines that contain one of the exceptions, too.
func awaitNoLine(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, "no line with "+args[0], func() (string, bool) {
		found := ""
		for line := range strings.Lines(fetchLines(ts, args[1], args[0])) {
			isExcepted := slices.ContainsFunc(args[2:], func(text string) bool { return strings.Contains(line, text) })
			if !isExcepted {
				found += line
			}
		}
		return found, found == ""
	})
}

// checkLineCount implements "atmost N TEXT URL": it fails if more than N lines of the
// answer contain the text.
func checkLineCount(ts *testscript.TestScript, _ bool, args []string) {
	limit, err := strconv.Atoi(args[0])
	ts.Check(err)
	lines := fetchLines(ts, args[2], args[1])
	if got := strings.Count(lines, "\n"); got > limit {
		ts.Fatalf("got %d lines, want at most %d:\n%s", got, limit, lines)
	}
}

// fetchLines returns the lines of the answer that contain the text.
func fetchLines(ts *testscript.TestScript, uri, text string) string {
	_, body, err := fasthttp.GetTimeout(nil, uri, waitTimeout)
	ts.Check(err)
	found := ""
	for line := range strings.Lines(string(body)) {
		if strings.Contains(line, text) {
			found += line
		}
	}
	return found
}

// fetchLedger returns the ledger of a backend server.
func fetchLedger(ts *testscript.TestScript, backend string) []standin.Entry {
	var entries []standin.Entry
	fetchJSON(ts, "http://"+backend+"/standin/ledger", &entries)
	return entries
}

// fetchJSON requests the URI and decodes the JSON answer.
func fetchJSON(ts *testscript.TestScript, uri string, into any) {
	status, body, err := fasthttp.GetTimeout(nil, uri, waitTimeout)
	ts.Check(err)
	if status != fasthttp.StatusOK {
		ts.Fatalf("%s: got %d, want %d", uri, status, fasthttp.StatusOK)
	}
	ts.Check(json.Unmarshal(body, into))
}
