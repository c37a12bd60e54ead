package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is a process of the project, started with the command of the deploy file.
type node struct {
	name, ip, settings string
	caller, admin      string
	command            *exec.Cmd
	exited             chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	root, folder, binary string
	store                *store
	storeAddress         string
	linkPort             int
	nodes                []*node
	upstreams            []*upstream
	journal              *journal
	stop                 chan struct{}
}

func newFleet(root string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, folder: folder, binary: filepath.Join(root, "target", "fuchsiapick"), store: newStore(), journal: &journal{}, stop: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, f.store) }() // ends with the process
	f.linkPort, err = freePort("127.0.0.1")
	return f, err
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// add adds an upstream and the node beside it. Each machine has a loopback address of its own.
func (f *fleet) add(u *upstream, grace time.Duration) (*node, error) {
	index := len(f.nodes) + 1
	ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%100, 1+os.Getpid()/100%200, index)
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	u.address, u.journal, u.state = l.Addr().String(), f.journal, "ready"
	f.upstreams = append(f.upstreams, u)
	go u.serve(l)
	go u.register(f.store, 1500*time.Millisecond, f.stop)
	var ports [3]int
	for i := range ports {
		if ports[i], err = freePort(ip); err != nil {
			return nil, err
		}
	}
	n := &node{name: fmt.Sprintf("sidecar-%s-%d", u.zone, index), ip: ip, caller: fmt.Sprintf("%s:%d", ip, ports[0]), admin: fmt.Sprintf("%s:%d", ip, ports[1])}
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.toml"))
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer(
		"{{node}}", n.name, "{{zone}}", u.zone, "{{service}}", u.service, "{{bounds.grace}}", fmt.Sprintf("%dms", grace.Milliseconds()),
		`{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, "", "{{listen.outbound}}", n.caller, "{{listen.inbound}}", fmt.Sprintf("%s:%d", ip, f.linkPort),
		"{{listen.ready}}", n.admin, "{{ip}}:9464", fmt.Sprintf("%s:%d", ip, ports[2]), "{{platform.address}}", f.storeAddress,
		"{{bounds.configApply}}", "2000ms", "{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetExtra}}", "62", "{{bounds.budgetWindow}}", "10s",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("the template has a placeholder that this driver doesn't know: %s", text)
	}
	n.settings = filepath.Join(f.folder, n.name+".toml")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	return n, nil
}

func (f *fleet) start(n *node) error {
	log, err := os.OpenFile(filepath.Join(f.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.command = exec.Command(f.binary, "node")
	n.command.Dir = f.root
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIAPICK_CONFIG=" + n.settings}
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // see init
	if err := n.command.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait() // the exit is what counts
		_ = log.Close()
		close(exited)
	}(n.command, n.exited)
	return nil
}

// startAll starts all nodes and waits until they are ready.
func (f *fleet) startAll() error {
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	for _, n := range f.nodes {
		for !isReady(n) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s isn't ready", n.name)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	time.Sleep(3 * time.Second) // registrations have reached all nodes
	return nil
}

func isReady(n *node) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + n.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// end ends all processes and removes the folder.
func (f *fleet) end() {
	close(f.stop)
	for _, n := range f.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Kill() // it may have ended
			<-n.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}
