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

// Bounds of what a table may say. They are wide: they are there to catch a
// slip of the hand, such as a unit or a digit too many, not to advise.
const (
	// MinDeadline is about a round trip between failure domains and back.
	MinDeadline = 10 * clock.Millis(1)
	// MaxDeadline is beyond what any caller waits for.
	MaxDeadline = 10 * clock.Minute
	// MaxDrain keeps the promise that a leaving upstream gets no new work
	// after a few seconds.
	MaxDrain = 30 * clock.Second
	// MaxQueue is hundreds of times what the slots of today serve at once.
	MaxQueue = 10_000
	// MaxExtraRetries is more retries than any fleet has use for in one window.
	MaxExtraRetries = 1e6
	// MaxRetryWindow keeps the memory of a retry budget small.
	MaxRetryWindow = clock.Minute
	// MaxRate is a hundred times the planned peak of the whole fleet.
	MaxRate = 1e9
	// MaxWeight leaves weight x slots of all upstreams far below overflow.
	MaxWeight = 10_000
	// MaxSlots is more than one instance serves at once.
	MaxSlots = 10_000
	// MaxConnections is more than one process may open to one address.
	MaxConnections = 60_000
	// MaxPrefix bounds the work of a look-up by a hostile path.
	MaxPrefix = 256
	// MaxHost is the longest name that the DNS has.
	MaxHost = 253
	// MaxAttempts and MaxPriority are more than any service has use for.
	MaxAttempts = 100
	MaxPriority = 100
	// MaxVersion bounds what a version of software may be called, in bytes.
	MaxVersion = 64
	// MaxCallerName bounds what a label or a column has to bear.
	MaxCallerName = 128
)

// methods are those that a route may call repeatable.
var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// checker collects the faults of one table.
type checker struct {
	doc   *document.Document
	table *Table
	// lines of the names, addresses and prefixes seen so far, for duplicates.
	services, upstreams, addresses, prefixes, callers, accounts, keys map[string]int
	// nodes keeps who is beside each link address.
	nodes map[string]*Upstream
}

func (t *Table) check(doc *document.Document) {
	c := checker{
		doc:       doc,
		table:     t,
		services:  make(map[string]int),
		upstreams: make(map[string]int),
		addresses: make(map[string]int),
		prefixes:  make(map[string]int),
		callers:   make(map[string]int),
		accounts:  make(map[string]int),
		keys:      make(map[string]int),
		nodes:     make(map[string]*Upstream),
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
	c.domains(root)
	for i := range t.Services {
		c.service(root.Field("service").Item(i), &t.Services[i])
	}
	for i := range t.Services {
		c.nodeAddresses(root.Field("service").Item(i), &t.Services[i])
	}
	for i := range t.Routes {
		c.route(root.Field("route").Item(i), &t.Routes[i])
	}
	for i := range t.Callers {
		c.caller(root.Field("caller").Item(i), &t.Callers[i])
	}
	for i := range t.Accounts {
		c.account(root.Field("account").Item(i), &t.Accounts[i])
	}
}

// domains checks the list of failure domains.
func (c *checker) domains(n *document.Node) {
	seen := make(map[string]int)
	for _, name := range c.table.Domains {
		c.doc.CheckName(n, "domains", name)
		c.checkUnique(seen, n, "domains", name, "each failure domain once")
	}
}

// checkUnique notes a fault if the value was seen before.
func (c *checker) checkUnique(seen map[string]int, n *document.Node, key, value, allowed string) {
	if first, ok := seen[value]; ok {
		problem := document.Quote(value) + " stands twice"
		if first > 0 {
			problem += fmt.Sprintf(", first on line %d", first)
		}
		c.doc.Add(n, key, problem, allowed)
		return
	}
	seen[value] = n.LineOf(key)
}

func (c *checker) service(n *document.Node, s *Service) {
	c.doc.CheckName(n, "name", s.Name)
	if s.Name != "" {
		c.checkUnique(c.services, n, "name", s.Name, "a name that no other service has")
	}
	switch s.Caution {
	case Fast, Balanced, Cautious, ShortEpisodes:
	default:
		c.doc.Refuse(n, "caution", document.Quote(string(s.Caution)), "fast, balanced, cautious, brief")
	}
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
	c.objective(n.Field("objective"), s)
	if len(s.Upstreams) == 0 {
		c.doc.Add(n, "upstream", "is missing", "one [[service.upstream]] or more")
		return
	}
	weight := 0
	for i := range s.Upstreams {
		c.upstream(n.Field("upstream").Item(i), &s.Upstreams[i])
		weight += max(s.Upstreams[i].Weight, 0)
	}
	if weight == 0 && s.Floor > 0 {
		c.doc.Add(n, "floor", fmt.Sprintf("%v can't be reached: every weight is 0", s.Floor),
			"0, or a weight above 0")
	}
}

// CheckFingerprints checks a list of requests to be freed of a quarantine.
func CheckFingerprints(doc *document.Document, n *document.Node, lift []string) {
	for _, text := range lift {
		if _, ok := quarantine.ParseFingerprint(text); !ok {
			doc.Refuse(n, "lift", document.Quote(text), "fingerprints of 32 hexadecimal digits, as the log has them")
		}
	}
}

func (c *checker) objective(n *document.Node, s *Service) {
	document.CheckOpenRange(c.doc, n, "availability", s.Objective.Availability, 0, 1)
	document.CheckOpenRange(c.doc, n, "within", s.Objective.LatencyRatio, 0, 1)
	if s.Deadline >= MinDeadline {
		c.doc.CheckDuration(n, "latency", s.Objective.Latency, 1, s.Deadline)
	}
}

func (c *checker) upstream(n *document.Node, u *Upstream) {
	c.doc.CheckName(n, "name", u.Name)
	if u.Name != "" {
		c.checkUnique(c.upstreams, n, "name", u.Name, "a name that no other upstream of the table has")
	}
	if c.doc.CheckAddress(n, "address", u.Address) {
		c.checkUnique(c.addresses, n, "address", u.Address, "an address that no other upstream has")
	}
	c.doc.CheckAddress(n, "node", u.Node)
	c.doc.CheckName(n, "domain", u.Domain)
	if known := c.table.Domains; u.Domain != "" && len(known) > 0 && !slices.Contains(known, u.Domain) {
		c.doc.Refuse(n, "domain", document.Quote(u.Domain), "one of domains: "+strings.Join(known, ", "))
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

// nodeAddresses compares link addresses with those of upstreams and with each
// other's failure domain, once all of them are known.
func (c *checker) nodeAddresses(n *document.Node, s *Service) {
	for i := range s.Upstreams {
		u, at := &s.Upstreams[i], n.Field("upstream").Item(i)
		if u.Node == "" {
			continue
		}
		if line, ok := c.addresses[u.Node]; ok {
			c.doc.Add(at, "node", fmt.Sprintf("%q is an upstream's address%s", u.Node, onLine(line)),
				"the link address of a node")
		}
		first, ok := c.nodes[u.Node]
		if !ok {
			c.nodes[u.Node] = u
			continue
		}
		if first.Domain != u.Domain && first.Domain != "" {
			c.doc.Add(at, "domain", fmt.Sprintf("%q, but upstream %s beside the same node has %q", u.Domain, first.Name, first.Domain),
				"one failure domain for all upstreams beside a node")
		}
	}
}

func onLine(line int) string {
	if line == 0 {
		return ""
	}
	return fmt.Sprintf(" on line %d", line)
}

func (c *checker) route(n *document.Node, r *Route) {
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
	c.shares(n, r)
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

// shares checks which services a route leads to.
func (c *checker) shares(n *document.Node, r *Route) {
	if len(r.Shares) == 0 {
		c.checkServiceExists(n, r.Service)
		return
	}
	if r.Service != "" {
		c.doc.Add(n, "service", "stands beside [[route.share]]", "one of service and share")
	}
	weight := 0
	for i := range r.Shares {
		at := n.Field("share").Item(i)
		c.checkServiceExists(at, r.Shares[i].Service)
		document.CheckRange(c.doc, at, "weight", r.Shares[i].Weight, 0, MaxWeight)
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

func isHost(h string) bool {
	for i := range len(h) {
		if c := h[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("/:?#@", c) >= 0 {
			return false
		}
	}
	return h != "" && len(h) <= MaxHost
}

func isPrefix(p string) bool {
	if !strings.HasPrefix(p, "/") || len(p) > MaxPrefix {
		return false
	}
	for i := range len(p) {
		if c := p[i]; c <= ' ' || c >= 0x7f || c == '?' || c == '#' {
			return false
		}
	}
	for segment := range strings.SplitSeq(strings.Trim(p, "/"), "/") {
		if segment == "." || segment == ".." || segment == "" && p != "/" {
			return false
		}
	}
	return !strings.HasPrefix(p, "//") && !strings.HasSuffix(p, "//")
}

func (c *checker) caller(n *document.Node, k *Caller) {
	if isCallerName(k.Name) {
		c.checkUnique(c.callers, n, "name", k.Name, "a name that no other caller has")
	} else {
		c.doc.Refuse(n, "name", document.Quote(k.Name),
			fmt.Sprintf("1 to %d printable characters without spaces", MaxCallerName))
	}
	document.CheckRange(c.doc, n, "rate", k.Rate, 0, MaxRate)
}

func isCallerName(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != "" && len(s) <= MaxCallerName
}
