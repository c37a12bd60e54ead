package table

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/document"
	"fuchsiapick.example/fuchsiapick/quarantine"
)

// Bounds of the values in a table. They are wide because they only catch typing
// errors, such as a wrong unit or a digit too many; they aren't recommendations.
const (
	// MinDeadline is about one round trip between two failure domains.
	MinDeadline = 10 * clock.Millis(1)
	// MaxDeadline is longer than any caller waits.
	MaxDeadline = 10 * clock.Minute
	// MaxDrain bounds the time for which a leaving upstream still gets new work.
	// The project promises that this ends after a few seconds.
	MaxDrain = 30 * clock.Second
	// MaxQueue is hundreds of times the slots that an upstream of today has.
	MaxQueue = 10_000
	// MaxExtraRetries is more retries than any fleet needs in one window.
	MaxExtraRetries = 1e6
	// MaxRetryWindow keeps the memory of a retry budget small.
	MaxRetryWindow = clock.Minute
	// MaxRate is a hundred times the planned peak rate of the whole fleet.
	MaxRate = 1e9
	// MaxWeight keeps the sum of weight x slots over all upstreams far below overflow.
	MaxWeight = 10_000
	// MaxAccountWeight is more than accounts differ.
	MaxAccountWeight = 1000
	// MaxSlots is more than one instance serves concurrently.
	MaxSlots = 10_000
	// MaxConnections is more than one process may open to one address.
	MaxConnections = 60_000
	// MaxPrefix bounds the length of a prefix in bytes, and with it the work of a route
	// lookup for a hostile path.
	MaxPrefix = 256
	// MaxHost is the length of the longest name in the DNS.
	MaxHost = 253
	// MaxAttempts and MaxPriority are more than any service needs.
	MaxAttempts = 100
	MaxPriority = 100
	// MaxVersion bounds the length of an upstream's software version in bytes.
	MaxVersion = 64
	// MaxCallerName bounds the length of a caller's name in bytes, because names become
	// labels of metrics and columns of reports.
	MaxCallerName = 128
)

// methods are the HTTP methods that a route may list as repeatable.
var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// checker collects the faults of one table.
type checker struct {
	doc   *document.Document
	table *Table
	// These maps hold the line of each name, address and prefix seen so far, to find
	// duplicates.
	services, upstreams, addresses, prefixes, callers, accounts, keys map[string]int
	// firstOnNode holds the first upstream that names each link address.
	firstOnNode map[string]*Upstream
}

func (t *Table) check(doc *document.Document) {
	c := checker{
		doc:         doc,
		table:       t,
		services:    make(map[string]int),
		upstreams:   make(map[string]int),
		addresses:   make(map[string]int),
		prefixes:    make(map[string]int),
		callers:     make(map[string]int),
		accounts:    make(map[string]int),
		keys:        make(map[string]int),
		firstOnNode: make(map[string]*Upstream),
	}
	root := doc.Root
	if t.Format != Format {
		doc.Refuse(root, "format", strconv.Itoa(t.Format), strconv.Itoa(Format))
	}
	if t.Version == 0 {
		doc.Refuse(root, "version", "0", "1 or more, above the last published")
	}
	if len(t.Services) == 0 {
		doc.Add(root, "service", "is missing", "one [[service]] or more")
	}
	c.checkDomains(root)
	for i := range t.Services {
		c.checkService(root.Field("service").Item(i), &t.Services[i])
	}
	for i := range t.Services {
		c.checkNodeAddresses(root.Field("service").Item(i), &t.Services[i])
	}
	for i := range t.Routes {
		c.checkRoute(root.Field("route").Item(i), &t.Routes[i])
	}
	for i := range t.Callers {
		c.checkCaller(root.Field("caller").Item(i), &t.Callers[i])
	}
	for i := range t.Accounts {
		c.checkAccount(root.Field("account").Item(i), &t.Accounts[i])
	}
}

// checkDomains checks the table's list of failure domains.
func (c *checker) checkDomains(n *document.Node) {
	seen := make(map[string]int)
	for _, name := range c.table.Domains {
		c.doc.CheckName(n, "domains", name)
		c.checkUnique(seen, n, "domains", name, "each failure domain once")
	}
}

// checkUnique records a fault if seen, a map of values to their lines, has the value
// already. Otherwise it adds the value to seen.
func (c *checker) checkUnique(seen map[string]int, n *document.Node, key, value, allowed string) {
	if first, ok := seen[value]; ok {
		problem := document.Quote(value) + " is given twice"
		if first > 0 {
			problem += fmt.Sprintf(", first on line %d", first)
		}
		c.doc.Add(n, key, problem, allowed)
		return
	}
	seen[value] = n.LineOf(key)
}

func (c *checker) checkService(n *document.Node, s *Service) {
	c.doc.CheckName(n, "name", s.Name)
	if s.Name != "" {
		c.checkUnique(c.services, n, "name", s.Name, "a name that no other service has")
	}
	switch s.Caution {
	case Fast, Balanced, Cautious, ShortEpisodes:
	default:
		c.doc.Refuse(n, "caution", document.Quote(string(s.Caution)), "fast, balanced, cautious, brief")
	}
	CheckPlacement(c.doc, n, s.Waiting, s.Placement)
	document.CheckRange(c.doc, n, "floor", s.Floor, 0, 1)
	c.doc.CheckDuration(n, "deadline", s.Deadline, MinDeadline, MaxDeadline)
	if s.ProbePath != "" && !strings.HasPrefix(s.ProbePath, "/") {
		c.doc.Refuse(n, "probe", document.Quote(s.ProbePath), "a path that begins with /")
	}
	c.doc.CheckDuration(n, "drain", s.Drain, 0, MaxDrain)
	document.CheckRange(c.doc, n, "queue", s.Queue, 0, MaxQueue)
	document.CheckRange(c.doc, n, "retries", s.RetryRatio, 0, 1)
	document.CheckRange(c.doc, n, "extra", s.ExtraRetries, 0, MaxExtraRetries)
	c.doc.CheckDuration(n, "window", s.RetryWindow, 0, MaxRetryWindow)
	document.CheckRange(c.doc, n, "rate", s.Rate, 0, MaxRate)
	document.CheckRange(c.doc, n, "quota", s.CallerRate, 0, MaxRate)
	CheckFingerprints(c.doc, n, s.LiftedFingerprints)
	c.checkObjective(n.Field("objective"), s)
	if len(s.Upstreams) == 0 {
		c.doc.Add(n, "upstream", "is missing", "one [[service.upstream]] or more")
		return
	}
	weight := 0
	for i := range s.Upstreams {
		c.checkUpstream(n.Field("upstream").Item(i), &s.Upstreams[i])
		weight += max(s.Upstreams[i].Weight, 0)
	}
	if weight == 0 && s.Floor > 0 {
		c.doc.Add(n, "floor", fmt.Sprintf("%v can't be reached: every weight is 0", s.Floor),
			"0, or a weight above 0")
	}
}

// CheckPlacement checks the keys waiting and placement of n.
func CheckPlacement(doc *document.Document, n *document.Node, waiting Waiting, placement Placement) {
	if waiting != "" && waiting != WaitAtGates && waiting != WaitForService {
		doc.Refuse(n, "waiting", document.Quote(string(waiting)), "gates, service")
	}
	if placement != "" && placement != PlaceNear && placement != PlaceByCost {
		doc.Refuse(n, "placement", document.Quote(string(placement)), "near, cost")
	}
}

// CheckFingerprints checks the key lift of n, the fingerprints of the requests whose
// quarantine is lifted.
func CheckFingerprints(doc *document.Document, n *document.Node, fingerprints []string) {
	for _, text := range fingerprints {
		if _, ok := quarantine.ParseFingerprint(text); !ok {
			doc.Refuse(n, "lift", document.Quote(text), "fingerprints of 32 hexadecimal digits, as the log shows them")
		}
	}
}

func (c *checker) checkObjective(n *document.Node, s *Service) {
	document.CheckOpenRange(c.doc, n, "availability", s.Objective.Availability, 0, 1)
	document.CheckOpenRange(c.doc, n, "within", s.Objective.LatencyRatio, 0, 1)
	if s.Deadline >= MinDeadline {
		c.doc.CheckDuration(n, "latency", s.Objective.Latency, 1, s.Deadline)
	}
}

func (c *checker) checkUpstream(n *document.Node, u *Upstream) {
	c.doc.CheckName(n, "name", u.Name)
	if u.Name != "" {
		c.checkUnique(c.upstreams, n, "name", u.Name, "a name that no other upstream of the table has")
	}
	if c.doc.CheckAddress(n, "address", u.Address) {
		c.checkUnique(c.addresses, n, "address", u.Address, "an address that no other upstream has")
	}
	c.doc.CheckAddress(n, "node", u.Node)
	c.doc.CheckName(n, "domain", u.Domain)
	if domains := c.table.Domains; u.Domain != "" && len(domains) > 0 && !slices.Contains(domains, u.Domain) {
		c.doc.Refuse(n, "domain", document.Quote(u.Domain), "one of domains: "+strings.Join(domains, ", "))
	}
	if len(u.Version) > MaxVersion {
		c.doc.Refuse(n, "version", document.Quote(u.Version), fmt.Sprintf("at most %d characters", MaxVersion))
	}
	document.CheckRange(c.doc, n, "weight", u.Weight, 0, MaxWeight)
	document.CheckRange(c.doc, n, "slots", u.Slots, 1, MaxSlots)
	if u.Slots >= 1 && u.Slots <= MaxSlots {
		document.CheckRange(c.doc, n, "connections", u.Connections, u.Slots, MaxConnections)
	}
}

// checkNodeAddresses checks that no link address is also an upstream's address, and that
// all upstreams beside one node are in one failure domain. It runs once the upstreams
// of all services have been checked, because an address may be that of a later service.
func (c *checker) checkNodeAddresses(n *document.Node, s *Service) {
	for i := range s.Upstreams {
		u, upstreamNode := &s.Upstreams[i], n.Field("upstream").Item(i)
		if u.Node == "" {
			continue
		}
		if line, ok := c.addresses[u.Node]; ok {
			c.doc.Add(upstreamNode, "node", fmt.Sprintf("%q is an upstream's address%s", u.Node, lineSuffix(line)),
				"the link address of a node")
		}
		first, ok := c.firstOnNode[u.Node]
		if !ok {
			c.firstOnNode[u.Node] = u
			continue
		}
		if first.Domain != u.Domain && first.Domain != "" {
			c.doc.Add(upstreamNode, "domain", fmt.Sprintf("%q, but upstream %s beside the same node has %q", u.Domain, first.Name, first.Domain),
				"one failure domain for all upstreams beside a node")
		}
	}
}

// lineSuffix returns " on line N", or nothing for line 0: a table that wasn't read from a
// text has no lines.
func lineSuffix(line int) string {
	if line == 0 {
		return ""
	}
	return fmt.Sprintf(" on line %d", line)
}

func (c *checker) checkRoute(n *document.Node, r *Route) {
	if r.Host != "" && !isHost(r.Host) {
		c.doc.Refuse(n, "host", document.Quote(r.Host),
			fmt.Sprintf("a host name or IP number without a port, at most %d bytes", MaxHost))
	}
	if isPrefix(r.Prefix) {
		c.checkUnique(c.prefixes, n, "prefix", strings.ToLower(r.Host)+trimSlash(r.Prefix)+"/",
			"a prefix that no other route has")
	} else {
		c.doc.Refuse(n, "prefix", document.Quote(r.Prefix),
			fmt.Sprintf("a path that begins with '/', without empty or dot segments, '?', '#' or spaces, at most %d bytes", MaxPrefix))
	}
	c.checkShares(n, r)
	c.doc.CheckDuration(n, "timeout", r.Timeout, 0, MaxDeadline)
	c.doc.CheckDuration(n, "target", r.LatencyTarget, 0, MaxDeadline)
	document.CheckRange(c.doc, n, "attempts", r.MaxAttempts, 0, MaxAttempts)
	document.CheckRange(c.doc, n, "priority", r.Priority, 0, MaxPriority)
	for _, m := range r.Repeatable {
		if m != AnyMethod && !slices.Contains(methods, m) {
			c.doc.Refuse(n, "repeatable", document.Quote(m), strings.Join(methods, ", "))
		}
	}
}

// checkShares checks the service of a route, or its shares if it has any.
func (c *checker) checkShares(n *document.Node, r *Route) {
	if len(r.Shares) == 0 {
		c.checkServiceExists(n, r.Service)
		return
	}
	if r.Service != "" {
		c.doc.Add(n, "service", "is given together with [[route.share]]", "one of service and share")
	}
	weight := 0
	for i := range r.Shares {
		shareNode := n.Field("share").Item(i)
		c.checkServiceExists(shareNode, r.Shares[i].Service)
		document.CheckRange(c.doc, shareNode, "weight", r.Shares[i].Weight, 0, MaxWeight)
		weight += max(r.Shares[i].Weight, 0)
	}
	if weight == 0 {
		c.doc.Add(n, "share", "has no weight above 0", "a weight above 0 in one share or more")
	}
}

func (c *checker) checkServiceExists(n *document.Node, service string) {
	if _, ok := c.services[service]; !ok {
		c.doc.Refuse(n, "service", document.Quote(service), "the name of a [[service]] of this table")
	}
}

func isHost(host string) bool {
	for i := range len(host) {
		if c := host[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("/:?#@", c) >= 0 {
			return false
		}
	}
	return host != "" && len(host) <= MaxHost
}

func isPrefix(prefix string) bool {
	if !strings.HasPrefix(prefix, "/") || len(prefix) > MaxPrefix {
		return false
	}
	for i := range len(prefix) {
		if c := prefix[i]; c <= ' ' || c >= 0x7f || c == '?' || c == '#' {
			return false
		}
	}
	for segment := range strings.SplitSeq(strings.Trim(prefix, "/"), "/") {
		if segment == "." || segment == ".." || segment == "" && prefix != "/" {
			return false
		}
	}
	return !strings.HasPrefix(prefix, "//") && !strings.HasSuffix(prefix, "//")
}

func (c *checker) checkCaller(n *document.Node, caller *Caller) {
	if isCallerName(caller.Name) {
		c.checkUnique(c.callers, n, "name", caller.Name, "a name that no other caller has")
	} else {
		c.doc.Refuse(n, "name", document.Quote(caller.Name),
			fmt.Sprintf("1 to %d printable characters without spaces", MaxCallerName))
	}
	document.CheckRange(c.doc, n, "rate", caller.Rate, 0, MaxRate)
}

func isCallerName(name string) bool {
	for i := range len(name) {
		if name[i] <= ' ' || name[i] >= 0x7f {
			return false
		}
	}
	return name != "" && len(name) <= MaxCallerName
}
