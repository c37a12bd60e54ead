package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/settings"
)

const small = `node = "palermo-1"
domain = "palermo"
secret = "0123456789abcdef"
peers = ["10.0.0.2:7000"]
[listen]
caller = "10.0.0.1:8000"
link = "10.0.0.1:7000"
admin = "127.0.0.1:9000"
[platform]
address = "10.0.1.1:2000"
`

func TestParseFillsInDefaults(t *testing.T) {
	got, err := settings.Parse([]byte(small))
	if err != nil {
		t.Fatalf("got %v, want settings", err)
	}
	want := settings.Limits{Body: 1 << 20, Answer: 8 << 20, Requests: 4096, Records: 20000}
	if got.Limits != want || got.Grace != 30*clock.Second || got.Log != "info" || got.Platform.PollInterval != 5*clock.Second {
		t.Errorf("got %+v, want the defaults", got)
	}
	if got.Node != "palermo-1" || got.Listen.Link != "10.0.0.1:7000" || len(got.Peers) != 1 {
		t.Errorf("got %+v, want the values of the text", got)
	}
}

func TestParseAcceptsPortZeroAndUnspecifiedAddress(t *testing.T) {
	text := strings.NewReplacer("10.0.0.1:8000", "0.0.0.0:8000", "10.0.0.1:7000", "127.0.0.1:0", "127.0.0.1:9000", "127.0.0.1:0").Replace(small)
	if _, err := settings.Parse([]byte(text)); err != nil {
		t.Errorf("got %v, want settings", err)
	}
}

func TestParseReportsFaults(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"grammar":      {`"palermo"`, `palermo`, "line 2: not TOML"},
		"unknown key":  {"peers", "peer", "line 4: peer: unknown key; allowed: beat, domain, grace, limits, linger, listen"},
		"no node":      {`node = "palermo-1"`, "", "line 1: node: is missing"},
		"domain":       {`"palermo"`, `""`, `line 2: domain: "" is not allowed`},
		"short secret": {"0123456789abcdef", "hush", "line 3: secret: has 4 bytes; allowed: 16 bytes or more, or secretfile"},
		"no secret":    {"secret = ", "# ", "line 1: secret: is missing; allowed: 16 bytes or more, or secretfile"},
		"two secrets":  {"peers", "secretfile = \"x\"\npeers", "line 4: secretfile: is given together with secret"},
		"peer":         {"10.0.0.2:7000", "node-2:7000", `line 4: peers: "node-2:7000" is not allowed`},
		"one peer":     {`["10.0.0.2:7000"]`, `"10.0.0.2:7000"`, "line 4: peers: is the text \"10.0.0.2:7000\"; allowed: an array of texts"},
		"listen":       {"10.0.0.1:8000", "palermo-1:8000", "line 6: listen: caller: \"palermo-1:8000\" is not allowed"},
		"any link":     {"10.0.0.1:7000", "0.0.0.0:7000", "line 7: listen: link: \"0.0.0.0:7000\" is not allowed; allowed: the IP number that the table gives"},
		"listen twice": {"10.0.0.1:8000", "10.0.0.1:7000", `line 7: listen: link: "10.0.0.1:7000" is used by caller too`},
		"no admin":     {`admin = "127.0.0.1:9000"`, "", "line 5: listen: admin: is missing"},
		"platform":     {"10.0.1.1:2000", "10.0.1.1", "line 10: platform: address"},
		"poll":         {"[platform]", "[platform]\npoll = \"10ms\"", "line 10: platform: poll: 10ms is not allowed; allowed: 1s to 10m0s"},
		"body":         {"[platform]", "[limits]\nbody = -1\n[platform]", "line 10: limits: body: -1 is not allowed"},
		"records":      {"[platform]", "[limits]\nrecords = 0\n[platform]", "line 10: limits: records: 0 is not allowed"},
		"grace":        {"peers", "grace = \"30\"\npeers", `line 4: grace: "30" is not a span`},
		"log":          {"peers", "log = \"loud\"\npeers", `line 4: log: "loud" is not allowed; allowed: error, warn, info, debug`},
		"long":         {"peers", "#" + strings.Repeat("x", settings.MaxBytes) + "\npeers", "allowed: at most 65536 bytes"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse([]byte(strings.Replace(small, test.old, test.new, 1)))
			if !errors.Is(err, settings.ErrInvalid) {
				t.Fatalf("got %v, want ErrInvalid", err)
			}
			if got := err.Error(); !strings.Contains(got, test.want) || strings.Contains(got, "\n") {
				t.Errorf("got %q, want one line with %q", got, test.want)
			}
		})
	}
}

// Guards against a fault that shows a refused secret: faults reach the log of every
// instance.
func TestFaultsDoNotShowSecret(t *testing.T) {
	_, err := settings.Parse([]byte(strings.Replace(small, "0123456789abcdef", "hush", 1)))
	if err == nil || strings.Contains(err.Error(), "hush") {
		t.Errorf("got %v, want a fault without the secret", err)
	}
}

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	secret := write("secret", "fedcba9876543210\n")
	path := write("node.toml", strings.Replace(small, `secret = "0123456789abcdef"`, `secretfile = "`+secret+`"`, 1))
	got, err := settings.Load(path)
	if err != nil || got.Secret != "fedcba9876543210" {
		t.Errorf("got %+v, %v, want the secret of the file", got, err)
	}
	write("secret", "short\n")
	if _, err := settings.Load(path); !errors.Is(err, settings.ErrInvalid) || !strings.Contains(err.Error(), path) {
		t.Errorf("got %v, want the short secret refused and the file named", err)
	}
	if _, err := settings.Load(filepath.Join(dir, "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("got %v, want ErrNotExist", err)
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{small, "", "listen = 1\n[listen]", "limits.body = 1\nlimits = {}", "secret = '''x"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := settings.Parse(text); err != nil && !errors.Is(err, settings.ErrInvalid) {
			t.Errorf("got %v, want ErrInvalid", err)
		}
	})
}

// Guards against a change that silently weakens the check of what operators write: Load starts a node with
// these values and a warning, Parse refuses them.
func TestLoadAdjustsWhatParseRefuses(t *testing.T) {
	tests := map[string]struct {
		text, want string
		inForce    func(s *settings.Settings) bool
	}{
		"grace above":   {`grace = "1h"`, "grace: 1h0m0s is out of bounds, 15m0s is in force", func(s *settings.Settings) bool { return s.Grace == settings.MaxGrace }},
		"fine grace":    {`grace = "4000.5ms"`, "grace: 4.0005s is out of bounds, 4s is in force", func(s *settings.Settings) bool { return s.Grace == 4*clock.Second }},
		"linger":        {"grace = \"4s\"\nlinger = \"2500ms\"", "linger: 2.5s is out of bounds, 2s is in force", func(s *settings.Settings) bool { return s.Linger == 2*clock.Second }},
		"fresh":         {`platform.fresh = "250ms"`, "fresh: 250ms is out of bounds, 500ms is in force", func(s *settings.Settings) bool { return s.Platform.MaxStaleness == settings.MinMaxStaleness }},
		"retries":       {"policy.retries = 1.5", "retries: 1.5 is out of bounds, 1 is in force", func(s *settings.Settings) bool { return s.Policy.Retries == 1 }},
		"extra":         {"policy.extra = 2e6", "extra: 2e+06 is out of bounds, 1e+06 is in force", func(s *settings.Settings) bool { return s.Policy.Extra == settings.MaxExtra }},
		"window":        {"policy.extra = 50\npolicy.window = \"5m\"", "window: 5m0s is out of bounds, 1m0s with extra 10 is in force", func(s *settings.Settings) bool { return s.Policy.Extra == 10 && s.Policy.Window == settings.MaxWindow }},
		"peers":         {`peers = ["10.0.0.2:7000", "node-2:7000", "10.0.0.2:7000"]`, "peers: \"node-2:7000\" is out of bounds, it is left out", func(s *settings.Settings) bool { return len(s.Peers) == 1 }},
		"metrics":       {`listen.metrics = ":9464"`, "metrics: \":9464\" is out of bounds, no port for metrics alone is in force", func(s *settings.Settings) bool { return s.Listen.Metrics == "" }},
		"metrics twice": {`listen.metrics = "127.0.0.1:9000"`, "metrics: \"127.0.0.1:9000\" is out of bounds", func(s *settings.Settings) bool { return s.Listen.Metrics == "" }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			text := test.text + `
node = "palermo-1"
domain = "palermo"
secret = "0123456789abcdef"
listen.caller = "10.0.0.1:8000"
listen.link = "10.0.0.1:7000"
listen.admin = "127.0.0.1:9000"
platform.address = "10.0.1.1:2000"
`
			path := filepath.Join(t.TempDir(), "node.toml")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			got, err := settings.Load(path)
			if err != nil {
				t.Fatal(err)
			}
			if !test.inForce(got) || len(got.Warnings) == 0 || !strings.Contains(got.Warnings.Error(), test.want) {
				t.Errorf("got %+v, want the value adjusted and a warning %q", got, test.want)
			}
			if _, err := settings.Parse([]byte(text)); !errors.Is(err, settings.ErrInvalid) {
				t.Errorf("got %v from Parse, want ErrInvalid", err)
			}
		})
	}
}

// Guards against a negative value that is taken for one that is merely too small.
func TestLoadRefusesWhatCannotBeMeant(t *testing.T) {
	for _, line := range []string{`grace = "-1s"`, `grace = "-0.5ms"`, `grace = ""`, "policy.retries = -0.1", "policy.extra = -1", `platform.fresh = "-1s"`} {
		path := filepath.Join(t.TempDir(), "node.toml")
		if err := os.WriteFile(path, []byte(line+"\n"+small), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := settings.Load(path); !errors.Is(err, settings.ErrInvalid) {
			t.Errorf("%s: got %v, want ErrInvalid", line, err)
		}
	}
}
