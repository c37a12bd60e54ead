// Package settings defines the settings of one node: its addresses, its failure domain,
// the platform that it reads and its own limits.
package settings

import (
	"strings"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/document"
	"fuchsiapick.example/fuchsiapick/table"
)

// ErrInvalid matches the error of settings that were refused.
const ErrInvalid = document.ErrInvalid

// Settings are the settings of one node.
type Settings struct {
	// Node is the node's name in logs and reports.
	Node string `toml:"node"`
	// Domain is the failure domain that the node's instance is in.
	Domain string `toml:"domain"`
	// Service is the service of the backend server beside the node. If it is set,
	// requests that enter at this node count as requests by that service.
	Service  string   `toml:"service"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	// Secret authenticates links to peers; it has at least 16 bytes.
	Secret string `toml:"secret"`
	// SecretFile names a file that holds the secret, in place of Secret.
	SecretFile string `toml:"secretfile"`
	// Peers are the link addresses of a few nodes that the node asks for a table when
	// it starts.
	Peers  []string `toml:"peers"`
	Limits Limits   `toml:"limits"`
	// Policy holds the values of a service that a FormStore platform doesn't
	// publish.
	Policy Policy `toml:"policy"`
	// HeartbeatInterval is the interval of heartbeats on links.
	HeartbeatInterval clock.Millis `toml:"beat"`
	// Grace is the longest time of a shutdown for requests in flight to end.
	Grace clock.Millis `toml:"grace"`
	// Linger is the minimum time for which a leaving node still accepts callers'
	// requests. Load balancers that watch its readiness need this time to send callers
	// to other nodes. Its gates accept requests for the same time, but for a third of Grace
	// at most.
	Linger clock.Millis `toml:"linger"`
	// Log is the lowest level that is logged: "error", "warn", "info" or "debug".
	Log string `toml:"log"`
	// Warnings are the faults that Load has found and replaced by a value that is in force.
	Warnings document.Faults `toml:"-"`
}

// Listen holds the addresses on which the node listens, each an IP number and port. Port 0
// stands for any free port, for tests.
type Listen struct {
	// Caller accepts callers' requests.
	Caller string `toml:"caller"`
	// Link accepts links of other nodes. The table gives this address as the node of
	// the upstreams beside it.
	Link string `toml:"link"`
	// Announce is the link address under which tables name the node, if it differs
	// from Link.
	Announce string `toml:"announce"`
	// Admin serves metrics, health checks and the data of reports.
	Admin string `toml:"admin"`
	// Metrics serves only the metrics, for a scraper that needs the same port on all
	// instances; it may be empty.
	Metrics string `toml:"metrics"`
}

// Platform says where the node reads the table and the instance list.
type Platform struct {
	// Address is the platform's IP number and port.
	Address string `toml:"address"`
	// Form is what the platform publishes: FormTable or FormStore.
	Form string `toml:"form"`
	// MaxStaleness is the maximum age of the node's copy of the platform's data while the
	// platform answers.
	MaxStaleness clock.Millis `toml:"fresh"`
	// PollInterval is about the longest wait between two failed reads of a FormTable
	// platform.
	PollInterval clock.Millis `toml:"poll"`
}

// The values of Platform.Form.
const (
	// FormTable means a table and an instance list in the format of package table.
	FormTable = "table"
	// FormStore means the operators' own metadata store, with their configuration
	// and the registrations of backend servers.
	FormStore = "store"
)

// Policy applies to all services of a FormStore platform. Its fields mean the same as
// those of table.Service.
type Policy struct {
	Caution table.Caution `toml:"caution"`
	Floor   float64       `toml:"floor"`
	Drain   clock.Millis  `toml:"drain"`
	// Retries is the share of requests, from 0 to 1, that may be retried. Extra is the
	// number of retries beyond it that all nodes together may send in each Window.
	Retries float64      `toml:"retries"`
	Extra   float64      `toml:"extra"`
	Window  clock.Millis `toml:"window"`
	// Waiting and Placement are empty unless the settings give them: the platform's
	// configuration then decides.
	Waiting   table.Waiting   `toml:"waiting"`
	Placement table.Placement `toml:"placement"`
	// Lift lists the fingerprints of requests whose quarantine is lifted.
	Lift []string `toml:"lift"`
}

// Limits bounds what one node holds in memory.
type Limits struct {
	// Body bounds a request's body in bytes.
	Body int `toml:"body"`
	// Answer bounds an answer's body in bytes.
	Answer int `toml:"answer"`
	// Requests bounds the number of concurrent requests.
	Requests int `toml:"requests"`
	// Records bounds the number of records of individual requests.
	Records int `toml:"records"`
	// Memory is the memory of the instance in bytes, which the process must not exceed; 0 means
	// that it isn't known. Bodies may take a part of it, and the runtime frees memory earlier
	// when it gets short.
	Memory float64 `toml:"memory"`
	// Descriptors is how many descriptors the process may have open; 0 means as many as the
	// system allows, which is the most in any case.
	Descriptors float64 `toml:"descriptors"`
}

// MaxBytes bounds the text of settings in bytes, far above the size that they need.
const MaxBytes = 64 << 10

// Parse decodes and checks settings and fills in the defaults of keys that the text
// leaves out. Its error is a document.Faults. Parse doesn't read a secret file; Load
// does.
func Parse(text []byte) (*Settings, error) {
	return parse(text, false)
}

// parse is Parse. With adjusts, the values that a platform computes may be out of their bounds.
func parse(text []byte, adjusts bool) (*Settings, error) {
	doc, err := document.Parse(text, MaxBytes)
	if err != nil {
		return nil, err
	}
	s := defaults()
	if !doc.Decode(&s) {
		return nil, doc.Err()
	}
	if adjusts {
		s.adjust(doc)
	}
	s.check(doc)
	if adjusts {
		s.keepDomain(doc)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Load reads and checks the settings in a file. If they name a secret file, it sets Secret
// to the content of that file. Errors name the file. Unlike Parse, it replaces a value that is out of
// bounds, but has a safe meaning, and adds a warning: a platform that computes its values would
// otherwise keep all nodes from starting.
func Load(path string) (*Settings, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading settings")
	}
	s, err := parse(text, true)
	if err != nil {
		return nil, errors.Annotatef(err, "settings %s", path)
	}
	if s.SecretFile != "" {
		if err := s.loadSecret(); err != nil {
			return nil, errors.Annotatef(err, "settings %s", path)
		}
	}
	return s, nil
}

// loadSecret sets Secret to the content of the secret file, without the line breaks that
// editors add at the end.
func (s *Settings) loadSecret() error {
	text, err := readFile(s.SecretFile)
	if err != nil {
		return errors.Annotate(err, "reading secretfile")
	}
	secret := strings.TrimRight(string(text), "\r\n")
	if problem, ok := secretProblem(secret); !ok {
		return document.Faults{{Where: "secretfile " + s.SecretFile, Problem: problem, Allowed: allowedSecret()}}
	}
	s.Secret = secret
	return nil
}
