package floor_test

import (
	"flag"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/floor"
)

// The draws are the same on every run unless -rapid.seed is given.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func TestDecide(t *testing.T) {
	sick := func(severity float64) floor.Member {
		return floor.Member{Capacity: 3, Ejected: true, Severity: severity}
	}
	well := floor.Member{Capacity: 3}
	lost := floor.Member{Capacity: 3, Unreachable: true}
	tests := []struct {
		name    string
		share   float64
		members []floor.Member
		want    []floor.Use
	}{
		{"none", 0.5, nil, []floor.Use{}},
		{"one sick of three", 0.5, []floor.Member{well, sick(1), well}, []floor.Use{floor.Normal, floor.Ejected, floor.Normal}},
		{"floor met exactly in spite of rounding", 0.56, repeat(floor.Member{Capacity: 1, Ejected: true}, 11, floor.Member{Capacity: 1}, 14), repeat(floor.Ejected, 11, floor.Normal, 14)},
		{"worst first", 0.6, []floor.Member{sick(2), sick(5), well}, []floor.Use{floor.Forced, floor.Ejected, floor.Normal}},
		{"all sick alike", 0.6, []floor.Member{sick(1), sick(1), sick(1)}, []floor.Use{floor.Ejected, floor.Forced, floor.Forced}},
		{"losses took the floor", 0.6, []floor.Member{sick(1), lost, lost}, []floor.Use{floor.Forced, floor.Unavailable, floor.Unavailable}},
		{"no floor", 0, []floor.Member{sick(1), sick(1)}, []floor.Use{floor.Ejected, floor.Ejected}},
		{"whole floor", 1, []floor.Member{sick(1), well}, []floor.Use{floor.Forced, floor.Normal}},
		{
			"a lesser verdict doesn't overtake", 0.6,
			[]floor.Member{{Capacity: 30, Ejected: true, Severity: 9}, sick(1), {Capacity: 15}},
			[]floor.Use{floor.Forced, floor.Forced, floor.Normal},
		},
		{
			"leaving and without capacity", 0.5,
			[]floor.Member{{Capacity: 3, Leaving: true, Ejected: true}, {Ejected: true}, {Capacity: math.NaN()}, well},
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

func repeat[T any](a T, n int, b T, m int) []T {
	return append(slices.Repeat([]T{a}, n), slices.Repeat([]T{b}, m)...)
}

// Upstreams turn sick, leave, are edited and are lost and come back, in any
// order. Were the floor judged on the event and not on the whole view, some
// order would take a service below it: callers would be refused by a service
// that has upstreams left.
func TestFloorHoldsInEveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0, 0.3, 0.5, 0.55, 0.7, 1}).Draw(t, "share")
		members := make([]floor.Member, rapid.IntRange(1, 12).Draw(t, "members"))
		for i := range members {
			members[i].Capacity = 3
		}
		var uses []floor.Use
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			step(t, &members[rapid.IntRange(0, len(members)-1).Draw(t, "member")])
			uses = floor.Decide(uses, share, members)
			checkFloor(t, share, members, uses)
		}
	})
}

func step(t *rapid.T, m *floor.Member) {
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

func checkFloor(t *rapid.T, share float64, members []floor.Member, uses []floor.Use) {
	total, present, left := 0.0, 0.0, 0.0
	best, worst := math.Inf(1), -1
	for i, m := range members {
		total += m.Capacity
		gone := m.Leaving || m.Unreachable || m.Capacity <= 0
		if got := uses[i] == floor.Unavailable; got != gone {
			t.Fatalf("member %d: got gone %v, want %v", i, got, gone)
		}
		if gone {
			continue
		}
		present += m.Capacity
		if want := m.Ejected; (uses[i] != floor.Normal) != want {
			t.Fatalf("member %d: got %v with verdict %v", i, uses[i], want)
		}
		switch {
		case uses[i] == floor.Ejected:
			best = min(best, m.Severity)
			continue
		case uses[i] == floor.Forced && (worst < 0 || m.Severity > members[worst].Severity):
			worst = i
		}
		left += m.Capacity
	}
	mark := share*total - 1e-6
	if left < mark && left != present {
		t.Fatalf("got %v in use of %v present, want at least %v", left, present, mark)
	}
	if worst < 0 {
		return
	}
	if members[worst].Severity > best {
		t.Fatalf("got severity %v in use while %v is set aside", members[worst].Severity, best)
	}
	if left-members[worst].Capacity >= mark+2e-6 {
		t.Fatalf("got verdict %d not honoured, want it: %v stay in use, floor %v", worst, left, mark)
	}
}

// Entries hear different verdicts and lose different paths, so that they set
// aside different upstreams. If that could heap the work of all on the few
// upstreams that all still use, callers would see one overloaded service more
// for every view: so no upstream may get more than its part of load / floor.
func TestDifferentViewsDoNotOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0.3, 0.5, 0.7}).Draw(t, "share")
		capacity := rapid.SliceOfN(rapid.IntRange(1, 20), 2, 9).Draw(t, "capacity")
		entries := rapid.IntRange(1, 9).Draw(t, "entries")
		total := 0.0
		for _, c := range capacity {
			total += float64(c)
		}
		work := make([]float64, len(capacity))
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
					work[i] += members[i].Capacity / left
				}
			}
		}
		for i, w := range work {
			got, want := w/float64(capacity[i]), float64(entries)/(share*total)
			if got > want*(1+1e-9) {
				t.Fatalf("upstream %d: got load %v a unit of capacity, want at most %v", i, got, want)
			}
		}
	})
}

// fortyNine is the mean service of the size to design for, a third of it sick.
func fortyNine() []floor.Member {
	members := make([]floor.Member, 49)
	for i := range members {
		members[i] = floor.Member{Capacity: 5, Ejected: i%3 == 0, Severity: float64(i * 7 % 11)}
	}
	return members
}

func TestDecideAllocates(t *testing.T) {
	members := fortyNine()
	uses := make([]floor.Use, 0, len(members))
	got := testing.AllocsPerRun(100, func() { uses = floor.Decide(uses, 0.7, members) })
	if got != 0 {
		t.Errorf("got %v allocations, want 0", got)
	}
}

func BenchmarkDecide(b *testing.B) {
	members := fortyNine()
	uses := make([]floor.Use, 0, len(members))
	b.ReportAllocs()
	for b.Loop() {
		uses = floor.Decide(uses, 0.7, members)
	}
}
