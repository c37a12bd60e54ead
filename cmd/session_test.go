package cmd_test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/standin"
)

// session is what one script has started and seen.
type session struct {
	processes map[string]*process
	loads     map[string]*load
	sent      atomic.Int64
	witness   witness
}

type sessionKey struct{}

func newSession() *session {
	return &session{
		processes: map[string]*process{},
		loads:     map[string]*load{},
		witness:   witness{told: map[string]told{}},
	}
}

func sessionOf(ts *testscript.TestScript) *session {
	s, ok := ts.Value(sessionKey{}).(*session)
	if !ok {
		ts.Fatalf("the script has no session")
	}
	return s
}

// Ports for sessions lie below those that the kernel gives to outgoing
// connections: while a node is away, such a connection could take its port.
const (
	firstPort = 12_000
	portCount = 20_000
)

var nextPort atomic.Int64

// freePort returns an address that nothing listens on. Each process of the
// test begins elsewhere, and no port is given twice.
func freePort(ts *testscript.TestScript) string {
	for range portCount {
		n := (int64(os.Getpid())*389 + nextPort.Add(1)) % portCount
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.FormatInt(firstPort+n, 10))
		if err != nil {
			continue
		}
		address := l.Addr().String()
		ts.Check(l.Close())
		return address
	}
	ts.Fatalf("no free port")
	return ""
}

// settingsOf is what sessions run nodes with; secret and grace suit tests.
const settingsOf = `node = %q
domain = %q
secret = "sixteen letters!"
grace = %q
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

// configure NAME DOMAIN PLATFORM [PEER...] writes NAME.toml. The node's
// addresses are $C_NAME, $L_NAME and $A_NAME, its announced one $R_NAME if
// that is set; $GRACE and $POLL are its grace and poll if they are set.
func configure(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	for _, kind := range []string{"C_", "L_", "A_"} {
		if ts.Getenv(kind+name) == "" {
			ts.Setenv(kind+name, freePort(ts))
		}
	}
	announce := orElse(ts.Getenv("R_"+name), ts.Getenv("L_"+name))
	grace := orElse(ts.Getenv("GRACE"), "10s")
	poll := orElse(ts.Getenv("POLL"), "5s")
	peers := make([]string, 0, len(args))
	for _, peer := range args[3:] {
		peers = append(peers, strconv.Quote(peer))
	}
	text := fmt.Sprintf(settingsOf, name, args[1], grace, strings.Join(peers, ", "),
		ts.Getenv("C_"+name), ts.Getenv("L_"+name), announce, ts.Getenv("A_"+name), args[2], poll)
	ts.Check(os.WriteFile(ts.MkAbs(name+".toml"), []byte(text), 0o600))
}

func orElse(text, standard string) string {
	if text == "" {
		return standard
	}
	return text
}

// drive posts to a stand-in's admin path.
func drive(ts *testscript.TestScript, uri string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(uri)
	ts.Check(fasthttp.DoTimeout(request, response, patience))
	if got, want := response.StatusCode(), fasthttp.StatusNoContent; got != want {
		ts.Fatalf("%s: got %d %s, want %d", uri, got, response.Body(), want)
	}
}

// relay ADMIN MODE breaks or mends a relay; platform ADDRESS MODE a platform.
func relay(ts *testscript.TestScript, _ bool, args []string) {
	drive(ts, "http://"+args[0]+"/standin/mode?mode="+args[1])
}

// fault BACKEND KIND [ARGUMENTS] sets how a backend server misbehaves, such as
// fault $B1 fails share=0.6. One that crashes may do so under the call, which is made again.
func fault(ts *testscript.TestScript, _ bool, args []string) {
	uri := "http://" + args[0] + "/standin/fault?kind=" + strings.Join(args[1:], "&")
	poll(ts, "fault set at "+args[0], func() (string, bool) {
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(request)
		defer fasthttp.ReleaseResponse(response)
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetRequestURI(uri)
		if err := fasthttp.DoTimeout(request, response, patience); err != nil {
			return err.Error(), false
		}
		if got, want := response.StatusCode(), fasthttp.StatusNoContent; got != want {
			ts.Fatalf("%s: got %d %s, want %d", uri, got, response.Body(), want)
		}
		return "", true
	})
}

// ledger BACKEND begun=N... waits until the totals reach what is given;
// ! ledger BACKEND begun=N fails at once if they have come that far.
func ledger(ts *testscript.TestScript, neg bool, args []string) {
	if !neg {
		status, body, err := fasthttp.GetTimeout(nil, "http://"+args[0]+"/standin/await?"+strings.Join(args[1:], "&"), patience)
		ts.Check(err)
		if status != fasthttp.StatusOK {
			ts.Fatalf("%s: got %d %s, want %s", args[0], status, body, strings.Join(args[1:], " "))
		}
		return
	}
	limit, err := strconv.Atoi(strings.TrimPrefix(args[1], "begun="))
	ts.Check(err)
	if got := len(entriesOf(ts, args[0])); got >= limit {
		ts.Fatalf("%s: got %d begun, want under %d", args[0], got, limit)
	}
}

// next VARIABLE BACKEND sets a variable to one more than the requests that a
// backend server has begun, for ! ledger BACKEND begun=$VARIABLE later.
func next(ts *testscript.TestScript, _ bool, args []string) {
	ts.Setenv(args[0], strconv.Itoa(len(entriesOf(ts, args[1]))+1))
}

// calls PLATFORM MOST holds the calls that the platform has counted to a bound.
func calls(ts *testscript.TestScript, _ bool, args []string) {
	var got uint64
	fetch(ts, "http://"+args[0]+"/standin/calls", &got)
	most, err := strconv.ParseUint(args[1], 10, 64)
	ts.Check(err)
	ts.Logf("platform calls: %d", got)
	if got > most {
		ts.Fatalf("got %d calls at the platform, want at most %d", got, most)
	}
}

// same TEXT URL URL waits until both answers have the same lines with the
// text, and some.
func same(ts *testscript.TestScript, _ bool, args []string) {
	poll(ts, "the same lines with "+args[0], func() (string, bool) {
		one, other := linesOf(ts, args[1], args[0]), linesOf(ts, args[2], args[0])
		return one + "and " + other, one == other && one != ""
	})
	ts.Logf("%s", linesOf(ts, args[1], args[0]))
}

// zero TEXT URL checks that what the lines with the text count is 0.
func zero(ts *testscript.TestScript, _ bool, args []string) {
	for line := range strings.Lines(linesOf(ts, args[1], args[0])) {
		if !strings.HasSuffix(line, " 0\n") {
			ts.Fatalf("got %s, want 0", line)
		}
	}
}

// atmost N TEXT URL checks that no more lines of an answer have the text.
func atmost(ts *testscript.TestScript, _ bool, args []string) {
	most, err := strconv.Atoi(args[0])
	ts.Check(err)
	lines := linesOf(ts, args[2], args[1])
	if got := strings.Count(lines, "\n"); got > most {
		ts.Fatalf("got %d lines, want at most %d:\n%s", got, most, lines)
	}
}

func linesOf(ts *testscript.TestScript, uri, text string) string {
	_, body, err := fasthttp.GetTimeout(nil, uri, patience)
	ts.Check(err)
	found := ""
	for line := range strings.Lines(string(body)) {
		if strings.Contains(line, text) {
			found += line
		}
	}
	return found
}

func entriesOf(ts *testscript.TestScript, backend string) []standin.Entry {
	var entries []standin.Entry
	fetch(ts, "http://"+backend+"/standin/ledger", &entries)
	return entries
}

func fetch(ts *testscript.TestScript, uri string, into any) {
	status, body, err := fasthttp.GetTimeout(nil, uri, patience)
	ts.Check(err)
	if status != fasthttp.StatusOK {
		ts.Fatalf("%s: got %d, want %d", uri, status, fasthttp.StatusOK)
	}
	ts.Check(json.Unmarshal(body, into))
}
