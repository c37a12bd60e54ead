package logging_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/logging"
)

// A condition that is evaluated at each request would fill the log. Only one
// line a second must remain for each cause, and the lines must account for those left out.
func TestRepeatedLinesCarryTheirNumber(t *testing.T) {
	now := time.Unix(100, 0)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(logging.NewLimiter(&logrus.JSONFormatter{}, 1<<30, func() time.Time { return now }))
	for range 10 {
		for range 600 {
			for _, upstream := range []string{"a", "b"} {
				logging.Repeatable(log.WithField("upstream", upstream)).Warn("kept in use under the floor")
			}
			log.Info("request not served")
		}
		now = now.Add(time.Second)
	}
	if got := strings.Count(out.String(), "kept in use"); got != 20 {
		t.Errorf("got %d lines in 10 s, want 10 for each of 2 upstreams", got)
	}
	if got := strings.Count(out.String(), `"suppressed":599`); got != 18 {
		t.Errorf("got %d lines with 599 suppressed, want all but the first of each upstream", got)
	}
	if got := strings.Count(out.String(), "request not served"); got != 6000 {
		t.Errorf("got %d lines on single requests, want all 6000", got)
	}
}

// Who looks for a fault at level debug needs every line.
func TestNoRepeatedLineIsDroppedAtDebug(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetLevel(logrus.DebugLevel)
	log.SetFormatter(logging.NewLimiter(&logrus.JSONFormatter{}, 1<<30, time.Now))
	for range 50 {
		logging.Repeatable(log.WithField("peer", "catania")).Warn("link refused")
	}
	if got := strings.Count(out.String(), "link refused"); got != 50 {
		t.Errorf("got %d lines, want all 50", got)
	}
}

// Guards against a fault whose last lines are left out without a trace, and against causes
// that are mistaken for each other.
func TestOmissionsAreReportedOnce(t *testing.T) {
	r := logging.NewRepeats()
	good, lost := logging.Cause{Message: "path changed", Path: "good"}, logging.Cause{Message: "path changed", Path: "lost"}
	for _, tt := range []struct {
		at    clock.Millis
		cause logging.Cause
		want  bool
	}{{0, good, true}, {100, lost, true}, {200, good, false}, {1050, lost, false}, {-clock.Minute, lost, true}} {
		if _, got := r.Allow(tt.at, tt.cause); got != tt.want {
			t.Errorf("%v, %s: got printed %v, want %v", tt.at, tt.cause.Path, got, tt.want)
		}
	}
	if got := r.TakeOmissions(900); len(got) != 0 {
		t.Errorf("got %v, want none while the next line may carry them", got)
	}
	if got := r.TakeOmissions(1000); len(got) != 1 || got[0] != (logging.Omission{Cause: good, Lines: 1}) {
		t.Errorf("got %v, want the line that followed within a second", got)
	}
	if got := r.TakeOmissions(clock.Hour); len(got) != 0 {
		t.Errorf("got %v, want none a second time", got)
	}
}

// Causes without end, such as the addresses of a scan, must not take memory without bound.
func TestCausesAreBounded(t *testing.T) {
	r := logging.NewRepeats()
	const causes = 10_000
	for range 2 {
		for i := range causes {
			r.Allow(0, logging.Cause{Peer: fmt.Sprint(i)})
		}
	}
	for i := range causes {
		r.Allow(1, logging.Cause{Peer: fmt.Sprint(i)})
		r.Allow(2, logging.Cause{Peer: fmt.Sprint(i)})
	}
	if got := len(r.TakeOmissions(clock.Hour)); got == 0 || got > 1024 {
		t.Errorf("got %d causes, want at most 1024", got)
	}
}
