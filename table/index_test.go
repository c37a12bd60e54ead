package table_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

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

func TestRouteTakesLongestPrefixOfWholeSegments(t *testing.T) {
	tbl := withRoutes(t, "/a", "/a/b/", "/a/b/c/d", "/x")
	tests := map[string]string{
		"/a": "/a", "/a/": "/a", "/a/z": "/a", "/ab": "", "/": "", "": "", "a": "",
		"/a/b": "/a/b/", "/a/b/": "/a/b/", "/a/bc": "/a", "/a/b/c": "/a/b/", "/a/b/c/": "/a/b/",
		"/a/b/c/d": "/a/b/c/d", "/a/b/c/d/e/f": "/a/b/c/d", "/a//b": "/a", "//a": "", "/x" + strings.Repeat("/", 9000): "/x",
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

func TestRouteMatchesLinearSearch(t *testing.T) {
	path := rapid.StringMatching(`(/[ab]{1,2}){0,4}/?`)
	rapid.Check(t, func(t *rapid.T) {
		seen := make(map[string]bool)
		tbl := table.Table{}
		for _, p := range rapid.SliceOfN(path, 1, 12).Draw(t, "prefixes") {
			if key := strings.TrimSuffix(p, "/"); p != "" && !seen[key] {
				seen[key] = true
				tbl.Routes = append(tbl.Routes, table.Route{Prefix: p, Service: "bacheca"})
			}
		}
		base, err := table.Parse([]byte(small))
		if err != nil {
			t.Fatal(err)
		}
		base.Routes = tbl.Routes
		built, err := table.Build(*base)
		if err != nil {
			t.Fatal(err)
		}
		requestPath := path.Draw(t, "path")
		want := ""
		for _, r := range base.Routes {
			p := strings.TrimSuffix(r.Prefix, "/") + "/"
			if strings.HasPrefix(requestPath+"/", p) && len(p) > len(strings.TrimSuffix(want, "/")) {
				want = r.Prefix
			}
		}
		got, ok := built.Route("", requestPath)
		if ok != (want != "") || ok && got.Prefix != want {
			t.Errorf("%q: got %+v, want %q", requestPath, got, want)
		}
	})
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
	tbl, prefixes := plannedTable(b)
	paths := make([]string, 4096)
	for i := range paths {
		paths[i] = prefixes[i*7919%plannedRoutes] + "item/42"
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, ok := tbl.Route("", paths[i%len(paths)]); !ok {
			b.Fatal("got no route, want one")
		}
	}
}
