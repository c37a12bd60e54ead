package cmd_test

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/cmd"
	"fuchsiapick.example/fuchsiapick/entry"
	"fuchsiapick.example/fuchsiapick/standin/command"
)

// waitTimeout is how long a script waits for an event before it fails.
const waitTimeout = 30 * time.Second

// TestMain lets the scripts in testdata run the programs as processes of their own.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"fuchsiapick": func() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"standin":     func() { os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"pausechild":  pauseChild,
	})
}

func TestScript(t *testing.T) {
	p := scriptParams()
	p.Dir = "testdata/script"
	testscript.Run(t, p)
}

// scriptParams returns the setup and the commands of the scripts.
func scriptParams() testscript.Params {
	return testscript.Params{
		Setup: func(env *testscript.Env) error {
			root, err := os.Getwd()
			env.Setenv("EXAMPLES", root+"/../examples")
			s := newSession()
			env.Values[sessionKey{}] = s
			env.Defer(func() { s.checkEnds(env.T()) })
			stalls.start()
			return err
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"ports":   setFreePorts,
			"publish": publishValue,
			"restore": restoreValue,
			"backup":  postAction("backup"),
			"rewind":  postAction("rewind"),
			"fill":    expandFiles,
			"await":   awaitStatus,
			"send":    sendRequest,

			"configure":  writeSettings,
			"start":      startProcess,
			"sigstop":    sendSignals(syscall.SIGSTOP),
			"sigcont":    sendSignals(syscall.SIGCONT),
			"sigkill":    sendSignals(syscall.SIGKILL),
			"sigterm":    sendSignals(syscall.SIGTERM),
			"sigint":     sendSignals(syscall.SIGINT),
			"sighup":     sendSignals(syscall.SIGHUP),
			"hangup":     reloadUnlessEnded,
			"garbage":    sendGarbage,
			"halve":      halveFile,
			"complete":   completeFile,
			"unread":     stopReading,
			"occupy":     occupyPort,
			"idle":       openIdle,
			"ended":      awaitExit,
			"lastline":   checkLastLine,
			"logged":     awaitLogLine,
			"relay":      setMode,
			"mode":       setMode,
			"fault":      setFault,
			"limit":      nameLimit,
			"paced":      checkPace,
			"crash":      crashBackend,
			"ledger":     awaitLedger,
			"next":       setNextBegun,
			"calls":      checkPlatformCalls,
			"same":       awaitSameLines,
			"atmost":     checkLineCount,
			"zero":       checkZero,
			"lacks":      awaitNoLine,
			"load":       sendLoad,
			"begin":      beginLoad,
			"steady":     steadyLoad,
			"keep":       keepAliveLoad,
			"clients":    startClients,
			"newcomers":  startNewcomers,
			"latecomers": checkLatecomers,
			"flood":      floodNode,
			"hold":       holdConnections,
			"endless":    serveEndless,
			"flow":       beginEndless,
			"peak":       checkPeak,
			"join":       joinLoad,
			"judge":      checkLedgers,
			"timely":     checkTimely,
			"rest":       pause,
			"gone":       awaitEnd,
			"recovered":  awaitRecovery,
			"versions":   checkVersions,
			"calm":       checkGracefulExit,
			"shutdowns":  checkShutdowns,
		},
	}
}

// setFreePorts implements "ports NAME...": it sets each variable to a free loopback
// address.
func setFreePorts(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		ts.Setenv(name, freePort(ts))
	}
}

// expandFiles implements "fill FILE...": it expands the $VARIABLES in the files.
func expandFiles(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

// publishValue implements "publish PLATFORM KEY VERSION FILE": it publishes a value on
// the stand-in platform, which rejects a version that is not above the one that it has.
func publishValue(ts *testscript.TestScript, _ bool, args []string) {
	postValue(ts, "publish", args)
}

// restoreValue implements "restore PLATFORM KEY VERSION FILE": it sets a value of any
// version, as if the platform were restored from a backup.
func restoreValue(ts *testscript.TestScript, _ bool, args []string) {
	postValue(ts, "restore", args)
}

func postValue(ts *testscript.TestScript, action string, args []string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + args[0] + "/standin/" + action + "?key=" + args[1] + "&version=" + args[2])
	request.SetBodyString(ts.ReadFile(args[3]))
	ts.Check(fasthttp.DoTimeout(request, response, waitTimeout))
	if response.StatusCode() != fasthttp.StatusNoContent {
		ts.Fatalf("got %d %s, want %d", response.StatusCode(), response.Body(), fasthttp.StatusNoContent)
	}
}

// awaitStatus implements "await STATUS URL [TEXT]": it requests the URL until the answer
// has the status and contains the text. "! await" sends one request and fails if the
// answer has both.
func awaitStatus(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		status, body, err := fasthttp.GetTimeout(nil, args[1], waitTimeout)
		ts.Check(err)
		if fmt.Sprint(status) == args[0] && (len(args) < 3 || strings.Contains(string(body), args[2])) {
			ts.Fatalf("got %s, want another answer", strings.Join(args, " "))
		}
		return
	}
	poll(ts, strings.Join(args, " "), func() (string, bool) {
		status, body, err := fasthttp.GetTimeout(nil, args[1], time.Second)
		got := fmt.Sprintf("%d %v %s", status, err, body)
		return got, fmt.Sprint(status) == args[0] && (len(args) < 3 || strings.Contains(string(body), args[2]))
	})
}

// sendRequest implements "send METHOD URL [BODY]": it sends one request and prints its
// status, outcome and reason, and the name of the backend server without its number.
func sendRequest(ts *testscript.TestScript, _ bool, args []string) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(args[0])
	request.SetRequestURI(args[1])
	request.Header.Set(entry.HeaderCaller, "hotel-ortigia")
	if len(args) > 2 {
		request.SetBodyString(args[2])
	}
	ts.Check(fasthttp.DoTimeout(request, response, waitTimeout))
	backend := response.Header.Peek("Backend")
	_, err := fmt.Fprintf(ts.Stdout(), "%d outcome=%s reason=%s by=%s\n", response.StatusCode(),
		response.Header.Peek(entry.HeaderOutcome), response.Header.Peek(entry.HeaderReason),
		strings.TrimRight(string(backend), "-0123456789"))
	ts.Check(err)
}
