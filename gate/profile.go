package gate

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// minShedShare is the share of shed runs from which an entry that chooses a slot for a retry
// is told. Below it the share is mostly scatter, and the entry takes it for 0.
const minShedShare = 0.05

// profile returns what the gate has learned about its upstream. It is called with the gate's
// lock held.
func (g *Gate) profile(now clock.Millis) *wire.UpstreamProfile {
	return &wire.UpstreamProfile{Upstream: g.upstream.Name, Speed: 1, Shed: wire.RoundFloat(g.shed.Share(now))}
}

// retryProfile returns the profile to send before the reservation for a retry, so that the
// entry can choose among the gates that reserve a slot, or nil if the entry needs none. It is
// called with the gate's lock held.
func (g *Gate) retryProfile(now clock.Millis, probe *wire.CapacityProbe) *wire.UpstreamProfile {
	if !probe.Retry || g.service.Placement != table.PlaceByCost || g.config.SendProfile == nil || g.shed.Share(now) < minShedShare {
		return nil
	}
	return g.profile(now)
}
