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

func sampleMessages() []wire.Message {
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
		&wire.CrashReport{WantsReply: true, Crashes: []wire.Crash{{ID: 1, Service: "conferme", Suspects: []wire.Suspect{{Fingerprint: make([]byte, 16), Elapsed: 3}}}}},
		&wire.Heartbeat{Time: 1, Version: 2, Digest: "d", Upstreams: []wire.Upstream{{Name: "conferme-1", Share: 1}}},
		&wire.TableRequest{Version: 1},
		&wire.TableVersion{Version: 2, Text: []byte("format = 1")},
		&wire.KeyRevocation{ID: id, Caller: "palermo", Service: "conferme", Key: "turno-7", Digest: []byte("0123456789abcdef"), Number: 2},
		&wire.CapacityProbe{ID: id, Attempt: 2, Upstream: "conferme-1", Priority: 1},
		&wire.Reservation{ID: id, Attempt: 2, Reason: wire.ReasonFull, RetryAfter: 40, Time: 8},
		&wire.ReleaseReservation{ID: id, Attempt: 2, Upstream: "conferme-1"},
		&wire.StoreUpdate{Since: 4, Revision: 9, Changes: []byte("[]"), Age: 3, Time: 8},
		&wire.EraUpdate{Update: wire.StoreUpdate{Since: 1<<40 | 4, Revision: 1<<40 | 9, Changes: []byte("[]"), Age: 3, Time: 8}},
		&wire.GoAway{},
		&wire.SlotClaim{Probe: wire.CapacityProbe{ID: id, Attempt: 2, Upstream: "conferme-1"}, Account: "hotel", Weight: 0.5, StartBy: 900, Bytes: 60000},
		&wire.QuotaForward{Home: "127.0.0.1:2", Request: wire.QuotaRequest{Seq: 4, Account: "hotel", Rate: 10, Burst: 10, Count: 2, SkippedHomes: 1}},
		&wire.ClaimQueued{ID: id, Attempt: 2, Upstream: "conferme-1", Wait: 40},
		&wire.UpstreamProfile{Upstream: "conferme-1", Speed: 1.25, Concurrency: 4, Shares: []wire.AccountShare{{Account: "hotel", Used: 0.5}, {Used: 2}}, Shed: 0.25},
		&wire.WorkRequest{Upstream: "conferme-1", TTL: 500},
		&wire.Announcements{Upstreams: []wire.Announcement{{Upstream: "conferme-1", Started: 5, IsLimited: true, RateLimit: 1.3, IsLeaving: true, Age: 9}}},
		&wire.KeyRevocationReply{ID: id, KeyStatus: 3, Covers: 900, Version: 2, Status: 201, Body: []byte("ok")},
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	for _, m := range sampleMessages() {
		frame, err := wire.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := wire.Decode(frame, limit)
		if err != nil {
			t.Fatalf("kind %d: got error %v", m.Kind(), err)
		}
		reencoded, err := wire.Encode(got)
		if err != nil || !bytes.Equal(reencoded, frame) {
			t.Errorf("kind %d: got %x, want %x (%v)", m.Kind(), reencoded, frame, err)
		}
	}
}

// Guards against exhaustion of the node's stack or memory by frames of a faulty or unknown
// peer with unbounded nesting or lengths, which would fail all requests of the node's
// callers.
func TestDecodeRejectsMalformedFrames(t *testing.T) {
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
		{"over the size limit", make([]byte, limit+1), wire.ErrTooLarge},
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
	for _, m := range sampleMessages() {
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
			t.Errorf("got error %v encoding a decoded message", err)
		}
	})
}

// Packed values decode to what was encoded, and a small frame that decompresses to a huge
// one can't exhaust a node's memory.
func TestPackUnpack(t *testing.T) {
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
		t.Errorf("truncated: got %v, want %v", err, wire.ErrFrame)
	}
	oversized, err := wire.Pack(make([]byte, 8<<20))
	if err != nil {
		t.Fatal(err)
	}
	var body []byte
	if err := wire.Unpack(oversized, &body); !errors.Is(err, wire.ErrTooLarge) {
		t.Errorf("%d bytes that decompress to 8 MiB: got %v, want %v", len(oversized), err, wire.ErrTooLarge)
	}
}

// Guards against large heartbeats: 81 nodes have 6,480 links, each with a heartbeat every
// two seconds. Numbers with sixteen digits took 27 bytes of each heartbeat.
func TestHeartbeatIsSmall(t *testing.T) {
	heartbeat := &wire.Heartbeat{
		Time: 60_000, Echo: 59_000, Version: 4000,
		Upstreams: []wire.Upstream{{Name: "i-7f3a91c2d4", Share: wire.RoundFloat(1), Severity: wire.RoundFloat(0.0123456789), InFlight: 3}},
	}
	frame, err := wire.Encode(heartbeat)
	if err != nil || len(frame) > 50 {
		t.Errorf("got %d bytes and %v, want at most 50", len(frame), err)
	}
	for _, x := range []float64{0, 0.002, 0.0123456789, 0.5, 0.998, 1} {
		if got := wire.RoundFloat(x); got < x*0.999 || got > x*1.001 {
			t.Errorf("got %v for %v, want a deviation of at most a thousandth", got, x)
		}
	}
}

// Guards against a link that breaks because one frame holds more crashes than the receiver
// accepts.
func TestCrashReportsFitIntoFrames(t *testing.T) {
	suspects := make([]quarantine.Suspect, quarantine.MaxSuspects)
	name := strings.Repeat("x", 64)
	for i := range suspects {
		suspects[i] = quarantine.Suspect{Fingerprint: quarantine.Fingerprint{byte(i)}, Hint: 1 << 63, Request: name, Elapsed: clock.Minute, IsTrial: true}
	}
	crashes := make([]quarantine.Crash, 512)
	for i := range crashes {
		crashes[i] = quarantine.Crash{
			ID: 1<<63 + uint64(i), Service: name, Upstream: name, Version: name, Upstreams: 1000, Suspects: suspects, Cleared: 1 << 63, IsInconclusive: true,
		}
	}
	got := make([]quarantine.Crash, 0, len(crashes))
	for _, c := range wire.NewCrashReports(clock.Hour, crashes) {
		frame, err := wire.Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		m, err := wire.Decode(frame, limit)
		if err != nil {
			t.Fatalf("got error %v for a frame of %d bytes, want it decoded", err, len(frame))
		}
		got = append(got, m.(*wire.CrashReport).ToQuarantine(clock.Hour)...)
	}
	want := slices.Clone(crashes)
	for i := range want {
		want[i].At = 0 // the reports carry ages: one hour at time clock.Hour is time 0
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %d crashes, want the %d that were sent, unchanged", len(got), len(want))
	}
}

// Guards against frames that a peer refuses, and links that end, because of text that is not UTF-8:
// callers write any bytes into targets and headers, and upstreams into registrations.
func TestTextOfAnyBytesIsDecoded(t *testing.T) {
	for _, text := range []string{"caf\xe9", "\xe2\x98", "\x00", "\xff\xfe", "\xed\xa0\x80"} {
		frame, err := wire.Encode(&wire.Dispatch{URI: "/" + text, Headers: wire.Headers{}, Body: []byte{}})
		if err != nil {
			t.Fatal(err)
		}
		got, err := wire.Decode(frame, len(frame))
		if err != nil {
			t.Errorf("got %v for %q, want the message", err, text)
			continue
		}
		if d, ok := got.(*wire.Dispatch); !ok || d.URI != "/"+text {
			t.Errorf("got %+v, want the target /%q unchanged", got, text)
		}
	}
}
