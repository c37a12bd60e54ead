package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
)

// NonceSize is the length of a handshake's nonces in bytes.
const NonceSize = 16

// Side tells the two proofs of a handshake apart, so that one can't be played
// back as the other.
type Side string

// The sides of a handshake.
const (
	Dialler  Side = "dialler"
	Acceptor Side = "acceptor"
)

// Nonce returns fresh random bytes for a handshake.
func Nonce() []byte {
	nonce := make([]byte, NonceSize)
	_, _ = rand.Read(nonce) // crypto/rand.Read never fails
	return nonce
}

// ComputeMAC returns the proof that a side holds the secret, bound to both nonces
// and to the identity that the side claims.
func ComputeMAC(secret string, side Side, node string, incarnation uint64, own, peer []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	for _, part := range [][]byte{[]byte(side), []byte(node), binary.BigEndian.AppendUint64(nil, incarnation), own, peer} {
		mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// EqualMAC compares a proof in constant time.
func EqualMAC(got, want []byte) bool {
	return hmac.Equal(got, want)
}
