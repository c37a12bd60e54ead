package difference_test

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/difference"
)

const maxText = 1 << 20

func sizeOf(steps []difference.Step) int {
	size := 0
	for _, s := range steps {
		size += len(s.Text)
	}
	return size
}

// makeTable returns a text of the given number of lines, about a hundred bytes each.
func makeTable(lines int) []byte {
	var text bytes.Buffer
	for i := range lines {
		fmt.Fprintf(&text, `"r-%08x":{"host":"hulo%d.example","prefix":"/%x/","timeout":"6000ms","service":"conferme"},`,
			uint32(i*2654435761), i%40, uint64(i)*11400714819323198485)
	}
	return text.Bytes()
}

// One line of a large text is changed, added or removed. If the whole text were sent,
// each such edit would cost each node a call, or half a megabyte.
func TestStepsAreProportionalToChange(t *testing.T) {
	base := makeTable(4000)
	half := len(base) / 2
	tests := []struct {
		name    string
		next    []byte
		maxText int
	}{
		{"the same", base, 0},
		{"a byte changed", slices.Concat(base[:half], []byte("!"), base[half+1:]), 64},
		{"a line added", slices.Concat(base[:half], []byte(`"new":{"host":"new.example"},`), base[half:]), 64},
		{"a line removed", slices.Concat(base[:half], base[half+100:]), 64},
		{"the halves swapped", slices.Concat(base[half:], base[:half]), 64},
		{"everything removed", nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			steps, ok := difference.Make(base, tt.next, maxText)
			if !ok || sizeOf(steps) > tt.maxText {
				t.Errorf("got %d bytes of text, %v, want %d at most", sizeOf(steps), ok, tt.maxText)
			}
			got, err := difference.Apply(base, steps, maxText)
			if err != nil || !bytes.Equal(got, tt.next) {
				t.Errorf("got a different text of %d bytes and error %v, want the one of %d bytes", len(got), err, len(tt.next))
			}
		})
	}
	if _, ok := difference.Make(base, makeTable(9000), 100_000); ok {
		t.Error("got steps with half a megabyte of text, want false above 100 KB")
	}
}

func TestApplyReproducesNextText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		part := rapid.SliceOfN(rapid.SampledFrom([]byte("ab{}:,")), 0, 90)
		parts := rapid.SliceOfN(part, 1, 12).Draw(rt, "parts")
		pick := rapid.SliceOfN(rapid.IntRange(0, len(parts)-1), 0, 20)
		join := func(order []int) []byte {
			var text []byte
			for _, i := range order {
				text = append(text, parts[i]...)
			}
			return text
		}
		base, next := join(pick.Draw(rt, "base")), join(pick.Draw(rt, "next"))
		steps, ok := difference.Make(base, next, maxText)
		if !ok {
			rt.Fatal("got no steps, want some")
		}
		got, err := difference.Apply(base, steps, maxText)
		if err != nil || !bytes.Equal(got, next) {
			rt.Fatalf("got %q and %v, want %q", got, err, next)
		}
	})
}

// A peer may send any steps. They must not read beyond the base, or make a node hold a
// larger text than it allows.
func TestApplyRejectsInvalidSteps(t *testing.T) {
	base := []byte("a text")
	for _, s := range []difference.Step{
		{From: -1, Length: 2}, {From: 2, Length: -1}, {From: 5, Length: 2}, {From: 7}, {From: 1, Length: int(^uint(0) >> 1)},
	} {
		if _, err := difference.Apply(base, []difference.Step{s}, maxText); !errors.Is(err, difference.ErrStep) {
			t.Errorf("got %v for %+v, want %v", err, s, difference.ErrStep)
		}
	}
	repeated := slices.Repeat([]difference.Step{{Length: 6}}, 100)
	if _, err := difference.Apply(base, repeated, 500); !errors.Is(err, difference.ErrStep) {
		t.Errorf("got %v for 600 bytes where 500 are allowed, want %v", err, difference.ErrStep)
	}
}

func BenchmarkMake(b *testing.B) {
	base := makeTable(8000)
	next := slices.Concat(base[:400_000], []byte("!"), base[400_001:])
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := difference.Make(base, next, maxText); !ok {
			b.Fatal("got no steps")
		}
	}
}
