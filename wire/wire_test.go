package wire_test

import (
	"bytes"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quarantine"
	"fuchsiapick.example/fuchsiapick/wire"
)

const limit = 1 << 20

func messages() []wire.Message {
	id := wire.RequestID{Entry: 7, Seq: 9}
	return []wire.Message{
		&wire.Challenge{Format: wire.Format, Node: "127.0.0.1:1", Incarnation: 3, Nonce: wire.Nonce()},
		&wire.Proof{Node: "127.0.0.1:2", Entry: 4, Nonce: wire.Nonce(), MAC: []byte("mac")},
		&wire.Welcome{MAC: []byte("mac"), Time: 5},
		&wire.Dispatch{ID: id, Attempt: 1, Upstream: "conferme-1", Method: "POST", URI: "/x", Body: []byte("turno")},
		&wire.Reply{ID: id, Attempt: 1, Outcome: wire.Answered, Status: 200, Length: 2, Body: []byte("ok")},
		&wire.Chunk{ID: id, Attempt: 1, Offset: 2, Data: []byte("more")},
		&wire.Resolve{ID: id, Attempt: 1, Upstream: "conferme-1", Lease: 100},
		&wire.Resolution{ID: id, Attempt: 1, Revoked: true},
		&wire.CrashReport{WantsReply: true, Crashes: []wire.Crash{{ID: 1, Service: "conferme", Suspects: []wire.Suspect{{Fingerprint: make([]byte, 16), Ran: 3}}}}},
		&wire.Heartbeat{Time: 1, Version: 2, Digest: "d", Upstreams: []wire.Upstream{{Name: "conferme-1", Share: 1}}},
		&wire.TableRequest{Version: 1},
		&wire.TableVersion{Version: 2, Text: []byte("format = 1")},
		&wire.KeyRevocation{ID: id, Caller: "palermo", Service: "conferme", Key: "turno-7", Digest: []byte("0123456789abcdef"), Number: 2},
		&wire.CapacityProbe{ID: id, Attempt: 2, Upstream: "conferme-1", Priority: 1},
		&wire.Reservation{ID: id, Attempt: 2, Reason: wire.ReasonFull, RetryAfter: 40, Time: 8},
		&wire.ReleaseReservation{ID: id, Attempt: 2, Upstream: "conferme-1"},
		&wire.StoreUpdate{Since: 4, Revision: 9, Changes: []byte("[]"), Age: 3, Time: 8},
		&wire.WorkRequest{Upstream: "conferme-1", TTL: 500},
		&wire.KeyRevocationReply{ID: id, KeyStatus: 3, Covers: 900, Version: 2, Status: 201, Body: []byte("ok")},
	}
}

func TestDecodeReadsWhatEncodeWrote(t *testing.T) {
	for _, m := range messages() {
		frame, err := wire.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := wire.Decode(frame, limit)
		if err != nil {
			t.Fatalf("kind %d: got error %v", m.Kind(), err)
		}
		again, err := wire.Encode(got)
		if err != nil || !bytes.Equal(again, frame) {
			t.Errorf("kind %d: got %x, want %x (%v)", m.Kind(), again, frame, err)
		}
	}
}

// A peer with a fault, or a stranger, sends frames that nest or lengthen
// without bound. Decoded as they claim, they would take the node's stack or
// memory, and every request of its callers with it.
func TestDecodeRefuses(t *testing.T) {
	nested := append([]byte{byte(wire.KindTableRequest)}, bytes.Repeat([]byte{0x81}, 10000)...)
	tests := []struct {
		name  string
		frame []byte
		want  error
	}{
		{"empty", nil, wire.ErrFrame},
		{"kind zero", []byte{0, 0x80}, wire.ErrKind},
		{"kind of a later release", []byte{200, 0x80}, wire.ErrKind},
		{"nested without bound", nested, wire.ErrFrame},
		{"array that claims 4 billion elements", []byte{byte(wire.KindHeartbeat), 0x9a, 0xff, 0xff, 0xff, 0xff}, wire.ErrFrame},
		{"byte string that claims 2 GB", []byte{byte(wire.KindTableVersion), 0x82, 0x01, 0x5a, 0x7f, 0xff, 0xff, 0xff}, wire.ErrFrame},
		{"indefinite length", []byte{byte(wire.KindTableRequest), 0x9f, 0x01, 0xff}, wire.ErrFrame},
		{"too few fields", []byte{byte(wire.KindResolution), 0x81, 0x01}, wire.ErrFrame},
		{"trailing bytes", []byte{byte(wire.KindTableRequest), 0x82, 0x01, 0x61, 0x61, 0x01}, wire.ErrFrame},
		{"over the bound", make([]byte, limit+1), wire.ErrTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := wire.Decode(tt.frame, limit)
			if !errors.Is(err, tt.want) {
				t.Errorf("got error %v, want %v", err, tt.want)
			}
		})
	}
}

func TestHeadersKeepFieldsAndOrder(t *testing.T) {
	var h wire.Headers
	h = h.Add([]byte("Accept"), []byte("text/html"))
	h = h.Add([]byte("X-Time"), []byte("10:30"))
	h = append(h, "broken line\n"...)
	got := ""
	for name, value := range h.All() {
		got += string(name) + "=" + string(value) + ";"
	}
	if want := "Accept=text/html;X-Time=10:30;"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func FuzzDecode(f *testing.F) {
	for _, m := range messages() {
		frame, err := wire.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := wire.Decode(frame, limit)
		if err != nil {
			return
		}
		if _, err := wire.Encode(m); err != nil {
			t.Errorf("got error %v encoding what was decoded", err)
		}
	})
}

// What one node tells all others is read back as it was, and a peer can't take the
// memory of a node with a small frame that grows.
func TestPackedValues(t *testing.T) {
	want := []string{"conferme", "conferme", "squadre"}
	packed, err := wire.Pack(want)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	if err := wire.Unpack(packed, &got); err != nil || !slices.Equal(got, want) {
		t.Errorf("got %v and %v, want %v", got, err, want)
	}
	if err := wire.Unpack(packed[:len(packed)/2], &got); !errors.Is(err, wire.ErrFrame) {
		t.Errorf("torn: got %v, want %v", err, wire.ErrFrame)
	}
	bomb, err := wire.Pack(make([]byte, 8<<20))
	if err != nil {
		t.Fatal(err)
	}
	var body []byte
	if err := wire.Unpack(bomb, &body); !errors.Is(err, wire.ErrTooLarge) {
		t.Errorf("%d bytes that grow to 8 MiB: got %v, want %v", len(bomb), err, wire.ErrTooLarge)
	}
}

// Heartbeats go over each link of a fleet every two seconds: 6,480 links of 81 nodes.
// Figures to sixteen digits took 27 bytes of each.
func TestBeatIsSmall(t *testing.T) {
	beat := &wire.Heartbeat{
		Time: 60_000, Echo: 59_000, Version: 4000,
		Upstreams: []wire.Upstream{{Name: "i-7f3a91c2d4", Share: wire.RoundFloat(1), Severity: wire.RoundFloat(0.0123456789), InFlight: 3}},
	}
	frame, err := wire.Encode(beat)
	if err != nil || len(frame) > 50 {
		t.Errorf("got %d bytes and %v, want at most 50", len(frame), err)
	}
	for _, x := range []float64{0, 0.002, 0.0123456789, 0.5, 0.998, 1} {
		if got := wire.RoundFloat(x); got < x*0.999 || got > x*1.001 {
			t.Errorf("got %v for %v, want it within a thousandth", got, x)
		}
	}
}

// Guards against a link that breaks since one frame holds more crashes than a node reads.
func TestCrashesFitIntoFrames(t *testing.T) {
	suspects := make([]quarantine.Suspect, quarantine.MaxSuspects)
	name := strings.Repeat("x", 64)
	for i := range suspects {
		suspects[i] = quarantine.Suspect{Fingerprint: quarantine.Fingerprint{byte(i)}, Hint: 1 << 63, Request: name, Elapsed: clock.Minute, IsTrial: true}
	}
	ends := make([]quarantine.Crash, 512)
	for i := range ends {
		ends[i] = quarantine.Crash{
			ID: 1<<63 + uint64(i), Service: name, Upstream: name, Version: name, Upstreams: 1000, Suspects: suspects, Cleared: 1 << 63, IsInconclusive: true,
		}
	}
	got := make([]quarantine.Crash, 0, len(ends))
	for _, c := range wire.NewCrashReports(clock.Hour, ends) {
		frame, err := wire.Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		m, err := wire.Decode(frame, limit)
		if err != nil {
			t.Fatalf("got error %v for a frame of %d bytes, want it read", err, len(frame))
		}
		got = append(got, m.(*wire.CrashReport).ToQuarantine(clock.Hour)...)
	}
	want := slices.Clone(ends)
	for i := range want {
		want[i].At = 0 // an hour ago
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %d ends, want the %d that were told, unchanged", len(got), len(want))
	}
}
