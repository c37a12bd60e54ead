package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/logging"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	free  chan struct{}
	mu    sync.Mutex
	wrote bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wrote.Write(p)
}

// Whoever reads the log has stopped reading. Requests must not wait for it: lines
// are left out and counted, and the rest comes out in order when it reads again.
func TestStuckOutputHoldsNothingUp(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	w := logging.NewWriter(out)
	const sent = 10_000
	for range sent {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("got %d and %v, want the line taken", n, err)
		}
	}
	close(out.free)
	w.Close(time.Minute)
	got := uint64(strings.Count(out.wrote.String(), "line\n"))
	if got+w.Dropped() != sent || got == 0 || w.Dropped() == 0 {
		t.Errorf("got %d written and %d left out, want %d together and some of each", got, w.Dropped(), sent)
	}
}

// A fault refuses every request of a busy node. The log must say so without one
// line for each, and other lines must still come through.
func TestOneMessageCannotFillTheLog(t *testing.T) {
	now := time.Unix(100, 0)
	var out bytes.Buffer
	limiter := logging.NewLimiter(&logrus.JSONFormatter{}, 3, func() time.Time { return now })
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(limiter)
	for range 10 {
		log.Info("request not served")
	}
	log.Info("verdict changed")
	if got := strings.Count(out.String(), "\n"); got != 4 {
		t.Errorf("got %d lines, want 3 of one message and 1 of another:\n%s", got, out.String())
	}
	if got := limiter.Skipped()["request not served"]; got != 7 {
		t.Errorf("got %d counted as left out, want 7", got)
	}
	now = now.Add(time.Second)
	log.Info("request not served")
	if got := strings.Count(out.String(), "\n"); got != 5 {
		t.Errorf("got %d lines a second later, want 5", got)
	}
}
