package metrics

import (
	"maps"
	"runtime/debug"
	"slices"

	"github.com/prometheus/client_golang/prometheus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/health"
)

// Readiness reports whether the node accepts callers' requests.
type Readiness interface {
	Ready() bool
}

// Platform provides statistics on reading the platform's values.
type Platform interface {
	PlatformStats() PlatformStats
}

// PlatformStats describes how the node's copy of the platform's values is kept up to date.
// Its counts are since the node started.
type PlatformStats struct {
	// Answered and Failed sum up the calls with and without a complete answer.
	Answered, Failed CallStats
	// Causes counts the calls by why they were made; the pages of a list count one by one.
	Causes map[string]uint64
	// UpdatesReceived counts updates from other nodes that replaced a call.
	UpdatesReceived uint64
	// CopyErrors counts the complete lists of values that differed from this node's copy.
	CopyErrors uint64
	// ValuesIgnored counts the values that were offered and are older than those of the copy.
	ValuesIgnored uint64
	// Era counts how often the platform's store was restored from a backup, as far as it says.
	Era uint64
	// Revision is the platform's revision at the last change that the node knows.
	Revision uint64
	// IsKnown means that the node has a copy of the platform's values, Age is the time since
	// that copy was known to be current.
	IsKnown bool
	Age     clock.Millis
	// Lag is the time for which the oldest change that a peer knows has been unread on this
	// node, 0 if there is none. LateChanges counts how often this time exceeded the limit
	// for an edit.
	Lag         clock.Millis
	LateChanges uint64
}

// CallStats sums up calls to the platform.
type CallStats struct {
	Count uint64
	// Bytes is the number of bytes received, Took the summed duration of the calls.
	Bytes uint64
	Took  clock.Millis
}

// LogDrops provides the number of log lines that were dropped.
type LogDrops interface {
	// Dropped returns how many lines were dropped because the output was busy, because they
	// exceeded the rate limit of their message, and because they repeated another line.
	Dropped() (busy, rate, repeated uint64)
}

// Panics provides the number of panics that didn't end the process, by part of the node.
type Panics interface {
	PanicCounts() map[string]uint64
	// Record records a panic that was recovered. It must not block.
	Record(part string, value any, stack []byte)
}

// panicPart names this part of a node.
const panicPart = "metrics"

// recoverScrape must be deferred by collectors. The metrics library recovers their panics as well, but then
// answers without any metrics. What a collector has not sent by then is missing in this scrape.
func recoverScrape(panics Panics) {
	if value := recover(); value != nil && panics != nil {
		panics.Record(panicPart, value, debug.Stack())
	}
}

// Restarts provides how often a peer was found to be another process than before, without an
// announcement that it leaves.
type Restarts interface {
	PeerRestarts() uint64
}

// Links provides the number of links between this node and others.
type Links interface {
	Links() LinkCount
}

// LinkCount counts the peers and the links that are open now.
type LinkCount struct {
	// Peers counts the nodes that this one may dial.
	Peers int
	// Subscriptions counts the nodes whose updates this one gets, Subscribers those that get its
	// updates.
	Subscriptions, Subscribers int
	// Dialled counts the open links that this node opened, Accepted those that others opened.
	Dialled, Accepted int
}

// Gates provides the states of the node's gates.
type Gates interface {
	GateStates() []GateState
}

// GateState is the state of one gate and the gate's own verdict on its upstream.
type GateState struct {
	Service, Upstream string
	// Verdict is the gate's verdict on the upstream's health.
	Verdict health.State
	// Leaving means that the upstream gets no new requests, whatever the verdict.
	Leaving bool
	// Running counts the requests that hold a slot, Waiting those in the queue.
	Running, Waiting int
	// Slots and Queue are the limits on Running and Waiting, as set in the table.
	Slots, Queue int
	// Retries counts the retries that arrived in the last window of the retry budget,
	// RetryBound is their limit. Both are 0 for a service whose retries the gates don't bound.
	Retries, RetryBound float64
	// IsBounded means that the gate bounds retries.
	IsBounded bool
	// IsLimited means that the backend server names a rate limit, RateLimit is that limit in
	// requests per second.
	IsLimited bool
	RateLimit float64
	// IsProfiled means that entries place requests by what the gate has learned about the
	// upstream: its Speed relative to the service and the Concurrency from which it slows down.
	IsProfiled  bool
	Speed       float64
	Concurrency int
}

// Quotas provides the decisions on requests of client accounts with a quota.
type Quotas interface {
	QuotaCounts() QuotaCounts
}

// QuotaCounts counts the requests of client accounts with a quota by decision, since the node
// started.
type QuotaCounts struct {
	// Granted and Refused count the requests that the accounts' homes decided.
	Granted, Refused uint64
	// Alone counts the requests that this node admitted on its own while the account's home
	// could not be reached, Unknown those that it refused.
	Alone, Unknown uint64
}

var (
	readyDesc = prometheus.NewDesc(namespace+"_ready",
		"1 with a table in force, 0 before that and when leaving.", nil, nil)
	requestsBoundDesc = prometheus.NewDesc(namespace+"_requests_bound",
		"Concurrent requests of callers that the settings allow.", nil, nil)
	bodyBytesDesc = prometheus.NewDesc(namespace+"_body_bytes",
		"Bytes that are counted for requests' bodies, with the copies that a request may need.", nil, nil)
	bodyBytesBoundDesc = prometheus.NewDesc(namespace+"_body_bytes_bound",
		"Bytes that may be counted for requests' bodies; 0 without a bound.", nil, nil)
	answerBytesDesc = prometheus.NewDesc(namespace+"_answer_bytes",
		"Bytes that are counted for large answers until their memory is freed, with the copies that an answer may need.", nil, nil)
	answerBytesBoundDesc = prometheus.NewDesc(namespace+"_answer_bytes_bound",
		"Bytes that may be counted for large answers; 0 without a bound.", nil, nil)
	platformCallsDesc = prometheus.NewDesc(namespace+"_platform_calls_total",
		"Calls to the platform by what came of them.", []string{"result"}, nil)
	platformCausesDesc = prometheus.NewDesc(namespace+"_platform_requests_total",
		"Requests to the platform by why they were made; a list takes one for each page.", []string{"cause"}, nil)
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
	platformIgnoredDesc = prometheus.NewDesc(namespace+"_platform_ignored_total",
		"Values of the platform that were offered and are older than those held.", nil, nil)
	platformEraDesc = prometheus.NewDesc(namespace+"_platform_era",
		"How often the platform's store was restored from a backup, as far as it says.", nil, nil)
	platformRevisionDesc = prometheus.NewDesc(namespace+"_platform_revision",
		"The platform's revision at the last change that is known.", nil, nil)
	platformAgeDesc = prometheus.NewDesc(namespace+"_platform_age_seconds",
		"How long ago what is known was the platform's.", nil, nil)
	logLinesLostDesc = prometheus.NewDesc(namespace+"_log_lines_lost_total",
		"Log lines left out: the output was busy, over the rate of their message, or repeated.", []string{"cause"}, nil)
	panicsDesc = prometheus.NewDesc(namespace+"_panics_total",
		"Panics that the node has recovered from, by part.", []string{"part"}, nil)
	peerRestartsDesc = prometheus.NewDesc(namespace+"_peer_restarts_total",
		"Peers that were found to be another process, without having announced that they leave.", nil, nil)
	peersDesc = prometheus.NewDesc(namespace+"_peers",
		"Nodes that this one may dial.", nil, nil)
	subscriptionsDesc = prometheus.NewDesc(namespace+"_subscriptions",
		"Subscriptions to updates of the platform's values: of this node to others, and of others to it.", []string{"direction"}, nil)
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
	rateLimitDesc = prometheus.NewDesc(namespace+"_gate_rate_limit",
		"Requests per second that the backend server accepts from all nodes together; absent if it names no limit.", []string{"service", "upstream"}, nil)
	quotaDesc = prometheus.NewDesc(namespace+"_quota_requests_total",
		"Requests of client accounts with a quota, by what was decided: granted or refused by the account's home, "+
			"alone or unknown while none could be asked.", []string{"decision"}, nil)
	quotaUsedDesc = prometheus.NewDesc(namespace+"_retry_quota_used",
		"Retries in the last window at a gate that bounds them.", []string{"service", "upstream"}, nil)
	quotaBoundDesc = prometheus.NewDesc(namespace+"_retry_quota_bound",
		"Retries that a gate which bounds them may grant in a window.", []string{"service", "upstream"}, nil)
	speedDesc = prometheus.NewDesc(namespace+"_upstream_speed",
		"Speed of an upstream relative to its service, 1 is average; absent without placement by cost.", []string{"service", "upstream"}, nil)
	concurrencyDesc = prometheus.NewDesc(namespace+"_upstream_concurrency",
		"Concurrent requests from which an upstream slows down, its slots if it isn't known to; absent without placement by cost.", []string{"service", "upstream"}, nil)
	retryBoundDesc = prometheus.NewDesc(namespace+"_gate_retry_bound",
		"Retries that the gate may grant in a window.", []string{"service", "upstream"}, nil)
)

// Values of the label result.
const (
	resultAnswered = "answered"
	resultError    = "error"
)

// Values of the label place: a request at a gate runs in a slot or waits in the queue.
const (
	placeSlot  = "slot"
	placeQueue = "queue"
)

// nodeCollector reads the optional sources of its configuration at each scrape. It exposes no
// metrics for a source that isn't configured.
type nodeCollector struct {
	config Config
}

// Describe sends the descriptions of all metrics, configured or not.
func (*nodeCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		subscriptionsDesc, platformCausesDesc, bodyBytesDesc, bodyBytesBoundDesc, answerBytesDesc, answerBytesBoundDesc, panicsDesc, peerRestartsDesc,
		readyDesc, requestsBoundDesc, platformCallsDesc, platformBytesDesc, platformCallTimeDesc, platformLagDesc, platformLateDesc, platformUpdatesDesc, copyErrorsDesc, platformIgnoredDesc, platformEraDesc, platformRevisionDesc, platformAgeDesc, logLinesLostDesc, peersDesc, linksDesc, verdictDesc, gateRequestsDesc, gateBoundDesc, retriesDesc, retryBoundDesc, quotaUsedDesc, quotaBoundDesc, rateLimitDesc, quotaDesc,
		readyDesc, requestsBoundDesc, platformCallsDesc, platformBytesDesc, platformCallTimeDesc, platformLagDesc, platformLateDesc, platformUpdatesDesc, copyErrorsDesc, platformIgnoredDesc, platformEraDesc, platformRevisionDesc, platformAgeDesc, logLinesLostDesc, peersDesc, linksDesc, verdictDesc, gateRequestsDesc, gateBoundDesc, retriesDesc, retryBoundDesc, rateLimitDesc, quotaDesc, speedDesc, concurrencyDesc,
	} {
		out <- d
	}
}

// Collect sends the current values of the configured sources.
func (s *nodeCollector) Collect(out chan<- prometheus.Metric) {
	defer recoverScrape(s.config.Panics)
	c := s.config
	if c.Readiness != nil {
		out <- gauge(readyDesc, boolValue(c.Readiness.Ready()))
	}
	if c.Requests > 0 {
		out <- gauge(requestsBoundDesc, float64(c.Requests))
	}
	if c.Memory != nil {
		out <- gauge(bodyBytesDesc, float64(c.Memory.Held()))
		out <- gauge(bodyBytesBoundDesc, float64(c.Memory.Bound()))
	}
	if c.Answers != nil {
		out <- gauge(answerBytesDesc, float64(c.Answers.Held()))
		out <- gauge(answerBytesBoundDesc, float64(c.Answers.Bound()))
	}
	if c.Platform != nil {
		collectPlatform(out, c.Platform.PlatformStats())
	}
	if c.LogDrops != nil {
		busy, rate, repeated := c.LogDrops.Dropped()
		out <- counter(logLinesLostDesc, busy, "busy")
		out <- counter(logLinesLostDesc, rate, "rate")
		out <- counter(logLinesLostDesc, repeated, "repeated")
	}
	if c.Panics != nil {
		counts := c.Panics.PanicCounts()
		for _, part := range slices.Sorted(maps.Keys(counts)) {
			out <- counter(panicsDesc, counts[part], part)
		}
	}
	if c.Restarts != nil {
		out <- counter(peerRestartsDesc, c.Restarts.PeerRestarts())
	}
	if c.Links != nil {
		l := c.Links.Links()
		out <- gauge(peersDesc, float64(l.Peers))
		out <- gauge(subscriptionsDesc, float64(l.Subscriptions), "dialled")
		out <- gauge(subscriptionsDesc, float64(l.Subscribers), "accepted")
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

func collectPlatform(out chan<- prometheus.Metric, stats PlatformStats) {
	collectCalls(out, stats.Answered, resultAnswered)
	collectCalls(out, stats.Failed, resultError)
	for _, cause := range slices.Sorted(maps.Keys(stats.Causes)) {
		out <- counter(platformCausesDesc, stats.Causes[cause], cause)
	}
	out <- gauge(platformLagDesc, stats.Lag.Seconds())
	out <- counter(platformLateDesc, stats.LateChanges)
	out <- counter(platformUpdatesDesc, stats.UpdatesReceived)
	out <- counter(copyErrorsDesc, stats.CopyErrors)
	out <- counter(platformIgnoredDesc, stats.ValuesIgnored)
	out <- gauge(platformEraDesc, float64(stats.Era))
	out <- gauge(platformRevisionDesc, float64(stats.Revision))
	if stats.IsKnown {
		out <- gauge(platformAgeDesc, stats.Age.Seconds())
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
	if g.IsBounded {
		out <- gauge(quotaUsedDesc, g.Retries, g.Service, g.Upstream)
		out <- gauge(quotaBoundDesc, g.RetryBound, g.Service, g.Upstream)
	}
	if g.IsLimited {
		out <- gauge(rateLimitDesc, g.RateLimit, g.Service, g.Upstream)
	}
	if g.IsProfiled {
		out <- gauge(speedDesc, g.Speed, g.Service, g.Upstream)
		out <- gauge(concurrencyDesc, float64(g.Concurrency), g.Service, g.Upstream)
	}
}

// verdict returns the value of the label verdict, in the words of access.UpstreamState.
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

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
