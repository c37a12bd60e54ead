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

const most = 1 << 20

func sizeOf(steps []difference.Step) int {
	size := 0
	for _, s := range steps {
		size += len(s.Text)
	}
	return size
}

// table is a text of so many lines of about a hundred bytes.
func table(lines int) []byte {
	var text bytes.Buffer
	for i := range lines {
		fmt.Fprintf(&text, `"r-%08x":{"host":"hulo%d.example","prefix":"/%x/","timeout":"6000ms","service":"conferme"},`,
			uint32(i*2654435761), i%40, uint64(i)*11400714819323198485)
	}
	return text.Bytes()
}

// An edit of one line, a line less, a line more: told whole, each costs a call or half a
// megabyte of every node.
func TestAnEditCostsWhatItTouches(t *testing.T) {
	base := table(4000)
	middle := len(base) / 2
	tests := []struct {
		name string
		next []byte
		most int
	}{
		{"the same", base, 0},
		{"a byte changed", slices.Concat(base[:middle], []byte("!"), base[middle+1:]), 64},
		{"a line more", slices.Concat(base[:middle], []byte(`"new":{"host":"new.example"},`), base[middle:]), 64},
		{"a line less", slices.Concat(base[:middle], base[middle+100:]), 64},
		{"the halves changed places", slices.Concat(base[middle:], base[:middle]), 64},
		{"all gone", nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			steps, ok := difference.Make(base, tt.next, most)
			if !ok || sizeOf(steps) > tt.most {
				t.Errorf("got %d bytes of text, %v, want %d at most", sizeOf(steps), ok, tt.most)
			}
			got, err := difference.Apply(base, steps, most)
			if err != nil || !bytes.Equal(got, tt.next) {
				t.Errorf("got another text of %d bytes and %v, want that of %d", len(got), err, len(tt.next))
			}
		})
	}
	if _, ok := difference.Make(base, table(9000), 100_000); ok {
		t.Error("got steps with half a megabyte of text, want none above 100 KB")
	}
}

func TestStepsMakeTheNextText(t *testing.T) {
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
		steps, ok := difference.Make(base, next, most)
		if !ok {
			rt.Fatal("got no steps, want some")
		}
		got, err := difference.Apply(base, steps, most)
		if err != nil || !bytes.Equal(got, next) {
			rt.Fatalf("got %q and %v, want %q", got, err, next)
		}
	})
}

// A peer may send what it likes: no steps read beyond the base, or make a node hold more
// than it allows.
func TestStepsThatDoNotFitAreRefused(t *testing.T) {
	base := []byte("a text")
	for _, s := range []difference.Step{
		{From: -1, Length: 2}, {From: 2, Length: -1}, {From: 5, Length: 2}, {From: 7}, {From: 1, Length: int(^uint(0) >> 1)},
	} {
		if _, err := difference.Apply(base, []difference.Step{s}, most); !errors.Is(err, difference.ErrStep) {
			t.Errorf("got %v for %+v, want %v", err, s, difference.ErrStep)
		}
	}
	double := slices.Repeat([]difference.Step{{Length: 6}}, 100)
	if _, err := difference.Apply(base, double, 500); !errors.Is(err, difference.ErrStep) {
		t.Errorf("got %v for 600 bytes where 500 are allowed, want %v", err, difference.ErrStep)
	}
}

func BenchmarkMake(b *testing.B) {
	base := table(8000)
	next := slices.Concat(base[:400_000], []byte("!"), base[400_001:])
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := difference.Make(base, next, most); !ok {
			b.Fatal("got no steps")
		}
	}
}
