package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
)

// NonceSize is the length of the handshake's nonces in bytes.
const NonceSize = 16

// Side is a side of the handshake. It is part of the MAC, so that the MAC of one side
// can't be replayed as that of the other.
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

// ComputeMAC returns the MAC by which a side proves that it holds the secret. The MAC
// covers both nonces and the identity that the side claims.
func ComputeMAC(secret string, side Side, node string, incarnation uint64, ownNonce, peerNonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(secret))
	for _, part := range [][]byte{[]byte(side), []byte(node), binary.BigEndian.AppendUint64(nil, incarnation), ownNonce, peerNonce} {
		mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(part))))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// EqualMAC compares two MACs in constant time.
func EqualMAC(got, want []byte) bool {
	return hmac.Equal(got, want)
}
