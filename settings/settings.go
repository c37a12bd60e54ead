// Package settings defines what one node is told when it starts: its
// addresses, its failure domain, the platform and its own limits.
package settings

import (
	"bytes"
	"os"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/document"
)

// ErrInvalid is matched by the error of settings that were not accepted.
const ErrInvalid = document.ErrInvalid

// Settings is what one node is told when it starts.
type Settings struct {
	// Node is the node's name in logs and reports.
	Node string `toml:"node"`
	// Domain is the failure domain that the node's instance is in.
	Domain   string   `toml:"domain"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	// Secret proves to peers that a link may speak; 16 characters at least.
	Secret string `toml:"secret"`
	// SecretFile names a file that holds the secret, in place of Secret.
	SecretFile string `toml:"secretfile"`
	// Peers are link addresses of a few nodes to ask for a table at the start.
	Peers  []string `toml:"peers"`
	Limits Limits   `toml:"limits"`
	// Grace bounds a shutdown: requests in flight have this long to end.
	Grace clock.Millis `toml:"grace"`
	// Log is the least level that is logged.
	Log string `toml:"log"`
}

// Listen holds the node's own addresses, IP number and port.
type Listen struct {
	// Caller takes callers' requests.
	Caller string `toml:"caller"`
	// Link takes other nodes' links.
	Link string `toml:"link"`
	// Announce is the link address under which tables name the node, if it is
	// another one than Link.
	Announce string `toml:"announce"`
	// Admin serves metrics, health and what the report reads.
	Admin string `toml:"admin"`
}

// Platform says where the table and the instance list are read.
type Platform struct {
	// Address is IP number and port.
	Address string `toml:"address"`
	// Poll is the longest that a node waits between two reads.
	Poll clock.Millis `toml:"poll"`
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

// Parse reads settings and checks the whole of them. What the text leaves out
// gets its default. The error of a text that is not accepted is a
// document.Faults.
func Parse(text []byte) (*Settings, error) {
	s := defaults()
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, document.Faults{{Problem: err.Error()}}
	}
	return &s, nil
}

// Load reads and checks the settings in a file. Errors name the file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading settings")
	}
	s, err := Parse(text)
	if err != nil {
		return nil, errors.Annotatef(err, "settings %s", path)
	}
	return s, nil
}
