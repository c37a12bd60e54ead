// Package settings defines what one node is told when it starts: its
// addresses, its failure domain, the platform and its own limits.
package settings

import (
	"os"
	"strings"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/document"
	"fuchsiapick.example/fuchsiapick/table"
)

// ErrInvalid is matched by the error of settings that were not accepted.
const ErrInvalid = document.ErrInvalid

// Settings is what one node is told when it starts.
type Settings struct {
	// Node is the node's name in logs and reports.
	Node string `toml:"node"`
	// Domain is the failure domain that the node's instance is in.
	Domain string `toml:"domain"`
	// Service is the service of the backend server beside the node. Requests
	// that begin here then count as that service's.
	Service  string   `toml:"service"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	// Secret proves to peers that a link may speak; 16 characters at least.
	Secret string `toml:"secret"`
	// SecretFile names a file that holds the secret, in place of Secret.
	SecretFile string `toml:"secretfile"`
	// Peers are link addresses of a few nodes to ask for a table at the start.
	Peers  []string `toml:"peers"`
	Limits Limits   `toml:"limits"`
	// Policy is what a platform that publishes no table of this project's
	// leaves open.
	Policy Policy `toml:"policy"`
	// HeartbeatInterval is the interval of heartbeats on links.
	HeartbeatInterval clock.Millis `toml:"beat"`
	// Grace bounds a shutdown: requests in flight have this long to end.
	Grace clock.Millis `toml:"grace"`
	// Linger is how long a leaving node takes callers' requests at least: those
	// who watch its readiness need a while to send callers elsewhere.
	Linger clock.Millis `toml:"linger"`
	// Log is the least level that is logged.
	Log string `toml:"log"`
}

// Listen holds the node's own addresses, IP number and port. Port 0 takes any
// free one, for tests.
type Listen struct {
	// Caller takes callers' requests.
	Caller string `toml:"caller"`
	// Link takes other nodes' links. It is what the table gives as the node of
	// the upstreams beside it.
	Link string `toml:"link"`
	// Announce is the link address under which tables name the node, if it is
	// another one than Link.
	Announce string `toml:"announce"`
	// Admin serves metrics, health and what the report reads.
	Admin string `toml:"admin"`
	// Metrics serves the metrics alone, where a scraper needs a port that is the
	// same on all instances; it may be empty.
	Metrics string `toml:"metrics"`
}

// Platform says where the table and the instance list are read.
type Platform struct {
	// Address is IP number and port.
	Address string `toml:"address"`
	// Form is what the platform publishes: FormTable or FormStore.
	Form string `toml:"form"`
	// MaxStaleness is how old what is known may be at most while the platform answers.
	MaxStaleness clock.Millis `toml:"fresh"`
	// PollInterval is about the longest that a node waits between two reads of a FormTable
	// platform that fail.
	PollInterval clock.Millis `toml:"poll"`
}

// The forms of a platform.
const (
	// FormTable means a table and an instance list as this project defines them.
	FormTable = "table"
	// FormStore means the users' metadata store, with their own configuration
	// and the registrations of backend servers.
	FormStore = "store"
)

// Policy holds for all services of a FormStore platform. The fields are those
// of a table's service.
type Policy struct {
	Caution table.Caution `toml:"caution"`
	Floor   float64       `toml:"floor"`
	Drain   clock.Millis  `toml:"drain"`
	// Retries is the share of requests that may be sent again, Extra what all
	// nodes together may send beyond it in each Window.
	Retries float64      `toml:"retries"`
	Extra   float64      `toml:"extra"`
	Window  clock.Millis `toml:"window"`
	// Lift frees requests of a quarantine, by their fingerprints.
	Lift []string `toml:"lift"`
}

// Limits bounds what one node holds in memory.
type Limits struct {
	// Body bounds a request's body in bytes.
	Body int `toml:"body"`
	// Answer bounds an answer's body in bytes.
	Answer int `toml:"answer"`
	// Requests bounds the concurrent requests.
	Requests int `toml:"requests"`
	// Records bounds the accounts of single requests that a node keeps.
	Records int `toml:"records"`
}

// MaxBytes bounds the text of settings, far above what they need.
const MaxBytes = 64 << 10

// Parse reads settings and checks the whole of them. What the text leaves out
// gets its default. The error of a text that is not accepted is a
// document.Faults. A secret file is not read: Load does that.
func Parse(text []byte) (*Settings, error) {
	doc, err := document.Parse(text, MaxBytes)
	if err != nil {
		return nil, err
	}
	s := defaults()
	if !doc.Decode(&s) {
		return nil, doc.Err()
	}
	s.check(doc)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Load reads and checks the settings in a file, and reads the secret file if
// they name one, so that Secret is set. Errors name the file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading settings")
	}
	s, err := Parse(text)
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

// loadSecret reads the secret file without the line end that editors add.
func (s *Settings) loadSecret() error {
	text, err := os.ReadFile(s.SecretFile) //nolint:gosec // the settings name the file, and who writes them runs the node
	if err != nil {
		return errors.Annotate(err, "reading secretfile")
	}
	secret := strings.TrimRight(string(text), "\r\n")
	if problem, ok := secretProblem(secret); !ok {
		return document.Faults{{Where: "secretfile " + s.SecretFile, Problem: problem, Allowed: secretAllowed()}}
	}
	s.Secret = secret
	return nil
}
