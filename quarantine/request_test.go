package quarantine_test

import (
	"bytes"
	"fmt"
	"testing"

	"fuchsiapick.example/fuchsiapick/quarantine"
)

// Guards against requests that differ in any part having the same fingerprint.
func TestFingerprintCoversEveryPart(t *testing.T) {
	one := quarantine.Request{Caller: "van-1", Method: "GET", Host: []byte("a.example"), URI: "/x?n=1", Body: []byte("body")}
	for name, change := range map[string]func(r *quarantine.Request){
		"caller": func(r *quarantine.Request) { r.Caller = "van-2" },
		"method": func(r *quarantine.Request) { r.Method = "HEAD" },
		"host":   func(r *quarantine.Request) { r.Host = []byte("b.example") },
		"path":   func(r *quarantine.Request) { r.URI = "/y?n=1" },
		"query":  func(r *quarantine.Request) { r.URI = "/x?n=2" },
		"body":   func(r *quarantine.Request) { r.Body = []byte("bodY") },
		"a part that moves into the next": func(r *quarantine.Request) {
			r.Caller, r.Method = "van-1G", "ET"
		},
	} {
		other := one
		change(&other)
		if other.Fingerprint() == one.Fingerprint() {
			t.Errorf("%s: got equal fingerprints, want different ones", name)
		}
	}
	again := one
	again.Body = bytes.Clone(one.Body)
	if again.Fingerprint() != one.Fingerprint() || again.Hint() != one.Hint() {
		t.Error("got different fingerprints or hints for equal requests")
	}
	if f, ok := quarantine.ParseFingerprint(one.Fingerprint().String()); !ok || f != one.Fingerprint() {
		t.Errorf("got %v %t, want the fingerprint that String wrote", f, ok)
	}
	for _, text := range []string{"", "9c41", "zz41d07be2a35f68c2d1a9e04b77f310", one.Fingerprint().String() + "00"} {
		if _, ok := quarantine.ParseFingerprint(text); ok {
			t.Errorf("got %q parsed as a fingerprint, want it rejected", text)
		}
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			r := quarantine.Request{Caller: "van-1", Method: "POST", URI: "/conferme/turno", Body: make([]byte, size)}
			b.SetBytes(int64(size))
			for b.Loop() {
				_ = r.Fingerprint()
			}
		})
	}
}

func BenchmarkHint(b *testing.B) {
	r := quarantine.Request{Caller: "van-1", Method: "POST", URI: "/conferme/turno"}
	for b.Loop() {
		_ = r.Hint()
	}
}
