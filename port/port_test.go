package port_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/port"
)

// Guards against connections from outside that take all descriptors, so that the node reaches neither its
// backend servers nor other nodes.
func TestSharesLeaveDescriptorsForTheNode(t *testing.T) {
	if got := port.NewShares(0, 2048); got.Callers != 2048 || got.Handshakes < 1 || got.Admin < 1 {
		t.Errorf("descriptors not known: got %+v, want 2048 callers", got)
	}
	for _, descriptors := range []int{64, 256, 1024, 4100, 1 << 20} {
		s := port.NewShares(descriptors, 2048)
		if got, want := s.Callers+s.Handshakes+2*s.Admin, descriptors*3/4; got > want || s.Callers > 2048 || s.Admin < 1 {
			t.Errorf("%d descriptors: got %+v, want %d in all at most", descriptors, s, want)
		}
	}
}
