package report_test

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/report"
	"fuchsiapick.example/fuchsiapick/table"
)

// Link addresses of the fixture's nodes. The node messina doesn't answer.
const (
	palermo = "10.1.0.1:7301"
	catania = "10.2.0.1:7301"
	messina = "10.3.0.1:7301"
)

// hostileCaller is a caller's name with an escape sequence and a script, which a terminal or
// a browser must not interpret.
const hostileCaller = "\x1b[31m<script>alert(1)</script>"

var services = []table.Service{
	{Name: "bacheca", Objective: table.Objective{Availability: 0.999, Latency: 250, LatencyRatio: 0.99}},
	{Name: "conferme", Objective: table.Objective{Availability: 0.9995, Latency: 400, LatencyRatio: 0.95}},
}

// node records requests in an access log under a simulated clock.
type node struct {
	*access.Log

	now clock.Millis
	seq int
}

// finishRequests records count finished requests, one per second of the node's clock.
func (n *node) finishRequests(count int, r access.Record) {
	for range count {
		n.now += clock.Second
		n.seq++
		n.RequestReceived()
		r.ID = fmt.Sprintf("%s-%04d", r.Caller[:1], n.seq)
		r.Started = n.now - r.Took
		n.RequestFinished(n.now, r)
	}
}

func served(caller, service, upstream string, took clock.Millis) access.Record {
	return access.Record{
		Caller: caller, Service: service, Upstream: upstream, Route: "/" + service, Domain: "palermo",
		Method: "GET", Outcome: access.Served, Attempts: 1, Status: 200, Took: took,
	}
}

func refused(caller, service, upstream, reason string, outcome access.Outcome) access.Record {
	return access.Record{
		Caller: caller, Service: service, Upstream: upstream, Route: "/" + service, Domain: "catania",
		Method: "POST", Outcome: outcome, Reason: reason, Attempts: 2, Status: 503, Took: 180,
	}
}

func upstream(service string, i int, link, domain, state string) access.UpstreamState {
	return access.UpstreamState{
		Service: service, Name: fmt.Sprintf("%s-%d", service, i), Domain: domain, Node: link,
		State: state, Weight: 10, Slots: 3, InFlight: i % 3,
	}
}

// upstreamStates returns the states of all upstreams as one node sees them: those at messina
// as unreachable if messinaLost is set, and bacheca-4 in the given state.
func upstreamStates(messinaLost bool, bacheca4 string) []access.UpstreamState {
	atMessina := access.StateInUse
	if messinaLost {
		atMessina = access.StateUnreachable
	}
	off := upstream("conferme", 3, palermo, "palermo", access.StateOff)
	off.Weight = 0
	return []access.UpstreamState{
		upstream("bacheca", 1, palermo, "palermo", access.StateInUse),
		upstream("bacheca", 2, messina, "messina", atMessina),
		upstream("bacheca", 3, palermo, "palermo", access.StateLeaving),
		upstream("bacheca", 4, catania, "catania", bacheca4),
		upstream("conferme", 1, messina, "messina", atMessina),
		upstream("conferme", 2, catania, "catania", access.StateInUse),
		off,
	}
}

func palermoNode() access.Snapshot {
	n := &node{Log: access.New(access.Config{Records: 200, Callers: 5})}
	n.SetServices(services)
	n.RecordEvent(access.Event{At: 2 * clock.Second, Kind: access.TableAccepted, Reason: "version 7"})
	n.finishRequests(9000, served("clinica-etna", "bacheca", "bacheca-1", 40))
	n.finishRequests(400, served("hotel-aretusa", "conferme", "conferme-2", 90))
	n.finishRequests(60, served("hotel-aretusa", "bacheca", "bacheca-4", 700))
	serverError := served("hotel-aretusa", "bacheca", "bacheca-4", 30)
	serverError.Status = 500
	n.finishRequests(4, serverError)
	n.RecordEvent(access.Event{At: n.now, Kind: access.PathLost, Node: messina, Reason: "unreachable"})
	n.finishRequests(25, refused("ufficio-noto", "bacheca", "", access.ReasonCallerLimit, access.NotRun))
	n.finishRequests(12, refused("hotel-aretusa", "bacheca", "bacheca-4", "set-aside", access.NotRun))
	n.finishRequests(2, refused("clinica-etna", "conferme", "conferme-1", "timeout", access.Unknown))
	n.RecordEvent(access.Event{
		At: n.now, Kind: access.ForcedUnderFloor, Service: "bacheca", Upstream: "bacheca-4", Node: catania, Reason: "floor",
	})
	n.finishRequests(300, served("clinica-etna", "bacheca", "bacheca-2", 35))
	n.RecordEvent(access.Event{At: n.now, Kind: access.TableOlder, Reason: "version 5, below 7"})
	n.RequestReceived()
	s := n.Snapshot(n.now, access.Filter{})
	s.Name, s.Node, s.Domain, s.Table, s.Upstreams = "palermo-1", palermo, "palermo", 7, upstreamStates(true, access.StateForced)
	s.Retries = []access.ServiceRetries{{Service: "bacheca", Used: 3, Bound: 4.4, RetryCounts: access.RetryCounts{Granted: 31, Quota: 2, LikelyFails: 5, Priority: 1}}}
	return s
}

func cataniaNode() access.Snapshot {
	n := &node{Log: access.New(access.Config{Start: clock.Hour}), now: clock.Hour}
	n.SetServices(services)
	n.finishRequests(300, served("clinica-etna", "conferme", "conferme-2", 80))
	ejected := access.Event{
		At: n.now, Kind: access.Ejected, Service: "conferme", Upstream: "conferme-2", Node: catania,
		Until: n.now + 60*clock.Second, Reason: "its requests are slower than the service's",
		Evidence: access.Evidence{Outcomes: 55, Slow: 21, Overdue: 2, Score: 9.4, Threshold: 9.2, BaselineLatency: 85},
	}
	n.RecordEvent(ejected)
	for _, kind := range []access.EventKind{access.Trial, access.Ramp, access.Restored} {
		n.finishRequests(60, served("scuola-gela", "conferme", "conferme-1", 70))
		n.RecordEvent(access.Event{At: n.now, Kind: kind, Service: "conferme", Upstream: "conferme-2", Node: catania})
	}
	ejected.Service, ejected.Upstream, ejected.Reason = "bacheca", "bacheca-4", "its share of failures is above the service's"
	ejected.Evidence = access.Evidence{Outcomes: 40, Failed: 12, Score: 9.8, Threshold: 9.2, BaselineFailed: 0.004}
	ejected.At, ejected.Until = n.now, n.now+30*clock.Second
	n.RecordEvent(ejected)
	n.finishRequests(30, served("scuola-gela", "bacheca", "bacheca-1", 50))
	n.RecordEvent(access.Event{At: n.now, Kind: access.Trial, Service: "bacheca", Upstream: "bacheca-4", Node: catania})
	ejected.At, ejected.Until = n.now+2*clock.Second, n.now+500*clock.Second
	n.RecordEvent(ejected)
	n.finishRequests(3, refused(hostileCaller, "bacheca", "bacheca-4", "torn-answer", access.Unknown))
	n.finishRequests(400, served("scuola-gela", "bacheca", "bacheca-1", 45))
	n.RecordEvent(access.Event{At: n.now - 20*clock.Second, Kind: access.PlatformLost, Reason: "timeout"})
	s := n.Snapshot(n.now, access.Filter{})
	s.Name, s.Node, s.Domain, s.Table, s.Upstreams = "catania-1", catania, "catania", 6, upstreamStates(false, access.StateEjected)
	return s
}

// results returns the results of a query of three nodes, the last of which timed out.
func results() []report.NodeResult {
	first, second := palermoNode(), cataniaNode()
	return []report.NodeResult{
		{Address: "10.1.0.1:7302", Snapshot: &first},
		{Address: "10.2.0.1:7302", Snapshot: &second},
		{Address: "10.3.0.1:7302", Err: fasthttp.ErrTimeout},
	}
}
