package memory_test

import (
	"testing"

	"pgregory.net/rapid"

	"fuchsiapick.example/fuchsiapick/memory"
)

// Guards against a budget that counts more than its bound, or loses count, in any order of bodies that
// are received, grow and end.
func TestBudgetKeepsItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instance := rapid.Int64Range(1, 64<<20).Draw(t, "instance")
		b := memory.NewBudget(instance)
		size := rapid.OneOf(rapid.IntRange(0, 2*memory.SmallBody), rapid.IntRange(0, 32<<20))
		var held []int
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch n := size.Draw(t, "size"); rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				wasEmpty := b.Held() == 0
				ok := b.Reserve(n)
				if wasEmpty && ok != b.Fits(n) {
					t.Fatalf("%d bytes in an empty budget: got reserved %v, want %v as Fits says", n, ok, !ok)
				}
				if ok {
					held = append(held, n)
				}
			case 1:
				if last := len(held) - 1; last >= 0 && b.Extend(held[last], n) {
					held[last] += n
				}
			case 2:
				if last := len(held) - 1; last >= 0 {
					b.Release(held[last])
					held = held[:last]
				}
			}
			want := int64(0)
			for _, n := range held {
				want += int64(n) * memory.Copies
			}
			if got := b.Held(); got != want || got > b.Bound() || b.Bound() > instance {
				t.Fatalf("got %d bytes held of %d, want %d, within the instance's %d", got, b.Bound(), want, instance)
			}
		}
	})
}

// Guards against large bodies that take the whole budget, so that small requests are refused as well.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	b := memory.NewBudget(64 << 20)
	for b.Reserve(memory.SmallBody + 1) {
	}
	if !b.Reserve(memory.SmallBody) {
		t.Error("got a small body refused beside large ones, want it accepted")
	}
}

// Guards against a node of an instance whose memory isn't known that refuses requests.
func TestUnknownMemoryIsNoBound(t *testing.T) {
	b := memory.NewBudget(0)
	if !b.Reserve(1<<40) || !b.Fits(1<<40) || b.Held() != 0 || b.Bound() != 0 {
		t.Errorf("got a bound, %d of %d, want none", b.Held(), b.Bound())
	}
	b.Release(1 << 40)
}
