package table_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

// The seed of the property tests is fixed unless -rapid.seed is given on the command line.
var _ = flag.Set("rapid.seed", "20")

// withRoutes returns a table of one service with a route for each prefix.
func withRoutes(t testing.TB, prefixes ...string) *table.Table {
	t.Helper()
	base := *mustParse(t, small)
	base.Routes = nil
	for _, p := range prefixes {
		base.Routes = append(base.Routes, table.Route{Prefix: p, Service: "bacheca"})
	}
	got, err := table.Build(base)
	if err != nil {
		t.Fatalf("got %v, want a table", err)
	}
	return got
}

func TestRouteTakesLongestPrefixThatBeginsThePath(t *testing.T) {
	tbl := withRoutes(t, "/a", "/a/b/", "/a/b/c/d", "/x", "/a%2Fb/")
	tests := map[string]string{
		"/a": "/a", "/a/": "/a", "/a/z": "/a", "/ab": "", "/": "", "": "", "a": "",
		"/a/b": "/a", "/a/b/": "/a/b/", "/a/bc": "/a", "/a/b/c": "/a/b/", "/a/b/c/": "/a/b/",
		"/a/b/c/d": "/a/b/c/d", "/a/b/c/d/e/f": "/a/b/c/d", "/a//b": "/a", "//a": "", "/x" + strings.Repeat("/", 9000): "/x",
		"/a/b%2F": "/a", "/a%2Fb/": "/a%2Fb/", "/a%2fb/": "", "/%61/b/": "", "/a/./b/c": "/a", "/a/b/../c": "/a/b/", "/./a": "", "/A": "",
	}
	for path, want := range tests {
		r, ok := tbl.Route("", path)
		if ok != (want != "") || ok && r.Prefix != want {
			t.Errorf("%.20q: got %+v, %v, want %q", path, r, ok, want)
		}
	}
	if r, ok := withRoutes(t, "/", "/a").Route("", "/b/c"); !ok || r.Prefix != "/" {
		t.Errorf("got %+v, want the route with the prefix /", r)
	}
}

// begins is a plain reading of the rule by which a prefix takes a path.
func begins(prefix, path string) bool {
	if !strings.HasSuffix(prefix, "/") {
		return path == prefix || strings.HasPrefix(path, prefix+"/")
	}
	return strings.HasPrefix(path, prefix)
}

// Guards against a request that is taken for one of another route, whose requests may be repeated, need no key or
// lead to another service, since its path is close to the other's prefix.
func TestRouteMatchesLinearSearch(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "ab", "A", "", ".", "..", "%2F", "a%2Fb", "%61", "a;b", "a b", "\\"})
	path := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(segment, 0, 5).Draw(t, "segments"), "/")
	})
	rapid.Check(t, func(t *rapid.T) {
		hosts := []string{"", "a.example", "b.example"}
		var tbl table.Table
		seen := map[string]bool{}
		for range rapid.IntRange(1, 12).Draw(t, "routes") {
			r := table.Route{Host: rapid.SampledFrom(hosts).Draw(t, "host"), Prefix: path.Draw(t, "prefix")}
			if rapid.Bool().Draw(t, "slash") {
				r.Prefix = strings.TrimSuffix(r.Prefix, "/") + "/"
			}
			if key := r.Host + strings.TrimSuffix(r.Prefix, "/"); !seen[key] {
				seen[key] = true
				tbl.Routes = append(tbl.Routes, r)
			}
		}
		built := table.Index(tbl)
		target := rapid.OneOf(path, rapid.Custom(func(t *rapid.T) string {
			beside := rapid.SampledFrom(tbl.Routes).Draw(t, "beside").Prefix
			return rapid.SampledFrom([]string{beside, strings.TrimSuffix(beside, "/"), beside + "x", strings.TrimSuffix(beside, "/") + "%2Fx", strings.ToUpper(beside), beside + "../"}).Draw(t, "form")
		})).Draw(t, "path")
		host := rapid.SampledFrom(hosts[1:]).Draw(t, "requested host")
		want := ""
		for _, candidates := range []string{host, ""} {
			for _, r := range tbl.Routes {
				if r.Host == candidates && begins(r.Prefix, target) && len(r.Prefix) > len(want) {
					want = r.Prefix
				}
			}
			if want != "" {
				break
			}
		}
		query := rapid.SampledFrom([]string{"", "?", "?/a/", "?x=/../b"}).Draw(t, "query")
		origin := rapid.SampledFrom([]string{"", "http://a.example", "HTTPS://A.example:80"}).Draw(t, "origin")
		got, ok := built.Route(strings.ToUpper(host), table.ParseTarget(origin+target+query).Path)
		if ok != (want != "") || ok && got.Prefix != want {
			t.Errorf("%q: got %+v, want %q", origin+target+query, got, want)
		}
	})
}

func TestParseTarget(t *testing.T) {
	for target, want := range map[string]table.Target{
		"/":                          {Path: "/"},
		"/a/?b":                      {Path: "/a/"},
		"/a?b?c/":                    {Path: "/a"},
		"//a.example/b":              {Path: "//a.example/b"},
		"/http://a.example/b":        {Path: "/http://a.example/b"},
		"/a%3Fb":                     {Path: "/a%3Fb"},
		"http://a.example/b/c?d=/e":  {Authority: "a.example", Path: "/b/c"},
		"HTTPS://a.example:8443//b/": {Authority: "a.example:8443", Path: "//b/"},
		"http://a.example":           {Authority: "a.example"},
		"http://a.example?/b/":       {Authority: "a.example"},
		"ftp://a.example/b":          {},
		"*":                          {},
		"a.example:443":              {},
		"":                           {},
	} {
		if got := table.ParseTarget(target); got != want {
			t.Errorf("%q: got %+v, want %+v", target, got, want)
		}
	}
}

func TestShortestTimeout(t *testing.T) {
	services := []table.Service{{Name: "bacheca", Deadline: 4 * clock.Second}, {Name: "turni", Deadline: 2 * clock.Second}}
	for name, test := range map[string]struct {
		routes []table.Route
		want   clock.Millis
	}{
		"no route":          {nil, 0},
		"a route's timeout": {[]table.Route{{Prefix: "/a/", Service: "bacheca"}, {Prefix: "/b/", Service: "bacheca", Timeout: clock.Second}}, clock.Second},
		"a longer timeout":  {[]table.Route{{Prefix: "/a/", Service: "turni", Timeout: 3 * clock.Second}}, 3 * clock.Second},
		"a deadline":        {[]table.Route{{Prefix: "/a/", Service: "bacheca"}}, 4 * clock.Second},
		"shares":            {[]table.Route{{Prefix: "/a/", Shares: []table.Share{{Service: "bacheca", Weight: 1}, {Service: "turni", Weight: 1}}}}, 2 * clock.Second},
	} {
		if got := table.Index(table.Table{Services: services, Routes: test.routes}).ShortestTimeout(); got != test.want {
			t.Errorf("%s: got %v, want %v", name, got, test.want)
		}
	}
}

// Guards against reads that run twice on a route whose list of repeatable methods is
// empty, for example because each read is counted. It happens if an empty list is taken
// for one that was left out.
func TestMayRepeat(t *testing.T) {
	none := mustParse(t, strings.Replace(small, "[[caller]]", "repeatable = []\n[[caller]]", 1)).Routes[0]
	built, err := table.Build(*mustParse(t, small))
	if err != nil {
		t.Fatal(err)
	}
	byDefault := table.Route{}
	listed := table.Route{Repeatable: []string{"GET", "PUT"}}
	tests := []struct {
		route  table.Route
		method string
		want   bool
	}{
		{byDefault, "GET", true},
		{byDefault, "HEAD", true},
		{byDefault, "POST", false},
		{byDefault, "get", false},
		{mustParse(t, small).Routes[0], "GET", true},
		{built.Routes[0], "HEAD", true},
		{none, "GET", false},
		{none, "POST", false},
		{listed, "PUT", true},
		{listed, "HEAD", false},
		{listed, "POST", false},
	}
	for _, test := range tests {
		if got := test.route.MayRepeat(test.method); got != test.want {
			t.Errorf("%v, %s: got %v, want %v", test.route.Repeatable, test.method, got, test.want)
		}
	}
}

func TestLookUpsByName(t *testing.T) {
	tbl := mustParse(t, small)
	if s, ok := tbl.Service("bacheca"); !ok || s != &tbl.Services[0] {
		t.Errorf("got %v, %v, want the service", s, ok)
	}
	if _, ok := tbl.Service("squadre"); ok {
		t.Error("got a service, want none")
	}
	s, u, ok := tbl.Upstream("b2")
	if !ok || s.Name != "bacheca" || u != &tbl.Services[0].Upstreams[1] {
		t.Errorf("got %v, %v, %v, want b2 of bacheca", s, u, ok)
	}
	if _, _, ok := tbl.Upstream("b3"); ok {
		t.Error("got an upstream, want none")
	}
}

// plannedRoutes is the number of routes that the project is designed for.
const plannedRoutes = 190_000

func plannedTable(t testing.TB) (*table.Table, []string) {
	t.Helper()
	prefixes := make([]string, plannedRoutes)
	for i := range prefixes {
		prefixes[i] = fmt.Sprintf("/region%d/service%d/route%d/", i%11, i%4100, i)
	}
	return withRoutes(t, prefixes...), prefixes
}

func TestRouteAllocatesNothingAtPlannedSize(t *testing.T) {
	tbl, prefixes := plannedTable(t)
	i := 0
	got := testing.AllocsPerRun(1000, func() {
		i++
		r, ok := tbl.Route("", prefixes[i*7919%plannedRoutes])
		if !ok || r.MayRepeat("POST") {
			t.Fatal("got no route, want one")
		}
	})
	if got != 0 {
		t.Errorf("got %v allocations a lookup, want 0", got)
	}
}

func BenchmarkRoute(b *testing.B) {
	for _, bench := range []struct{ name, rest string }{
		{"short", "item/42"},
		{"thousands of segments", strings.Repeat("a/", 4000)},
		{"thousands of empty segments", strings.Repeat("/", 8000)},
	} {
		b.Run(bench.name, func(b *testing.B) { benchmarkRoute(b, bench.rest) })
	}
}

// benchmarkRoute looks up paths that go on after the prefix of their route.
func benchmarkRoute(b *testing.B, rest string) {
	b.Helper()
	tbl, prefixes := plannedTable(b)
	paths := make([]string, 4096)
	for i := range paths {
		paths[i] = prefixes[i*7919%plannedRoutes] + rest
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := tbl.Route("", paths[i%len(paths)]); !ok {
			b.Fatal("got no route, want one")
		}
	}
}
