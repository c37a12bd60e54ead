package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is one process of the project, beside one upstream.
type node struct {
	name, ip, service             string
	outbound, inbound, ready, own string
	settings                      string
	cmd                           *exec.Cmd
	ended                         chan struct{}
}

// fleet is a small deployment: nodes, their upstreams and the store.
type fleet struct {
	directory string
	record    *record
	store     *store
	nodes     []*node
	ports     [4]int
}

// newFleet prepares nodes on addresses of their own. All of them use the same ports.
func newFleet(r *record, s *store, services []string) (*fleet, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{directory: directory, record: r, store: s}
	ips := make([]string, 0, len(services))
	for i := range services {
		ips = append(ips, fmt.Sprintf("127.78.%d.%d", os.Getpid()%250, i+1))
	}
	for i := range f.ports {
		if f.ports[i], err = freePort(ips); err != nil {
			return nil, err
		}
	}
	seeds := make([]string, 0, len(ips))
	for _, ip := range ips {
		seeds = append(seeds, fmt.Sprintf("%q", address(ip, f.ports[1])))
	}
	for i, ip := range ips {
		n := &node{
			name: fmt.Sprintf("sidecar-%d", i+1), ip: ip, service: services[i],
			outbound: address(ip, f.ports[0]), inbound: address(ip, f.ports[1]), ready: address(ip, f.ports[2]), own: address(ip, f.ports[3]),
		}
		n.settings = filepath.Join(directory, n.name+".toml")
		text := strings.NewReplacer(
			"@node", n.name, "@zone", fmt.Sprintf("zone-%d", i%3+1), "@service", n.service, "@peers", strings.Join(seeds[:min(len(seeds), 3)], ","),
			"@outbound", n.outbound, "@inbound", n.inbound, "@ready", n.ready, "@store", s.address,
		).Replace(settingsText)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// settingsText is the deploy template as filled in for a small deployment.
const settingsText = `node = "@node"
domain = "@zone"
service = "@service"
grace = "6s"
linger = "2500ms"
beat = "2s"
peers = [@peers]
log = "info"
secret = "a secret of this deployment"

[listen]
caller = "@outbound"
link = "@inbound"
admin = "@ready"

[platform]
address = "@store"
form = "store"
fresh = "2000ms"

[limits]
body = 67108864
answer = 67108864
requests = 1024
records = 2000
memory = 284e6
descriptors = 4100

[policy]
caution = "brief"
floor = 0.3
drain = "0s"
retries = 0.2
extra = 62
window = "10s"
`

func address(ip string, port int) string {
	return net.JoinHostPort(ip, fmt.Sprint(port))
}

// freePort returns a port that is free on all addresses.
func freePort(ips []string) (int, error) {
	for range 100 {
		first, err := net.Listen("tcp", net.JoinHostPort(ips[0], "0"))
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		_ = first.Close()
		isFree := true
		for _, ip := range ips {
			l, err := net.Listen("tcp", address(ip, port))
			if err != nil {
				isFree = false
				break
			}
			_ = l.Close()
		}
		if isFree {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free on all addresses")
}

// start starts the process of a node with the command of the deploy file.
func (f *fleet) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(f.directory, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	n.cmd = exec.Command("target/fuchsiapick", "node")
	n.cmd.Env = []string{"FUCHSIAPICK_CONFIG=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.directory, "LANG=C.UTF-8"}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnThread(n.cmd); err != nil {
		return err
	}
	cmd, ended := n.cmd, make(chan struct{})
	n.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	f.record.add("%s started", n.name)
	return nil
}

// starts are the starts of commands.
var starts = make(chan func())

// startOnThread starts a command on a thread that lives as long as this process: a node ends with the
// thread that has started it, so that it also ends if this process is killed.
func startOnThread(cmd *exec.Cmd) error {
	starter.Do(func() {
		go func() {
			runtime.LockOSThread()
			for start := range starts {
				start()
			}
		}()
	})
	result := make(chan error, 1)
	starts <- func() { result <- cmd.Start() }
	return <-result
}

var starter sync.Once

// startAll starts all nodes and waits until they are ready.
func (f *fleet) startAll() error {
	f.closeOnSignal()
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := f.awaitReady(n, 20*time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) awaitReady(n *node, limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + n.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			f.record.add("%s is ready", n.name)
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %v", n.name, limit)
}

// kill sends SIGKILL and waits for the end of the process.
func (f *fleet) kill(n *node) {
	f.record.add("%s gets SIGKILL", n.name)
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.ended
}

// signal sends a signal to a node.
func (f *fleet) signal(n *node, s syscall.Signal) {
	f.record.add("%s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// editSettings replaces a text in the settings of all nodes.
func (f *fleet) editSettings(old, text string) error {
	for _, n := range f.nodes {
		settings, err := os.ReadFile(n.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(n.settings, []byte(strings.ReplaceAll(string(settings), old, text)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// maxDuration is less than the 120 s that a script may take.
const maxDuration = 110 * time.Second

// closeOnSignal ends all processes if this one is asked to stop, or takes too long.
func (f *fleet) closeOnSignal() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-asked:
		case <-time.After(maxDuration):
		}
		f.close()
		os.Exit(exitNotRun)
	}()
}

// close ends all processes that were started.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.cmd == nil {
			continue
		}
		_ = n.cmd.Process.Kill()
		<-n.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.directory)
	}
}

// answer is what a client got.
type answer struct {
	status int
	body   string
	err    error
	header http.Header
}

// text describes an answer for the record.
func (a *answer) text() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d (%s %s)", a.status, a.header.Get("Fuchsiapick-Outcome"), a.header.Get("Fuchsiapick-Reason"))
}

// request is one client attempt.
type request struct {
	id, method, host, path, key string
	// operation and resend are the headers of docs/callers.md for a request that may be sent again.
	operation, resend string
	timeout           time.Duration
}

// send sends a request on a new connection to a node and waits for the answer.
func send(n *node, r request) answer {
	return sendTo(n.outbound, r)
}

// exchange sends a request on an open connection and waits for the answer.
func exchange(conn net.Conn, reader *bufio.Reader, r request) answer {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nFuchsiapick-Request-Id: %s\r\nFuchsiapick-Deadline-Ms: %d\r\n", r.method, r.path, r.host, r.id, r.timeout.Milliseconds())
	if r.key != "" {
		head += "Authorization: Token " + r.key + "\r\n"
	}
	if r.operation != "" {
		head += "Idempotency-Key: " + r.operation + "\r\n"
	}
	if r.resend != "" {
		head += "Fuchsiapick-Resend: " + r.resend + "\r\n"
	}
	if r.method != http.MethodGet {
		head += "Content-Length: 0\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), err: err, header: response.Header}
}
