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
