package gate

import (
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/wire"
)

// maxLoggedRuns limits the lines about the requests that a gate's process cuts when it ends.
const maxLoggedRuns = 16

// LogUnfinished logs the dispatches that wait or run, for a process that ends with them.
func (g *Gate) LogUnfinished() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Now()
	logged := 0
	for _, j := range g.jobs {
		if logged++; logged > maxLoggedRuns {
			return
		}
		fields := logrus.Fields{
			"request": wire.RequestName(j.dispatch.CallerRequestID, j.dispatch.ID),
			"running": j.running,
			"once":    !j.dispatch.Repeatable,
			"left":    (j.deadline - now).String(),
		}
		if j.running {
			fields["took"] = (now - j.began).String()
		}
		g.log.WithFields(fields).Warn("request cut at the backend server; its node stops")
	}
}
