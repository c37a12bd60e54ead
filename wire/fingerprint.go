package wire

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
)

// Fingerprint tells requests apart by what a backend server gets of them: two sends of
// the same request have one fingerprint, whatever their ids.
type Fingerprint [16]byte

// String writes the beginning of the fingerprint as logs show it.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:8])
}

// FingerprintOf sums up a request. The hash is a cryptographic one: nobody can make a
// request that is taken for somebody else's.
func FingerprintOf(caller, method, uri string, headers Headers, body []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(caller), []byte(method), headers.host(), []byte(uri)} {
		hash.Write(part)
		hash.Write([]byte{'\n'}) // none of the parts can hold a line break
	}
	hash.Write(body)
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

// Fingerprint sums up the request of a dispatch.
func (d *Dispatch) Fingerprint() Fingerprint {
	return FingerprintOf(d.Caller, d.Method, d.URI, d.Headers, d.Body)
}

var hostName = []byte("Host")

func (h Headers) host() []byte {
	for name, value := range h.All() {
		if bytes.EqualFold(name, hostName) {
			return value
		}
	}
	return nil
}
