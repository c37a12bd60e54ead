// Command driver plays the scripts of the review: it starts nodes of the project as separate
// processes, with stand-ins of its own for the platform, the upstreams and the clients.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Exit statuses of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// play is what a script does.
type play struct {
	fleet   *fleet
	results *results
	// isTroubled is false with TROUBLE=0.
	isTroubled bool
	notes      []string
	startedAt  time.Time
}

func (p *play) note(format string, args ...any) {
	p.notes = append(p.notes, fmt.Sprintf("%8.3f  ", time.Since(p.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

var plays = map[string]func(p *play) ([]string, error){"doubled-shed": doubledShed, "sigterm-twice": sigtermTwice}

// timeLimit ends a play that hangs; a script may take 120 s.
const timeLimit = 110 * time.Second

// init keeps main on the process's first thread: nodes are started from there, and the kernel ends
// them with the thread that started them.
func init() {
	runtime.LockOSThread()
}

func main() {
	os.Exit(playOne())
}

// abortOnSignal ends a play early. The nodes end with this process.
func abortOnSignal(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		fmt.Println("not run:", s)
	case <-time.After(timeLimit):
		fmt.Println("not run: over", timeLimit)
	}
	_ = os.RemoveAll(f.folder)
	os.Exit(failed)
}

func playOne() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: driver PLAY ROOT RECORD")
		return failed
	}
	script, ok := plays[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such play")
		return failed
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	go abortOnSignal(f)
	p := &play{fleet: f, results: &results{}, isTroubled: os.Getenv("TROUBLE") != "0", startedAt: time.Now()}
	breaks, err := script(p)
	f.end()
	if recordErr := p.record(os.Args[3], breaks, err); err == nil {
		err = recordErr
	}
	switch {
	case err != nil:
		fmt.Println("not run:", err)
		return failed
	case len(breaks) > 0:
		fmt.Printf("broken, %d times; the first: %s\n", len(breaks), breaks[0])
		return broken
	default:
		fmt.Println("held")
		return held
	}
}

// record writes what was sent, answered and run.
func (p *play) record(path string, breaks []string, failure error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(file)
	at := func(t time.Time) string { return fmt.Sprintf("%8.3f", t.Sub(p.startedAt).Seconds()) }
	fmt.Fprintf(w, "trouble: %v\nfailure: %v\nbroken: %d\n", p.isTroubled, failure, len(breaks))
	for _, b := range breaks {
		fmt.Fprintln(w, "  "+b)
	}
	j := p.fleet.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	p.results.mu.Lock()
	defer p.results.mu.Unlock()
	fmt.Fprintf(w, "answers of upstreams: %d, of them rejections %d, with a late second copy %d\n", j.answers, j.shed, j.doubled)
	fmt.Fprintln(w, "\nnotes")
	for _, n := range p.notes {
		fmt.Fprintln(w, n)
	}
	statuses := map[string]int{}
	for i := range p.results.all {
		one := &p.results.all[i]
		statuses[fmt.Sprintf("%s %d %s", one.Method, one.Status, one.Problem)]++
	}
	fmt.Fprintln(w, "\nanswers")
	keys := make([]string, 0, len(statuses))
	for k := range statuses {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		fmt.Fprintf(w, "%6d  %s\n", statuses[k], k)
	}
	fmt.Fprintln(w, "\nsent and answered: id, node, method, path, sent at, answered at, status, seal")
	for i := range p.results.all {
		one := &p.results.all[i]
		fmt.Fprintln(w, one.ID, one.Node, one.Method, one.Path, at(one.Sent), at(one.Answered), one.Status, one.Seal, one.Problem)
	}
	fmt.Fprintln(w, "\nrun: id, upstream, path, began at, ended at, status")
	for _, r := range j.runs {
		fmt.Fprintln(w, r.ID, r.Upstream, r.Path, at(r.Began), at(r.Ended), r.Status)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return file.Close()
}

// judgeOnce returns how the rules TWICE and REFUSED were broken by requests that may run once.
func (p *play) judgeOnce() []string {
	j := p.fleet.journal
	j.mu.Lock()
	defer j.mu.Unlock()
	p.results.mu.Lock()
	defer p.results.mu.Unlock()
	runs := map[string][]*run{}
	for _, r := range j.runs {
		runs[r.ID] = append(runs[r.ID], r)
	}
	var breaks []string
	for i := range p.results.all {
		one := &p.results.all[i]
		if one.Method == "GET" {
			continue
		}
		ran := runs[one.ID]
		var at []string
		for _, r := range ran {
			at = append(at, r.Upstream)
		}
		if len(ran) > 1 {
			breaks = append(breaks, fmt.Sprintf("TWICE: %s ran %d times, at %s; the client got %d", one.ID, len(ran), strings.Join(at, ", "), one.Status))
		}
		if isPromise := slices.Contains([]int{408, 421, 429, 503}, one.Status); isPromise && len(ran) > 0 {
			breaks = append(breaks, fmt.Sprintf("REFUSED: %s was answered %d and has run, at %s", one.ID, one.Status, strings.Join(at, ", ")))
		}
	}
	slices.SortStableFunc(breaks, func(a, b string) int { return strings.Compare(b[:5], a[:5]) })
	return breaks
}
