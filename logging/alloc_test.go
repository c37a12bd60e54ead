package logging_test

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/logging"
)

// mostAllocations bounds a line of ten fields: map, entry, JSON and the copy for the
// queue. Fifty were counted.
const mostAllocations = 60

// A fault that refuses all requests writes a line for each. Lines that cost ten times
// as much would be a load of their own, on a third of a core.
func TestLineAllocates(t *testing.T) {
	w := logging.NewWriter(io.Discard)
	defer w.Close(time.Second)
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(logging.NewLimiter(&logrus.JSONFormatter{}, 1<<30, time.Now))
	got := testing.AllocsPerRun(200, func() {
		log.WithFields(logrus.Fields{
			"request": "9c41d07be2a35f68", "caller": "conferme", "service": "squadre", "route": "/crews/", "upstream": "i-7f3a91c2",
			"outcome": "not-run", "reason": "full", "status": 503, "attempts": 4, "took": "120ms",
		}).Info("request not served")
	})
	t.Logf("%.0f allocations a line", got)
	if got > mostAllocations {
		t.Errorf("got %.0f allocations a line, want %d at most", got, mostAllocations)
	}
	over := logrus.New()
	over.SetOutput(w)
	over.SetFormatter(logging.NewLimiter(&logrus.JSONFormatter{}, 0, time.Now))
	if got := testing.AllocsPerRun(200, func() { over.Info("request not served") }); got > 4 {
		t.Errorf("got %.0f allocations for a line over the rate, want 4 at most", got)
	}
}
