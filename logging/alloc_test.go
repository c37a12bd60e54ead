package logging_test

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/logging"
)

// maxAllocations is the maximum number of allocations for a line with ten fields: map, entry,
// JSON and the copy for the queue take about fifty.
const maxAllocations = 60

// A fault that refuses all requests logs a line for each. If lines cost ten times as much, the
// log alone would take a third of a core.
func TestAllocationsPerLine(t *testing.T) {
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
	t.Logf("%.0f allocations per line", got)
	if got > maxAllocations {
		t.Errorf("got %.0f allocations per line, want at most %d", got, maxAllocations)
	}
	limited := logrus.New()
	limited.SetOutput(w)
	limited.SetFormatter(logging.NewLimiter(&logrus.JSONFormatter{}, 0, time.Now))
	if got := testing.AllocsPerRun(200, func() { limited.Info("request not served") }); got > 4 {
		t.Errorf("got %.0f allocations for a line beyond the rate, want at most 4", got)
	}
}
