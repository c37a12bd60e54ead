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

// blockedOutput is an output whose writes block until the channel unblock is closed.
type blockedOutput struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// The reader of the log stops reading, so that writes to the output block. Requests must not
// wait for it: lines are dropped and counted, and the queued ones are written later.
func TestBlockedOutputDoesNotBlockWrites(t *testing.T) {
	out := &blockedOutput{unblock: make(chan struct{})}
	w := logging.NewWriter(out)
	const sent = 10_000
	for range sent {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("got %d and error %v, want the line accepted", n, err)
		}
	}
	close(out.unblock)
	w.Close(time.Minute)
	got := uint64(strings.Count(out.written.String(), "line\n"))
	if got+w.Dropped() != sent || got == 0 || w.Dropped() == 0 {
		t.Errorf("got %d lines written and %d dropped, want %d in total and some of each", got, w.Dropped(), sent)
	}
}

// A fault refuses every request of a busy node and logs a line for each. The repeated message
// must be limited, and lines with other messages must still be written.
func TestRepeatedMessageIsLimited(t *testing.T) {
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
		t.Errorf("got %d lines, want 3 with one message and 1 with another:\n%s", got, out.String())
	}
	if got := limiter.Skipped()["request not served"]; got != 7 {
		t.Errorf("got %d lines counted as dropped, want 7", got)
	}
	now = now.Add(time.Second)
	log.Info("request not served")
	if got := strings.Count(out.String(), "\n"); got != 5 {
		t.Errorf("got %d lines a second later, want 5", got)
	}
}
