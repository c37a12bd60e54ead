// Package lines writes log lines without ever holding up the process: a bounded
// queue in front of the output, and a bound on how many lines of one kind are
// written in a second. What is left out is counted and said.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// queueSize bounds the lines that wait for the output: some megabytes, and
	// seconds of a busy node's lines while the output is stuck.
	queueSize = 4096
	// DefaultRate is how many lines with one message are written in a second. A
	// node of today's deployments has some ten requests a second; one at the size
	// to design for has 1,400, and a fault that refuses all of them must not turn
	// into a load of its own.
	DefaultRate = 200
	// reportInterval is how often left out lines are said.
	reportInterval = 5 * time.Second
)

// Writer hands lines to an output from a goroutine of its own. Writes never block:
// a line that finds the queue full is left out. It is safe for concurrent use.
type Writer struct {
	out       io.Writer
	queue     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Uint64
}

// NewWriter starts a writer. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, queueSize), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.queue {
		// An output that fails takes nothing more, and there is none left to
		// say so on.
		_, _ = w.out.Write(line)
	}
}

// Write queues a line. It reports it as written also if it is left out: a logger
// that is told of an error writes that to the standard error, line by line.
func (w *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines found the queue full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued and ends the writer, at the latest after the span:
// an output that is stuck must not hold up the end of the process. Nothing may be
// written after it.
func (w *Writer) Close(within time.Duration) {
	w.closeOnce.Do(func() { close(w.queue) })
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// Limiter is a formatter that leaves out lines beyond a rate for each message. It
// is safe for concurrent use.
type Limiter struct {
	formatter logrus.Formatter
	rate      int
	now       func() time.Time

	dropped atomic.Uint64
	mu      sync.Mutex
	second  int64
	counts  map[string]int
	skipped map[string]uint64
}

// NewLimiter wraps a formatter.
func NewLimiter(formatter logrus.Formatter, rate int, now func() time.Time) *Limiter {
	return &Limiter{formatter: formatter, rate: rate, now: now, counts: map[string]int{}, skipped: map[string]uint64{}}
}

// Format writes an entry, or nothing for one beyond the rate. Warnings and errors
// count like others: the same one a thousand times tells no more than once.
func (l *Limiter) Format(e *logrus.Entry) ([]byte, error) {
	if !l.allow(e.Message) {
		return nil, nil
	}
	return l.formatter.Format(e)
}

func (l *Limiter) allow(message string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.now().Unix(); second != l.second {
		l.second = second
		clear(l.counts)
	}
	l.counts[message]++
	if l.counts[message] <= l.rate {
		return true
	}
	l.skipped[message]++
	l.dropped.Add(1)
	return false
}

// DropCounts counts the lines that a writer and its limiter have left out. One without
// them counts none.
type DropCounts struct {
	Writer  *Writer
	Limiter *Limiter
}

// Dropped counts those that found the output busy, and those over the rate.
func (l DropCounts) Dropped() (busy, rate uint64) {
	if l.Writer != nil {
		busy = l.Writer.Dropped()
	}
	if l.Limiter != nil {
		rate = l.Limiter.dropped.Load()
	}
	return busy, rate
}

// Skipped returns how many lines of each message were left out since the last
// call.
func (l *Limiter) Skipped() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.skipped
	l.skipped = map[string]uint64{}
	return out
}

// Report logs what was left out, every few seconds, until done is closed.
func Report(done <-chan struct{}, log logrus.FieldLogger, w *Writer, l *Limiter) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	said := uint64(0)
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		for message, count := range l.Skipped() {
			log.WithFields(logrus.Fields{"of": message, "lines": count}).Warn("log lines left out, over the rate")
		}
		if dropped := w.Dropped(); dropped > said {
			log.WithField("lines", dropped-said).Warn("log lines left out, the output was busy")
			said = dropped
		}
	}
}
