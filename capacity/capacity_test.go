package capacity_test

import (
	"math"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/capacity"
)

func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		points []capacity.Point
		want   capacity.Line
	}{
		{"on a line", []capacity.Point{{1, 12}, {2, 14}, {3, 16}, {4, 18}}, capacity.Line{Base: 10, Slope: 2}},
		{"off it by one each", []capacity.Point{{1, 9}, {1, 11}, {2, 9}, {2, 11}}, capacity.Line{Base: 10, Residual: 0.1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := capacity.Fit(tt.points)
			if err != nil {
				t.Fatal(err)
			}
			if !near(got.Base, tt.want.Base) || !near(got.Slope, tt.want.Slope) || !near(got.Residual, tt.want.Residual) {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
	if _, err := capacity.Fit(make([]capacity.Point, 3)); !errors.Is(err, capacity.ErrPoints) {
		t.Errorf("got error %v for three points, want %v", err, capacity.ErrPoints)
	}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Through three sizes a curve still looks like a line, and if two measures had the same
// name TestSlopesStayWithinMargin would check only the first one.
func TestMeasuresHaveFourSizesAndUniqueNames(t *testing.T) {
	type key struct{ role, name, unit, against string }
	seen := map[key]bool{}
	for _, m := range capacity.All() {
		if len(m.Sizes) < 4 {
			t.Errorf("got %d sizes for %s, want at least 4", len(m.Sizes), m.Name)
		}
		k := key{m.Role, m.Name, m.Unit, m.Against}
		if seen[k] {
			t.Errorf("got two measures with the key %v, want one", k)
		}
		seen[k] = true
	}
}

// An additional field in a heartbeat or a larger buffer per link goes unnoticed in a
// small fleet, but at the design size it uses up the control budget of every node. The
// slopes in docs/CAPACITY.md may therefore grow by at most a fifth.
func TestSlopesStayWithinMargin(t *testing.T) {
	tests := []struct {
		role, name, against string
		want                float64
	}{
		{"link", "heartbeat", "upstreams beside the node", 49.4},
		{"link", "handshakes, both ways", "links opened", 611},
		{"link", "goroutines of open links, both ends", "links", 4},
		{"link", "peers without a link, held", "nodes in the table", 1700},
		// This includes 98 B for the host, shares, timeout and priority of a route.
		{"table", "held", "upstreams", 499},
		{"entry", "view of all upstreams, held beside the table", "upstreams", 386},
		{"gate", "idle gates, held", "upstreams beside the node", 5024},
		{"gate", "fence, held", "dispatches remembered", 122},
		{"platform", "calls a second, each node hears the others", "nodes", 0.0493},
		{"admin", "report without records", "services called", 647},
	}
	for _, tt := range tests {
		t.Run(tt.role+" "+tt.name, func(t *testing.T) {
			r, err := findMeasure(t, tt.role, tt.name, tt.against).Run()
			if err != nil {
				t.Fatal(err)
			}
			const margin = 1.2
			if got := r.Line.Slope; got > margin*tt.want {
				t.Errorf("got %.4g %s per unit of %s, want at most %.1f times %.4g; points %v", got, r.Unit, tt.against, margin, tt.want, r.Points)
			}
		})
	}
}

func findMeasure(t *testing.T, role, name, against string) capacity.Measure {
	t.Helper()
	for _, m := range capacity.All() {
		if m.Role == role && m.Name == name && m.Against == against {
			return m
		}
	}
	t.Fatalf("got no measure %q of the role %q, want one", name, role)
	return capacity.Measure{}
}
