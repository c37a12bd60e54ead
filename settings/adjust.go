package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/document"
)

// adjust replaces the values that are out of their bounds and have a safe meaning, those that a platform
// renders from figures of its own, and adds a warning for each. What it leaves, check refuses.
func (s *Settings) adjust(doc *document.Document) {
	root := doc.Root
	s.adjustName(root)
	s.roundDuration(doc, root, "grace", &s.Grace)
	s.limitDuration(root, "grace", &s.Grace, 0, MaxGrace)
	if lingerMax := max(s.Grace/2, 0); s.Linger > lingerMax {
		s.warn(root, "linger", s.Linger, "half of grace", lingerMax)
		s.Linger = lingerMax
	}
	platform, policy := root.Field("platform"), root.Field("policy")
	s.roundDuration(doc, platform, "fresh", &s.Platform.MaxStaleness)
	s.roundDuration(doc, policy, "window", &s.Policy.Window)
	s.limitDuration(platform, "fresh", &s.Platform.MaxStaleness, MinMaxStaleness, MaxPollInterval)
	if s.Policy.Window > MaxWindow {
		// The same budget in a shorter window allows no more retries in any longer one.
		s.Policy.Extra *= MaxWindow.Seconds() / s.Policy.Window.Seconds()
		s.warn(policy, "window", s.Policy.Window, MaxWindow, fmt.Sprintf("%v with extra %v", MaxWindow, s.Policy.Extra))
		s.Policy.Window = MaxWindow
	}
	s.limitNumber(policy, "retries", &s.Policy.Retries, 1)
	s.limitNumber(policy, "extra", &s.Policy.Extra, MaxExtra)
	s.adjustPeers(root)
	s.adjustMetrics(root.Field("listen"))
}

func (s *Settings) warn(n *document.Node, key string, value, allowed, inForce any) {
	s.Warnings = append(s.Warnings, document.Fault{
		Line: n.LineOf(key), Where: n.Where(key),
		Problem: fmt.Sprintf("%v is out of bounds, %v is in force", value, inForce),
		Allowed: fmt.Sprint(allowed),
	})
}

// adjustName replaces a name that is missing or can't be one: it only stands in logs and reports.
func (s *Settings) adjustName(root *document.Node) {
	if document.IsName(s.Node) {
		return
	}
	address, err := netip.ParseAddrPort(s.Listen.Link)
	if err != nil {
		return
	}
	name := "node-" + replaceInName(address.Addr().Unmap().StringExpanded())
	if !document.IsName(name) {
		return
	}
	s.warn(root, "node", document.Quote(s.Node), "a name", name)
	s.Node = name
}

// keepDomain accepts any text as the domain of a node whose platform names the domains of all upstreams
// itself: registrations have them without a check, and the node's own must be the same.
func (s *Settings) keepDomain(doc *document.Document) {
	if s.Platform.Form != FormStore || s.Domain == "" || document.IsName(s.Domain) {
		return
	}
	doc.Forgive(doc.Root, "domain")
	s.warn(doc.Root, "domain", document.Quote(s.Domain), "a name", "it")
}

// replaceInName replaces the characters of an address that names can't have.
func replaceInName(address string) string {
	name := []byte(address)
	for i, c := range name {
		if c == ':' || c == '%' {
			name[i] = '-'
		}
	}
	return string(name)
}

// roundDuration accepts a duration that is finer than a millisecond, and rounds it down.
func (s *Settings) roundDuration(doc *document.Document, n *document.Node, key string, value *clock.Millis) {
	text, _ := n.Field(key).Text()
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d%time.Millisecond == 0 {
		return
	}
	*value = clock.FromDuration(d)
	doc.Forgive(n, key)
	s.warn(n, key, d, "whole milliseconds", *value)
}

// limitDuration moves a duration that isn't negative into its bounds.
func (s *Settings) limitDuration(n *document.Node, key string, value *clock.Millis, lower, upper clock.Millis) {
	if limited := min(max(*value, lower), upper); *value >= 0 && limited != *value {
		s.warn(n, key, *value, fmt.Sprintf("%v to %v", lower, upper), limited)
		*value = limited
	}
}

// limitNumber lowers a number to its upper bound.
func (s *Settings) limitNumber(n *document.Node, key string, value *float64, upper float64) {
	if *value > upper {
		s.warn(n, key, *value, fmt.Sprintf("0 to %v", upper), upper)
		*value = upper
	}
}

// adjustPeers leaves out peers that can't be dialled, those given twice, and those beyond MaxPeers. Any
// of the others serves a starting node.
func (s *Settings) adjustPeers(root *document.Node) {
	var kept []string
	for _, peer := range s.Peers {
		address, err := netip.ParseAddrPort(peer)
		ip := address.Addr()
		isDialable := err == nil && address.Port() > 0 && !ip.IsUnspecified() && ip.Zone() == ""
		if isDialable && !slices.Contains(kept, peer) && len(kept) < MaxPeers {
			kept = append(kept, peer)
			continue
		}
		s.warn(root, "peers", document.Quote(peer), fmt.Sprintf("up to %d addresses, each once", MaxPeers), "it is left out")
	}
	if len(kept) < len(s.Peers) {
		s.Peers = kept
	}
}

// adjustMetrics leaves out the address for metrics alone if it can't be one, or is another port's.
func (s *Settings) adjustMetrics(listen *document.Node) {
	metrics := s.Listen.Metrics
	if metrics == "" {
		return
	}
	address, err := netip.ParseAddrPort(metrics)
	isTaken := slices.Contains([]string{s.Listen.Caller, s.Listen.Link, s.Listen.Admin}, metrics) && address.Port() != 0
	if err == nil && address.Addr().Zone() == "" && !isTaken {
		return
	}
	s.warn(listen, "metrics", document.Quote(metrics), "an address of its own", "no port for metrics alone")
	s.Listen.Metrics = ""
}
