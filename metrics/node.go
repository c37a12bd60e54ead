package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// Readiness tells whether the node takes callers' requests.
type Readiness interface {
	Ready() bool
}

// Platform tells how reading the platform's values goes.
type Platform interface {
	PlatformStats() PlatformStats
}

// PlatformStats counts the calls to the platform since the node started.
type PlatformStats struct {
	// Answered and Failed sum up the calls with a whole answer, and those without.
	Answered, Failed CallStats
	// UpdatesReceived counts what other nodes told in place of a call.
	UpdatesReceived uint64
	// CopyErrors counts lists of all values that showed the copy here to be wrong.
	CopyErrors uint64
	// Revision is the platform's at the last change that is known.
	Revision uint64
	// Age is how long ago what is known was the platform's, once Known.
	IsKnown bool
	Age     clock.Millis
	// Lag is for how long the oldest change that a peer knows has not been read; Late
	// counts when that was longer than an edit may take.
	Lag         clock.Millis
	LateChanges uint64
}

// CallStats sums up calls to the platform.
type CallStats struct {
	Count uint64
	// Bytes are those that came from it, Took the time of all calls.
	Bytes uint64
	Took  clock.Millis
}

// LogDrops tells how many log lines were left out.
type LogDrops interface {
	// Dropped counts those that found the output busy, and those over the rate of
	// their message.
	Dropped() (busy, rate uint64)
}

// Links tells how many links this node has to and from other nodes.
type Links interface {
	Links() LinkCount
}

// LinkCount counts links that are open now.
type LinkCount struct {
	// Peers are the nodes that this one may dial.
	Peers int
	// Dialled are open links that this node opened, Accepted those of others.
	Dialled, Accepted int
}

// Gates tells how the gates beside the node's backend servers do.
type Gates interface {
	GateStates() []GateState
}

// GateState is what one gate itself says of its upstream.
type GateState struct {
	Service, Upstream string
	// Verdict is the gate's own.
	Verdict health.State
	// Leaving upstreams get no new work, whatever the verdict.
	Leaving bool
	// Running requests hold a slot, Waiting ones are in the queue.
	Running, Waiting int
	// Slots and Queue are the most of each, as the table has them.
	Slots, Queue int
	// Retries arrived in the last window, and RetryBound may; both are 0 for a service
	// whose retries the gates don't bound.
	Retries, RetryBound float64
}

// Quotas tells how requests of client accounts with a quota were decided.
type Quotas interface {
	QuotaCounts() QuotaCounts
}

// QuotaCounts counts requests of client accounts since the node started.
type QuotaCounts struct {
	// Granted and Refused are what the accounts' homes decided.
	Granted, Refused uint64
	// Alone and Unknown were admitted and refused while no home could be asked.
	Alone, Unknown uint64
}

var (
	readyDesc = prometheus.NewDesc(namespace+"_ready",
		"1 with a table in force, 0 before that and when leaving.", nil, nil)
	requestsBoundDesc = prometheus.NewDesc(namespace+"_requests_bound",
		"Concurrent requests of callers that the settings allow.", nil, nil)
	platformCallsDesc = prometheus.NewDesc(namespace+"_platform_calls_total",
		"Calls to the platform by what came of them.", []string{"result"}, nil)
	platformBytesDesc = prometheus.NewDesc(namespace+"_platform_bytes_total",
		"Bytes that came from the platform, by what became of the call.", []string{"result"}, nil)
	platformCallTimeDesc = prometheus.NewDesc(namespace+"_platform_call_seconds_total",
		"Time that calls to the platform took, by what came of them.", []string{"result"}, nil)
	platformLagDesc = prometheus.NewDesc(namespace+"_platform_lag_seconds",
		"For how long the oldest change that another node knows has not been read; 0 without one.", nil, nil)
	platformLateDesc = prometheus.NewDesc(namespace+"_platform_late_total",
		"Times when a change that another node knows was not read within the span for an edit.", nil, nil)
	platformUpdatesDesc = prometheus.NewDesc(namespace+"_platform_news_total",
		"News of the platform that other nodes told in place of a call.", nil, nil)
	copyErrorsDesc = prometheus.NewDesc(namespace+"_platform_copy_wrong_total",
		"Times when the copy of the platform's values was found wrong, and all were listed again.", nil, nil)
	platformRevisionDesc = prometheus.NewDesc(namespace+"_platform_revision",
		"The platform's revision at the last change that is known.", nil, nil)
	platformAgeDesc = prometheus.NewDesc(namespace+"_platform_age_seconds",
		"How long ago what is known was the platform's.", nil, nil)
	linesDesc = prometheus.NewDesc(namespace+"_log_lines_lost_total",
		"Log lines left out: the output was busy, or over the rate of their message.", []string{"cause"}, nil)
	peersDesc = prometheus.NewDesc(namespace+"_peers",
		"Nodes that this one may dial.", nil, nil)
	linksDesc = prometheus.NewDesc(namespace+"_links",
		"Open links by who opened them.", []string{"direction"}, nil)
	verdictDesc = prometheus.NewDesc(namespace+"_gate_verdict",
		"1 for the verdict of the gate itself on its upstream, or leaving.", []string{"service", "upstream", "verdict"}, nil)
	gateRequestsDesc = prometheus.NewDesc(namespace+"_gate_requests",
		"Requests at a gate that run or wait.", []string{"service", "upstream", "place"}, nil)
	gateBoundDesc = prometheus.NewDesc(namespace+"_gate_bound",
		"Requests that may run or wait at a gate.", []string{"service", "upstream", "place"}, nil)
	retriesDesc = prometheus.NewDesc(namespace+"_gate_retries",
		"Retries that arrived at an upstream in the last window of the service's retry budget.", []string{"service", "upstream"}, nil)
	quotaDesc = prometheus.NewDesc(namespace+"_quota_requests_total",
		"Requests of client accounts with a quota, by what was decided: granted or refused by the account's home, "+
			"alone or unknown while none could be asked.", []string{"decision"}, nil)
	retryBoundDesc = prometheus.NewDesc(namespace+"_gate_retry_bound",
		"Retries that the gate may grant in a window.", []string{"service", "upstream"}, nil)
)

// Results of a call to the platform.
const (
	resultAnswered = "answered"
	resultError    = "error"
)

// Places of a request at a gate.
const (
	placeSlot  = "slot"
	placeQueue = "queue"
)

// nodeCollector reads the node's parts at each scrape. A part that isn't given is
// not exposed.
type nodeCollector struct {
	config Config
}

// Describe sends the descriptions.
func (*nodeCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		readyDesc, requestsBoundDesc, platformCallsDesc, platformBytesDesc, platformCallTimeDesc, platformLagDesc, platformLateDesc, platformUpdatesDesc, copyErrorsDesc, platformRevisionDesc, platformAgeDesc, linesDesc, peersDesc, linksDesc, verdictDesc, gateRequestsDesc, gateBoundDesc, retriesDesc, retryBoundDesc, quotaDesc,
	} {
		out <- d
	}
}

// Collect sends what the parts say now.
func (s *nodeCollector) Collect(out chan<- prometheus.Metric) {
	c := s.config
	if c.Readiness != nil {
		out <- gauge(readyDesc, boolean(c.Readiness.Ready()))
	}
	if c.Requests > 0 {
		out <- gauge(requestsBoundDesc, float64(c.Requests))
	}
	if c.Platform != nil {
		collectPlatform(out, c.Platform.PlatformStats())
	}
	if c.LogDrops != nil {
		busy, rate := c.LogDrops.Dropped()
		out <- counter(linesDesc, busy, "busy")
		out <- counter(linesDesc, rate, "rate")
	}
	if c.Links != nil {
		l := c.Links.Links()
		out <- gauge(peersDesc, float64(l.Peers))
		out <- gauge(linksDesc, float64(l.Dialled), "dialled")
		out <- gauge(linksDesc, float64(l.Accepted), "accepted")
	}
	if c.Quotas != nil {
		collectQuotas(out, c.Quotas.QuotaCounts())
	}
	if c.Gates != nil {
		for _, g := range c.Gates.GateStates() {
			collectGate(out, &g)
		}
	}
}

func collectPlatform(out chan<- prometheus.Metric, r PlatformStats) {
	collectCalls(out, r.Answered, resultAnswered)
	collectCalls(out, r.Failed, resultError)
	out <- gauge(platformLagDesc, r.Lag.Seconds())
	out <- counter(platformLateDesc, r.LateChanges)
	out <- counter(platformUpdatesDesc, r.UpdatesReceived)
	out <- counter(copyErrorsDesc, r.CopyErrors)
	out <- gauge(platformRevisionDesc, float64(r.Revision))
	if r.IsKnown {
		out <- gauge(platformAgeDesc, r.Age.Seconds())
	}
}

func collectCalls(out chan<- prometheus.Metric, c CallStats, result string) {
	out <- counter(platformCallsDesc, c.Count, result)
	out <- counter(platformBytesDesc, c.Bytes, result)
	out <- prometheus.MustNewConstMetric(platformCallTimeDesc, prometheus.CounterValue, c.Took.Seconds(), result)
}

func collectQuotas(out chan<- prometheus.Metric, q QuotaCounts) {
	out <- counter(quotaDesc, q.Granted, "granted")
	out <- counter(quotaDesc, q.Refused, "refused")
	out <- counter(quotaDesc, q.Alone, "alone")
	out <- counter(quotaDesc, q.Unknown, "unknown")
}

func collectGate(out chan<- prometheus.Metric, g *GateState) {
	out <- gauge(verdictDesc, 1, g.Service, g.Upstream, g.verdict())
	out <- gauge(gateRequestsDesc, float64(g.Running), g.Service, g.Upstream, placeSlot)
	out <- gauge(gateRequestsDesc, float64(g.Waiting), g.Service, g.Upstream, placeQueue)
	out <- gauge(gateBoundDesc, float64(g.Slots), g.Service, g.Upstream, placeSlot)
	out <- gauge(gateBoundDesc, float64(g.Queue), g.Service, g.Upstream, placeQueue)
	out <- gauge(retriesDesc, g.Retries, g.Service, g.Upstream)
	out <- gauge(retryBoundDesc, g.RetryBound, g.Service, g.Upstream)
}

// verdict writes what the gate says as the report does.
func (g *GateState) verdict() string {
	if g.Leaving {
		return access.StateLeaving
	}
	return access.StateOf(g.Verdict)
}

func gauge(d *prometheus.Desc, value float64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
}

func counter(d *prometheus.Desc, value uint64, labels ...string) prometheus.Metric {
	return prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(value), labels...)
}

func boolean(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
