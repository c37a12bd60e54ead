package entry

import (
	"slices"

	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
)

// logPassedOver logs at debug level why a request leaves this entry's failure domain: the state of
// each upstream in the domain, which would be preferred. The caller holds s.mu.
func (s *service) logPassedOver(now clock.Millis, chosen *member, tried []*member) {
	log, ok := s.log.(*logrus.Entry)
	if !ok || !log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	for i, m := range s.members {
		if m.upstream.Domain != s.domain || slices.Contains(tried, m) {
			continue
		}
		c := s.candidates[i]
		log.WithFields(logrus.Fields{
			"upstream": m.upstream.Name, "chosen": chosen.upstream.Name, "state": m.stateName(now, s.uses[i]),
			"unreachable": m.unreachable, "down": m.state.Down, "usable": c.Usable, "share": c.Share,
			"inflight": c.InFlight, "slots": c.Slots, "age": (now - m.updatedAt).String(),
		}).Debug("upstream in the own failure domain passed over")
	}
}
