package floor_test

import (
	"flag"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/floor"
)

// init fixes the seed of the property tests unless -rapid.seed is given on the command line.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func TestDecide(t *testing.T) {
	ejected := func(severity float64) floor.Member {
		return floor.Member{Capacity: 3, Ejected: true, Severity: severity}
	}
	healthy := floor.Member{Capacity: 3}
	unreachable := floor.Member{Capacity: 3, Unreachable: true}
	tests := []struct {
		name    string
		share   float64
		members []floor.Member
		want    []floor.Use
	}{
		{"none", 0.5, nil, []floor.Use{}},
		{"one ejected of three", 0.5, []floor.Member{healthy, ejected(1), healthy}, []floor.Use{floor.Normal, floor.Ejected, floor.Normal}},
		{"floor met exactly in spite of rounding", 0.56, repeatTwo(floor.Member{Capacity: 1, Ejected: true}, 11, floor.Member{Capacity: 1}, 14), repeatTwo(floor.Ejected, 11, floor.Normal, 14)},
		{"worst first", 0.6, []floor.Member{ejected(2), ejected(5), healthy}, []floor.Use{floor.Forced, floor.Ejected, floor.Normal}},
		{"all ejected with equal severity", 0.6, []floor.Member{ejected(1), ejected(1), ejected(1)}, []floor.Use{floor.Ejected, floor.Forced, floor.Forced}},
		{"below the floor by losses alone", 0.6, []floor.Member{ejected(1), unreachable, unreachable}, []floor.Use{floor.Forced, floor.Unavailable, floor.Unavailable}},
		{"no floor", 0, []floor.Member{ejected(1), ejected(1)}, []floor.Use{floor.Ejected, floor.Ejected}},
		{"floor of the whole capacity", 1, []floor.Member{ejected(1), healthy}, []floor.Use{floor.Forced, floor.Normal}},
		{
			"a lower severity doesn't overtake", 0.6,
			[]floor.Member{{Capacity: 30, Ejected: true, Severity: 9}, ejected(1), {Capacity: 15}},
			[]floor.Use{floor.Forced, floor.Forced, floor.Normal},
		},
		{
			"leaving and without capacity", 0.5,
			[]floor.Member{{Capacity: 3, Leaving: true, Ejected: true}, {Ejected: true}, {Capacity: math.NaN()}, healthy},
			[]floor.Use{floor.Unavailable, floor.Unavailable, floor.Unavailable, floor.Normal},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := floor.Decide(nil, tt.share, tt.members)
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// repeatTwo returns a slice of n times a and m times b.
func repeatTwo[T any](a T, n int, b T, m int) []T {
	return append(slices.Repeat([]T{a}, n), slices.Repeat([]T{b}, m)...)
}

// Upstreams are ejected, leave, change capacity, and become unreachable and return, in random
// order. If a decision considered only the latest event instead of the whole view, some order
// would take a service below its floor, and it would refuse requests although it has
// upstreams left.
func TestFloorHoldsInEveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0, 0.3, 0.5, 0.55, 0.7, 1}).Draw(t, "share")
		members := make([]floor.Member, rapid.IntRange(1, 12).Draw(t, "members"))
		for i := range members {
			members[i].Capacity = 3
		}
		var uses []floor.Use
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			applyEvent(t, &members[rapid.IntRange(0, len(members)-1).Draw(t, "member")])
			uses = floor.Decide(uses, share, members)
			checkFloor(t, share, members, uses)
		}
	})
}

// applyEvent changes the member by a random event.
func applyEvent(t *rapid.T, m *floor.Member) {
	switch rapid.IntRange(0, 4).Draw(t, "event") {
	case 0:
		m.Ejected, m.Severity = true, float64(rapid.IntRange(0, 5).Draw(t, "severity"))
	case 1:
		m.Ejected = false
	case 2:
		m.Leaving = !m.Leaving
	case 3:
		m.Unreachable = !m.Unreachable
	case 4:
		m.Capacity = float64(rapid.IntRange(0, 4).Draw(t, "weight") * rapid.IntRange(1, 7).Draw(t, "slots"))
	}
}

// checkFloor checks the uses against the floor, the order of severities and the members'
// availability, and that no ejection is withheld which the floor allows.
func checkFloor(t *rapid.T, share float64, members []floor.Member, uses []floor.Use) {
	total, available, left := 0.0, 0.0, 0.0
	lowestEjected, worst := math.Inf(1), -1
	for i, m := range members {
		total += m.Capacity
		unavailable := m.Leaving || m.Unreachable || m.Capacity <= 0
		if got := uses[i] == floor.Unavailable; got != unavailable {
			t.Fatalf("member %d: got unavailable %v, want %v", i, got, unavailable)
		}
		if unavailable {
			continue
		}
		available += m.Capacity
		if want := m.Ejected; (uses[i] != floor.Normal) != want {
			t.Fatalf("member %d: got use %v with ejected %v", i, uses[i], want)
		}
		switch {
		case uses[i] == floor.Ejected:
			lowestEjected = min(lowestEjected, m.Severity)
			continue
		case uses[i] == floor.Forced && (worst < 0 || m.Severity > members[worst].Severity):
			worst = i
		}
		left += m.Capacity
	}
	minCapacity := share*total - 1e-6
	if left < minCapacity && left != available {
		t.Fatalf("got capacity %v in use of %v available, want at least %v", left, available, minCapacity)
	}
	if worst < 0 {
		return
	}
	if members[worst].Severity > lowestEjected {
		t.Fatalf("got severity %v in use while %v is ejected", members[worst].Severity, lowestEjected)
	}
	if left-members[worst].Capacity >= minCapacity+2e-6 {
		t.Fatalf("got member %d forced, want it ejected: capacity %v in use, floor %v", worst, left, minCapacity)
	}
}

// Entries receive different verdicts and lose different paths, so they eject different
// upstreams. That must not concentrate the load of all entries on the few upstreams that all
// of them still use: no upstream may get more than its share of the load divided by the
// floor.
func TestDifferentViewsDoNotOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0.3, 0.5, 0.7}).Draw(t, "share")
		capacity := rapid.SliceOfN(rapid.IntRange(1, 20), 2, 9).Draw(t, "capacity")
		entries := rapid.IntRange(1, 9).Draw(t, "entries")
		total := 0.0
		for _, c := range capacity {
			total += float64(c)
		}
		load := make([]float64, len(capacity))
		for range entries {
			members := make([]floor.Member, len(capacity))
			for i, c := range capacity {
				members[i] = floor.Member{
					Capacity: float64(c),
					Ejected:  rapid.Bool().Draw(t, "aside"),
					Severity: rapid.Float64Range(0, 9).Draw(t, "severity"),
				}
			}
			left := 0.0
			uses := floor.Decide(nil, share, members)
			for i, use := range uses {
				if use <= floor.Forced {
					left += members[i].Capacity
				}
			}
			for i, use := range uses {
				if use <= floor.Forced {
					load[i] += members[i].Capacity / left
				}
			}
		}
		for i, l := range load {
			got, want := l/float64(capacity[i]), float64(entries)/(share*total)
			if got > want*(1+1e-9) {
				t.Fatalf("upstream %d: got load %v a unit of capacity, want at most %v", i, got, want)
			}
		}
	})
}

// largeService returns the members of a mean service of the deployment size that the design
// targets, a third of them ejected.
func largeService() []floor.Member {
	members := make([]floor.Member, 49)
	for i := range members {
		members[i] = floor.Member{Capacity: 5, Ejected: i%3 == 0, Severity: float64(i * 7 % 11)}
	}
	return members
}

func TestDecideAllocatesNothing(t *testing.T) {
	members := largeService()
	uses := make([]floor.Use, 0, len(members))
	got := testing.AllocsPerRun(100, func() { uses = floor.Decide(uses, 0.7, members) })
	if got != 0 {
		t.Errorf("got %v allocations, want 0", got)
	}
}

func BenchmarkDecide(b *testing.B) {
	members := largeService()
	uses := make([]floor.Use, 0, len(members))
	b.ReportAllocs()
	for b.Loop() {
		uses = floor.Decide(uses, 0.7, members)
	}
}
