// Package logging writes log lines without blocking the process. Lines wait for the output in
// a bounded queue, and the number of lines per second with the same message, and with the
// same message and cause, is limited. Dropped lines are counted and reported.
package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// queueSize is the maximum number of lines that wait for the output: a few megabytes,
	// or a few seconds of a busy node's lines while the output is blocked.
	queueSize = 4096
	// DefaultRate is the maximum number of lines with the same message per second. A node
	// of present deployments has about ten requests per second; the design target is 1,400,
	// and a fault that refuses all of them must not cause further load by its log lines.
	DefaultRate = 200
	// reportInterval is the interval between reports of dropped lines.
	reportInterval = 5 * time.Second
)

// Writer writes lines to an output from its own goroutine. Write never blocks: if the queue is
// full, it drops the line. A Writer is safe for concurrent use.
type Writer struct {
	out       io.Writer
	queue     chan []byte
	done      chan struct{}
	closeOnce sync.Once
	dropped   atomic.Uint64
}

// NewWriter starts a Writer. Close stops it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, queueSize), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.queue {
		// The error of a failed output is ignored, since there is no other output to
		// report it to.
		_, _ = w.out.Write(line)
	}
}

// Write queues a line. It reports a dropped line as written, since the logger would write an
// error to the standard error output for each of them.
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

// Dropped returns the number of lines dropped because the queue was full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and stops the Writer. It returns after the timeout at the
// latest, so that a blocked output does not delay the end of the process. Write must not be
// called after Close.
func (w *Writer) Close(timeout time.Duration) {
	w.closeOnce.Do(func() { close(w.queue) })
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// Limiter is a formatter that drops lines beyond a rate per message, and lines marked by
// Repeatable that repeat one of the last second. It is safe for concurrent use.
type Limiter struct {
	formatter logrus.Formatter
	rate      int
	now       func() time.Time

	dropped  atomic.Uint64
	repeated atomic.Uint64
	mu       sync.Mutex
	second   int64
	counts   map[string]int
	skipped  map[string]uint64
	repeats  *Repeats
}

// NewLimiter returns a Limiter around a formatter. The rate is the maximum number of lines
// per second with the same message.
func NewLimiter(formatter logrus.Formatter, rate int, now func() time.Time) *Limiter {
	return &Limiter{
		formatter: formatter, rate: rate, now: now,
		counts: map[string]int{}, skipped: map[string]uint64{}, repeats: NewRepeats(),
	}
}

// Format formats an entry, or returns nothing for an entry beyond the rate. It changes the
// entry's fields, which a logger copies for each line. Warnings and errors are limited like
// other lines: a thousand repetitions of a message add no information.
func (l *Limiter) Format(e *logrus.Entry) ([]byte, error) {
	suppressed, ok := l.allowRepeated(e)
	if !ok || !l.allow(e.Message) {
		return nil, nil
	}
	if suppressed > 0 {
		e.Data[suppressedField] = suppressed
	}
	return l.formatter.Format(e)
}

// suppressedField is the number of lines left out since the last one with the same cause.
const suppressedField = "suppressed"

// allowRepeated reports whether an entry isn't left out as a repetition, and how many
// entries before it were.
func (l *Limiter) allowRepeated(e *logrus.Entry) (suppressed uint64, ok bool) {
	if !takeMark(e) {
		return 0, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	suppressed, ok = l.repeats.Allow(clock.Millis(l.now().UnixMilli()), causeOf(e))
	if !ok {
		l.repeated.Add(1)
	}
	return suppressed, ok
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

// DropCounts counts the lines that a Writer and a Limiter have dropped. Either may be nil and
// then counts as zero.
type DropCounts struct {
	Writer  *Writer
	Limiter *Limiter
}

// Dropped returns the number of lines dropped because the output was busy, of those beyond
// the rate, and of those that repeated another one.
func (d DropCounts) Dropped() (busy, rate, repeated uint64) {
	if d.Writer != nil {
		busy = d.Writer.Dropped()
	}
	if d.Limiter != nil {
		rate, repeated = d.Limiter.dropped.Load(), d.Limiter.repeated.Load()
	}
	return busy, rate, repeated
}

// Skipped returns the number of lines dropped per message since the last call.
func (l *Limiter) Skipped() map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	skipped := l.skipped
	l.skipped = map[string]uint64{}
	return skipped
}

func (l *Limiter) takeOmissions() []Omission {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.repeats.TakeOmissions(clock.Millis(l.now().UnixMilli()))
}

// Report logs the numbers of dropped lines every reportInterval until done is closed.
func Report(done <-chan struct{}, log logrus.FieldLogger, w *Writer, l *Limiter) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := uint64(0)
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		for _, o := range l.takeOmissions() {
			log.WithFields(o.fields()).Warn("log lines left out, they repeated the last one")
		}
		for message, count := range l.Skipped() {
			log.WithFields(logrus.Fields{"of": message, "lines": count}).Warn("log lines left out, over the rate")
		}
		if dropped := w.Dropped(); dropped > reported {
			log.WithField("lines", dropped-reported).Warn("log lines left out, the output was busy")
			reported = dropped
		}
	}
}
