// Package quarantine finds requests that crash the backend servers which run them. Its
// evidence is the crashes of processes, with the requests that were running, and the
// requests that complete: a request that is running at crash after crash and never
// completes is quarantined and not sent any more.
//
// The package does no I/O, reads no clock and starts no goroutine. A Registry is one node's
// view; the registries of all nodes agree once they hold the same crashes, in whatever order
// they received them.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
)

// Fingerprint identifies a request by what a backend server receives of it.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// ParseFingerprint parses the output of String. It returns false for any other text.
func ParseFingerprint(text string) (Fingerprint, bool) {
	var f Fingerprint
	if len(text) != hex.EncodedLen(len(f)) {
		return f, false
	}
	_, err := hex.Decode(f[:], []byte(text))
	return f, err == nil
}

// Request has the parts by which two requests count as the same, whatever their ids.
type Request struct {
	Caller string
	Method string
	// Host is the host of the request's route; empty for a route that matches all hosts.
	Host []byte
	// URI is the path and the query.
	URI  string
	Body []byte
}

// Fingerprint returns a hash of the request. The hash is cryptographic, so that no caller
// can craft a request that is mistaken for another caller's.
func (r *Request) Fingerprint() Fingerprint {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(r.Caller), []byte(r.Method), r.Host, []byte(r.URI)} {
		hash.Write(part)
		hash.Write([]byte{'\n'}) // no part can contain a line break
	}
	hash.Write(r.Body)
	return Fingerprint(hash.Sum(nil)[:len(Fingerprint{})])
}

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hint returns a cheap hash that covers the length of the body but not its bytes. Requests
// with different hints are different; different requests mostly have different hints.
func (r *Request) Hint() uint64 {
	hash := uint64(fnvOffset)
	for _, part := range [3]string{r.Caller, r.Method, r.URI} {
		for i := range len(part) {
			hash = (hash ^ uint64(part[i])) * fnvPrime
		}
		hash = (hash ^ '\n') * fnvPrime
	}
	return (hash ^ uint64(len(r.Body))) * fnvPrime
}
