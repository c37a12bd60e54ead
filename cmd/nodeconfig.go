package cmd

import (
	"net/netip"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/node"
	"fuchsiapick.example/fuchsiapick/platform"
	"fuchsiapick.example/fuchsiapick/settings"
	"fuchsiapick.example/fuchsiapick/table"
)

// nodeConfig returns the configuration of a node, with the adapter of the platform. The
// table builder is nil unless the settings say that the platform publishes in its own
// form.
func nodeConfig(s *settings.Settings, log *logrus.Logger) (node.Config, *platform.TableBuilder, error) {
	c := node.Config{Settings: s, Log: log}
	if s.Platform.Address != "" {
		c.Store = &platform.Store{Address: s.Platform.Address}
	}
	if s.Platform.Form != settings.FormStore {
		return c, nil, nil
	}
	link, err := netip.ParseAddrPort(s.Listen.Link)
	if err != nil {
		return c, nil, errors.Annotate(err, "reading the link address")
	}
	builder := platform.NewTableBuilder(platform.TableBuilderConfig{
		Policy:   policyDefaults(&s.Policy),
		LinkPort: link.Port(),
		Log:      log,
	})
	adapted := *s // reloads compare the settings as they are written
	adapted.Peers, err = platform.NodesOf(s.Peers, link.Port())
	if err != nil {
		return c, nil, errors.Annotate(err, "reading the seeds")
	}
	c.Settings = &adapted
	c.CallerHeaders = platform.CallerHeaders()
	c.UpstreamHeaders = platform.UpstreamHeaders()
	c.TableBuilder = builder
	return c, builder, nil
}

// policyDefaults returns the service settings that the platform's configuration leaves
// open.
func policyDefaults(p *settings.Policy) table.Service {
	return table.Service{
		Caution:            p.Caution,
		Floor:              p.Floor,
		Drain:              p.Drain,
		RetryRatio:         p.Retries,
		ExtraRetries:       p.Extra,
		RetryWindow:        p.Window,
		Waiting:            p.Waiting,
		Placement:          p.Placement,
		LiftedFingerprints: p.Lift,
		Objective:          table.Objective{Availability: table.DefaultAvailability, LatencyRatio: table.DefaultLatencyRatio},
	}
}
