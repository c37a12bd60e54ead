package table_test

import (
	"os"
	"strings"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/examples"
	"fuchsiapick.example/fuchsiapick/table"
)

// small is a table of which tests change single lines.
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

// An operator mends one slip, publishes, and is told of the next, at night,
// five times. The cause: a decoder that stops at the first fault. All of them
// must be named at once, each with its line and with what is allowed.
func TestParseNamesAllFaultsOfAText(t *testing.T) {
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

func TestParseNamesSingleFaults(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"grammar":           {"slots = 3", "slots = = 3", "line 11: not TOML"},
		"table twice":       {"[[route]]", "[format]\n[[route]]", "line 18: "},
		"no format":         {"format = 1", "", "line 1: format: is missing; allowed: 1"},
		"older format":      {"format = 1", "format = 0", "line 1: format: 0 is not allowed; allowed: 1"},
		"no version":        {"version = 7", "", "line 1: version: is missing"},
		"negative version":  {"version = 7", "version = -7", "line 2: version: is -7; allowed: a whole number from 0"},
		"letter case":       {"floor = 0.4", "Floor = 0.4", "line 5: service bacheca: Floor: unknown key"},
		"nan":               {"floor = 0.4", "floor = nan", "line 5: service bacheca: floor: NaN is not allowed; allowed: 0 to 1"},
		"infinite rate":     {"floor = 0.4", "rate = inf", "line 5: service bacheca: rate: +Inf is not allowed"},
		"negative floor":    {"floor = 0.4", "floor = -0.1", "line 5: service bacheca: floor: -0.1 is not allowed"},
		"span without unit": {"floor = 0.4", "deadline = 2000", "line 5: service bacheca: deadline: is 2000; allowed: a span"},
		"span too fine":     {"floor = 0.4", `deadline = "1us"`, `deadline: "1us" is not a span`},
		"span too long":     {"floor = 0.4", `deadline = "300h"`, "deadline: 300h0m0s is not allowed; allowed: 10ms to 10m0s"},
		"drain":             {"floor = 0.4", `drain = "-1s"`, "drain: -1s is not allowed; allowed: 0s to 30s"},
		"retries":           {"floor = 0.4", "retries = 1.5", "retries: 1.5 is not allowed; allowed: 0 to 1"},
		"queue":             {"floor = 0.4", "queue = 10001", "queue: 10001 is not allowed; allowed: 0 to 10000"},
		"availability":      {"floor = 0.4", "objective = {availability = 1.0}", "objective: availability: 1 is not allowed; allowed: above 0 and below 1"},
		"latency":           {"floor = 0.4", `objective = {latency = "3s"}`, "latency: 3s is not allowed; allowed: 1ms to 2s"},
		"service twice": {
			"[[route]]",
			"[[service]]\nname = \"bacheca\"\nupstream = [{name = \"b3\", address = \"10.0.0.3:1\", node = \"10.0.0.3:2\", domain = \"a\", slots = 1}]\n[[route]]",
			`line 19: service bacheca: name: "bacheca" stands twice, first on line 4`,
		},
		"no upstreams": {"[[route]]", "[[service]]\nname = \"x\"\n[[route]]", "line 18: service x: upstream: is missing"},
		"upstream elsewhere": {
			"[[route]]",
			"[[service]]\nname = \"x\"\nupstream = [{name = \"b1\", address = \"10.0.0.3:1\", node = \"10.0.0.3:2\", domain = \"a\", slots = 1}]\n[[route]]",
			`line 20: service x: upstream b1: name: "b1" stands twice, first on line 7`,
		},
		"address twice":    {"10.0.0.2:8080", "10.0.0.1:8080", `line 14: service bacheca: upstream b2: address: "10.0.0.1:8080" stands twice, first on line 8`},
		"named address":    {"10.0.0.1:8080", "localhost:8080", "line 8: service bacheca: upstream b1: address"},
		"no port":          {"10.0.0.1:7000", "10.0.0.1", "line 9: service bacheca: upstream b1: node"},
		"any address":      {"10.0.0.1:7000", "0.0.0.0:7000", "line 9: service bacheca: upstream b1: node"},
		"node is upstream": {"10.0.0.1:7000", "10.0.0.2:8080", `line 9: service bacheca: upstream b1: node: "10.0.0.2:8080" is an upstream's address on line 14`},
		"node in two":      {"10.0.0.2:7000", "10.0.0.1:7000", `line 16: service bacheca: upstream b2: domain: "catania", but upstream b1 beside the same node has "palermo"`},
		"no domain":        {`domain = "palermo"`, "", "line 6: service bacheca: upstream b1: domain: is missing"},
		"weight":           {"slots = 3", "slots = 3\nweight = 10001", "line 12: service bacheca: upstream b1: weight: 10001 is not allowed; allowed: 0 to 10000"},
		"connections":      {"slots = 3", "slots = 3\nconnections = 2", "connections: 2 is not allowed; allowed: 3 to 60000"},
		"huge number":      {"slots = 3", "slots = 99999999999999999999", "line 11: service bacheca: upstream b1: slots: is 99999999999999999999"},
		"route twice":      {"[[caller]]", "[[route]]\nprefix = \"/bacheca\"\nservice = \"bacheca\"\n[[caller]]", "line 22: route /bacheca: prefix: \"/bacheca/\" stands twice, first on line 19"},
		"prefix segments":  {"/bacheca/", "/bacheca//x", "line 19: route /bacheca//x: prefix"},
		"caller":           {"van-1", "van 1", `line 22: caller van 1: name: "van 1" is not allowed`},
		"caller twice":     {"rate = 5", "rate = 5\n[[caller]]\nname = \"van-1\"", `line 25: caller van-1: name: "van-1" stands twice, first on line 22`},
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

// Operators drain a whole service for maintenance by weights of 0 and forget
// its floor: no gate may be set aside any more and none may serve. The cause
// is a floor that no choice of upstreams can reach.
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
		Queue: 10, Retries: 0.1,
		Objective: table.Objective{Availability: 0.999, Latency: 500, Within: 0.99},
	}
	upstreams := got.Upstreams
	got.Upstreams = nil
	if !equalServices(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if upstreams[0].Weight != 100 || upstreams[0].Connections != 400 {
		t.Errorf("got %+v, want weight 100 and 400 connections", upstreams[0])
	}
}

func equalServices(a, b table.Service) bool {
	return len(a.Upstreams) == 0 && len(b.Upstreams) == 0 &&
		a.Name == b.Name && a.Caution == b.Caution && a.Floor == b.Floor && a.Deadline == b.Deadline &&
		a.Drain == b.Drain && a.Queue == b.Queue && a.Retries == b.Retries && a.Rate == b.Rate &&
		a.CallerRate == b.CallerRate && a.Objective == b.Objective
}

// An operator sets a weight to 0 so that an upstream gets no new work, and it
// goes on getting its full share. The cause would be a default that can't tell
// a zero that was written from one that was left out.
func TestParseKeepsZerosThatAreWritten(t *testing.T) {
	text := strings.Replace(small, "slots = 3", "slots = 3\nweight = 0", 1)
	text = strings.Replace(text, "floor = 0.4", "floor = 0\nqueue = 0\nretries = 0\ndrain = \"0s\"", 1)
	s := mustParse(t, text).Services[0]
	if s.Upstreams[0].Weight != 0 || s.Floor != 0 || s.Queue != 0 || s.Retries != 0 || s.Drain != 0 {
		t.Errorf("got %+v, want the zeros of the text", s)
	}
}

func TestParseKeepsLatencyDefaultWithinDeadline(t *testing.T) {
	got := mustParse(t, strings.Replace(small, "floor = 0.4", `deadline = "200ms"`, 1))
	if latency := got.Services[0].Objective.Latency; latency != 200 {
		t.Errorf("got latency %v, want the deadline of 200ms", latency)
	}
}

// During an upgrade the table gets a key that only newer nodes know, and an
// older node lists unknown keys in a table that is right. The cause: two
// releases at once. The older one must say that the table is of a newer one.
func TestParseRefusesNewerFormatByThatFaultAlone(t *testing.T) {
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
		t.Errorf("got %v, want faults of this format", err)
	}
}

// A frame of a peer or a broken platform gives a text without end. It must be
// refused before memory or time is spent on it.
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

func TestDigestTellsTextsApart(t *testing.T) {
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
			t.Errorf("got %v for a table that was accepted, want the same table", err)
		}
	})
}
