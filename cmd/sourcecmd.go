package cmd

import (
	"hash/fnv"
	"net/netip"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/platform"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
)

// nodeConfig is what a node is made from, with the platform's adapter where the
// settings name it; the source is nil otherwise.
func nodeConfig(s *settings.Settings, log *logrus.Logger) (node.Config, *platform.Source, error) {
	c := node.Config{Settings: s, Log: log}
	if s.Platform.Form != settings.FormStore {
		return c, nil, nil
	}
	link, err := netip.ParseAddrPort(s.Listen.Link)
	if err != nil {
		return c, nil, errors.Annotate(err, "reading the link address")
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(s.Node)) // a hash's Write never fails
	c.CallerHeaders = platform.CallerHeaders()
	c.UpstreamHeaders = platform.UpstreamHeaders()
	source := platform.NewSource(platform.SourceConfig{
		Address: s.Platform.Address,
		Fresh:   s.Platform.Fresh,
		Seed:    seed.Sum64(),
		Log:     log,
		Fleet: platform.FleetConfig{
			Policy:   policyOf(&s.Policy),
			LinkPort: link.Port(),
			Log:      log,
		},
	})
	c.Source = source
	return c, source, nil
}

// policyOf is the service that the platform's own stand on.
func policyOf(p *settings.Policy) table.Service {
	return table.Service{
		Caution:   p.Caution,
		Floor:     p.Floor,
		Drain:     p.Drain,
		Retries:   p.Retries,
		Extra:     p.Extra,
		Window:    p.Window,
		Objective: table.Objective{Availability: table.DefaultAvailability, Within: table.DefaultWithin},
	}
}
