package table_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/examples"
	"fuchsiapick.example/fuchsiapick/table"
)

// small is a short valid table. Tests change single lines of it.
const small = `format = 1
version = 7
[[service]]
name = "bacheca"
floor = 0.4
[[service.upstream]]
name = "b1"
address = "10.0.0.1:8080"
node = "10.0.0.1:7000"
domain = "palermo"
slots = 3
[[service.upstream]]
name = "b2"
address = "10.0.0.2:8080"
node = "10.0.0.2:7000"
domain = "catania"
slots = 5
[[route]]
prefix = "/bacheca/"
service = "bacheca"
[[caller]]
name = "van-1"
rate = 5
`

func mustParse(t testing.TB, text string) *table.Table {
	t.Helper()
	got, err := table.Parse([]byte(text))
	if err != nil {
		t.Fatalf("got %v, want a table", err)
	}
	return got
}

// Guards against a decoder that stops at the first fault, so that an operator has to
// publish again for each one. Parse must report all faults together, each with its line
// and with what is allowed.
func TestParseReportsAllFaults(t *testing.T) {
	text, err := os.ReadFile("testdata/faults.toml")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/faults.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, err = table.Parse(text)
	if !errors.Is(err, table.ErrInvalid) {
		t.Fatalf("got %v, want ErrInvalid", err)
	}
	if got := err.Error() + "\n"; got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

func TestParseReportsSingleFaults(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"grammar":      {"slots = 3", "slots = = 3", "line 11: not TOML"},
		"mark":         {"format = 1", "\ufeffformat = 1", "line 1: begins with a byte order mark"},
		"line ends":    {small, strings.ReplaceAll(small, "\n", "\r\n") + "name = 1\r\n", "line 24: caller van-1: name: given twice"},
		"table twice":  {"[[route]]", "[format]\n[[route]]", "line 18: "},
		"no format":    {"format = 1", "", "line 1: format: is missing; allowed: 1"},
		"older format": {"format = 1", "format = 0", "line 1: format: 0 is not allowed; allowed: 1"},
		"no version":   {"version = 7", "", "line 1: version: is missing"},
		"version":      {"version = 7", "version = 0", "line 2: version: 0 is not allowed"},
		"no services":  {strings.TrimPrefix(small, "format = 1\nversion = 7\n"), "", "line 1: service: is missing"},
		"span":         {"floor = 0.4", `deadline = "9ms"`, "deadline: 9ms is not allowed; allowed: 10ms to 10m0s"},
		"node":         {"10.0.0.1:7000", "10.0.0.2:8080", `line 9: service bacheca: upstream b1: node: "10.0.0.2:8080" is an upstream's address on line 14`},
		"domain":       {"10.0.0.2:7000", "10.0.0.1:7000", `line 16: service bacheca: upstream b2: domain: "catania", but upstream b1 beside the same node has "palermo"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := table.Parse([]byte(strings.Replace(small, test.old, test.new, 1)))
			if !errors.Is(err, table.ErrInvalid) {
				t.Fatalf("got %v, want ErrInvalid", err)
			}
			if got := err.Error(); !strings.Contains(got, test.want) || strings.Contains(got, "\n") {
				t.Errorf("got %q, want one line with %q", got, test.want)
			}
		})
	}
}

// Guards against a service whose weights are all 0, as for maintenance, while its floor
// is above 0. No choice of upstreams reaches that floor: none may be ejected, and
// none may serve.
func TestParseRefusesFloorThatWeightsCannotReach(t *testing.T) {
	text := strings.ReplaceAll(small, "slots = ", "weight = 0\nslots = ")
	_, err := table.Parse([]byte(text))
	if err == nil || !strings.Contains(err.Error(), "line 5: service bacheca: floor: 0.4 can't be reached") {
		t.Errorf("got %v, want the floor refused", err)
	}
	mustParse(t, strings.Replace(text, "floor = 0.4", "floor = 0", 1))
}

func TestParseFillsInDefaults(t *testing.T) {
	got := mustParse(t, strings.Replace(small, "floor = 0.4", "", 1)).Services[0]
	want := table.Service{
		Name: "bacheca", Caution: table.Balanced, Floor: 0.5, Deadline: 2 * clock.Second, Drain: 3 * clock.Second,
		Queue: 10, RetryRatio: 0.1,
		Objective: table.Objective{Availability: 0.999, Latency: 500, LatencyRatio: 0.99},
	}
	upstreams := got.Upstreams
	got.Upstreams = nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if upstreams[0].Weight != 100 || upstreams[0].Connections != 400 {
		t.Errorf("got %+v, want weight 100 and 400 connections", upstreams[0])
	}
}

// Guards against an upstream that keeps getting its full share of work after an operator
// has set its weight to 0. It happens if a default replaces a zero that the text gives.
func TestParseKeepsExplicitZeros(t *testing.T) {
	text := strings.Replace(small, "slots = 3", "slots = 3\nweight = 0", 1)
	text = strings.Replace(text, "floor = 0.4", "floor = 0\nqueue = 0\nretries = 0\ndrain = \"0s\"", 1)
	s := mustParse(t, text).Services[0]
	if s.Upstreams[0].Weight != 0 || s.Floor != 0 || s.Queue != 0 || s.RetryRatio != 0 || s.Drain != 0 {
		t.Errorf("got %+v, want the zeros of the text", s)
	}
}

func TestParseKeepsLatencyDefaultWithinDeadline(t *testing.T) {
	got := mustParse(t, strings.Replace(small, "floor = 0.4", `deadline = "200ms"`, 1))
	if latency := got.Services[0].Objective.Latency; latency != 200 {
		t.Errorf("got latency %v, want the deadline of 200ms", latency)
	}
}

// Guards against a node that reports unknown keys in a valid table of a newer release,
// when two releases run side by side during an upgrade. The older node must report only that
// the format is newer.
func TestParseReportsOnlyNewerFormat(t *testing.T) {
	_, err := table.Parse([]byte("format = 2\nversion = 9\nregions = [1]\n"))
	var faults table.Faults
	if !errors.Is(err, table.ErrFormat) || !errors.Is(err, table.ErrInvalid) || !errors.As(err, &faults) {
		t.Fatalf("got %v, want ErrFormat with faults", err)
	}
	if len(faults) != 1 || faults[0].Line != 1 {
		t.Errorf("got %v, want one fault, on line 1", faults)
	}
	_, err = table.Parse([]byte("format = 1\nregions = [1]\n"))
	if errors.Is(err, table.ErrFormat) || !errors.Is(err, table.ErrInvalid) {
		t.Errorf("got %v, want faults and no ErrFormat", err)
	}
}

// Guards against oversized or deeply nested texts from a peer or a faulty platform. Parse
// must refuse them before it spends much memory or time.
func TestParseBoundsTextAndNesting(t *testing.T) {
	tests := map[string]string{
		"long":      small + strings.Repeat("#", table.MaxBytes),
		"nested":    "format = " + strings.Repeat("[", 500_000),
		"many keys": manyKeys(120_000),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := table.Parse([]byte(text)); !errors.Is(err, table.ErrInvalid) {
				t.Errorf("got %v, want ErrInvalid", err)
			}
		})
	}
}

func manyKeys(n int) string {
	var b strings.Builder
	for i := range n {
		for d := i; ; d /= 26 {
			b.WriteByte(byte('a' + d%26))
			if d < 26 {
				break
			}
		}
		b.WriteString("=1\n")
	}
	return b.String()
}

func TestDigestDiffersBetweenTexts(t *testing.T) {
	const want = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
	if got := table.Digest(nil); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if table.Digest(examples.Sicily) == table.Digest(examples.Kingston) {
		t.Error("got one digest for two texts, want two")
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{small, string(examples.Sicily), string(examples.Kingston), "service = [{}]", "[[service]]\n[service.objective]\nlatency = 1", "a.b.c = {d = [{}, 1]}"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := table.Parse(text)
		if err != nil {
			if !errors.Is(err, table.ErrInvalid) {
				t.Errorf("got %v, want ErrInvalid", err)
			}
			return
		}
		if again, err := table.Build(*got); err != nil || len(table.Diff(got, again)) != 0 {
			t.Errorf("got error %v or a different table from Build for an accepted table, want the same table", err)
		}
	})
}

// Guards against a typing error in an upstream's failure domain. Callers prefer upstreams
// of their own domain, so the upstream would lose the callers next to it, and only
// longer delays would show it.
func TestParseFindsUnknownDomain(t *testing.T) {
	text := `format = 1
version = 1
domains = ["palermo", "catania", "palermo"]
[[service]]
name = "bacheca"
[[service.upstream]]
name = "bacheca-1"
address = "10.0.0.1:80"
node = "10.0.0.1:7000"
domain = "palremo"
slots = 3
`
	_, err := table.Parse([]byte(text))
	for _, want := range []string{`line 3: domains: "palermo" is given twice`, `line 10: service bacheca: upstream bacheca-1: domain: "palremo" is not allowed`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q in it", err, want)
		}
	}
}
