package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/document"
	"fuchsiapick.example/fuchsiapick/table"
)

// Bounds of the values in settings. They only catch typing errors.
const (
	// MinSecret is the minimum length of the secret in bytes. A shorter secret can be
	// guessed from one recorded exchange.
	MinSecret = 16
	// MaxBody keeps the memory of one request, and of one answer, far below the
	// memory of a small instance.
	MaxBody = 64 << 20
	// MaxRequests is far above what a small instance serves concurrently.
	MaxRequests = 1 << 20
	// MaxRecords keeps the memory of all records within a few hundred megabytes.
	MaxRecords = 1_000_000
	// MaxDescriptors is more than any system allows.
	MaxDescriptors = 1 << 30
	// MaxMemory is more than any instance has.
	MaxMemory = 1e15
	// MaxGrace is longer than any deadline that a table may set.
	MaxGrace = 15 * clock.Minute
	// MinPollInterval keeps the reads of a few thousand nodes within what the platform can
	// serve.
	MinPollInterval = clock.Second
	// MinMaxStaleness bounds the calls of one node to three per second.
	MinMaxStaleness = 500 * clock.Millis(1)
	// MaxPollInterval makes a new table take effect within minutes even in the worst case.
	MaxPollInterval = 10 * clock.Minute
	// MaxExtra is more retries than any fleet needs in one window.
	MaxExtra = 1e6
	// MaxWindow keeps the memory of a retry budget small.
	MaxWindow = clock.Minute
	// MinHeartbeatInterval and MaxHeartbeatInterval bound the time to detect a lost path.
	// That time must be longer than the scheduling delays of a busy machine, and shorter than
	// callers are willing to wait.
	MinHeartbeatInterval = 50 * clock.Millis(1)
	MaxHeartbeatInterval = 10 * clock.Second
	// MaxPeers is many more than a starting node has time to query.
	MaxPeers = 64
)

// logLevels are the levels of the log, from the one with the fewest lines to the one with
// the most.
var logLevels = []string{"error", "warn", "info", "debug"}

func (s *Settings) check(doc *document.Document) {
	root := doc.Root
	doc.CheckName(root, "node", s.Node)
	doc.CheckName(root, "domain", s.Domain)
	s.checkListen(doc)
	s.checkPlatform(doc)
	s.checkSecret(doc)
	s.checkPeers(doc)
	s.checkLimits(doc)
	s.checkPolicy(doc)
	doc.CheckDuration(root, "beat", s.HeartbeatInterval, MinHeartbeatInterval, MaxHeartbeatInterval)
	doc.CheckDuration(root, "grace", s.Grace, 0, MaxGrace)
	doc.CheckDuration(root, "linger", s.Linger, 0, s.Grace/2)
	if !slices.Contains(logLevels, s.Log) {
		doc.Refuse(root, "log", document.Quote(s.Log), strings.Join(logLevels, ", "))
	}
}

func (s *Settings) checkListen(doc *document.Document) {
	n := doc.Root.Field("listen")
	if n == nil {
		doc.Refuse(doc.Root, "listen", "", "a table [listen] with caller, link and admin")
		return
	}
	if s.Listen.Announce != "" {
		doc.CheckAddress(n, "announce", s.Listen.Announce)
	}
	seen := make(map[string]string, 3)
	for _, l := range []struct{ key, address string }{
		{"caller", s.Listen.Caller}, {"link", s.Listen.Link}, {"admin", s.Listen.Admin}, {"metrics", s.Listen.Metrics},
	} {
		if l.key == "metrics" && l.address == "" {
			continue
		}
		if !doc.CheckListener(n, l.key, l.address) {
			continue
		}
		address := netip.MustParseAddrPort(l.address)
		if l.key == "link" && s.Listen.Announce == "" && address.Addr().IsUnspecified() {
			doc.Refuse(n, l.key, document.Quote(l.address), "the IP number that the table gives for this node")
		}
		if first, ok := seen[l.address]; ok && address.Port() != 0 {
			doc.Add(n, l.key, document.Quote(l.address)+" is used by "+first+" too", "an address of its own")
		}
		seen[l.address] = l.key
	}
}

func (s *Settings) checkPlatform(doc *document.Document) {
	n := doc.Root.Field("platform")
	if n == nil {
		doc.Refuse(doc.Root, "platform", "", "a table [platform] with address")
		return
	}
	doc.CheckAddress(n, "address", s.Platform.Address)
	doc.CheckDuration(n, "poll", s.Platform.PollInterval, MinPollInterval, MaxPollInterval)
	doc.CheckDuration(n, "fresh", s.Platform.MaxStaleness, MinMaxStaleness, MaxPollInterval)
	if forms := []string{FormTable, FormStore}; !slices.Contains(forms, s.Platform.Form) {
		doc.Refuse(n, "form", document.Quote(s.Platform.Form), strings.Join(forms, ", "))
	}
}

func (s *Settings) checkPolicy(doc *document.Document) {
	n := doc.Root.Field("policy")
	cautions := []string{string(table.Fast), string(table.Balanced), string(table.Cautious), string(table.ShortEpisodes)}
	if !slices.Contains(cautions, string(s.Policy.Caution)) {
		doc.Refuse(n, "caution", document.Quote(string(s.Policy.Caution)), strings.Join(cautions, ", "))
	}
	document.CheckRange(doc, n, "floor", s.Policy.Floor, 0, 1)
	doc.CheckDuration(n, "drain", s.Policy.Drain, 0, table.MaxDrain)
	document.CheckRange(doc, n, "retries", s.Policy.Retries, 0, 1)
	document.CheckRange(doc, n, "extra", s.Policy.Extra, 0, MaxExtra)
	doc.CheckDuration(n, "window", s.Policy.Window, 0, MaxWindow)
	table.CheckPlacement(doc, n, s.Policy.Waiting, s.Policy.Placement)
	table.CheckFingerprints(doc, n, s.Policy.Lift)
}

func (s *Settings) checkSecret(doc *document.Document) {
	root := doc.Root
	if root.Has("secretfile") {
		if root.Has("secret") {
			doc.Add(root, "secretfile", "is given together with secret", "one of secret and secretfile")
		}
		if s.SecretFile == "" {
			doc.Refuse(root, "secretfile", `""`, "the path of a file")
		}
		return
	}
	if problem, ok := secretProblem(s.Secret); !ok {
		if !root.Has("secret") {
			problem = "is missing"
		}
		// The fault must not show the secret, because faults are logged.
		doc.Add(root, "secret", problem, allowedSecret()+", or secretfile")
	}
}

// secretProblem reports whether a secret is valid, and what is wrong with it if it isn't.
func secretProblem(secret string) (string, bool) {
	if len(secret) < MinSecret {
		return "has " + strconv.Itoa(len(secret)) + " bytes", false
	}
	return "", true
}

func allowedSecret() string {
	return fmt.Sprintf("%d bytes or more", MinSecret)
}

func (s *Settings) checkPeers(doc *document.Document) {
	root := doc.Root
	document.CheckRange(doc, root, "peers", len(s.Peers), 0, MaxPeers)
	for i, peer := range s.Peers {
		if doc.CheckAddress(root, "peers", peer) && slices.Contains(s.Peers[:i], peer) {
			doc.Add(root, "peers", document.Quote(peer)+" is given twice", "each peer once")
		}
	}
}

func (s *Settings) checkLimits(doc *document.Document) {
	n := doc.Root.Field("limits")
	document.CheckRange(doc, n, "body", s.Limits.Body, 0, MaxBody)
	document.CheckRange(doc, n, "answer", s.Limits.Answer, 1, MaxBody)
	document.CheckRange(doc, n, "requests", s.Limits.Requests, 1, MaxRequests)
	document.CheckRange(doc, n, "records", s.Limits.Records, 1, MaxRecords)
	document.CheckRange(doc, n, "descriptors", s.Limits.Descriptors, 0, MaxDescriptors)
	document.CheckRange(doc, n, "memory", s.Limits.Memory, 0, MaxMemory)
}
