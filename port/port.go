// Package port bounds the connections that others may open to each port of a node.
package port

import "syscall"

// Shares are how many connections others may have open to each port of a node.
type Shares struct {
	// Callers is for requests, Handshakes for links that aren't open yet, Admin for each of the
	// admin and metrics ports.
	Callers, Handshakes, Admin int
}

const (
	// callerShare, handshakeShare and adminShare are the inverse parts of the descriptors that each
	// port may take. A quarter remains for files, backend servers, links and the platform.
	callerShare    = 2
	handshakeShare = 8
	adminShare     = 16
	// maxAdmin is far more than scrapers and health checks need.
	maxAdmin = 64
)

// NewShares divides the descriptors of a process, 0 if they aren't known. No port gets more than
// maxCallers.
func NewShares(descriptors, maxCallers int) Shares {
	if descriptors <= 0 {
		return Shares{Callers: maxCallers, Handshakes: maxCallers, Admin: maxAdmin}
	}
	return Shares{
		Callers:    max(min(descriptors/callerShare, maxCallers), 1),
		Handshakes: max(min(descriptors/handshakeShare, maxCallers), 1),
		Admin:      max(min(descriptors/adminShare, maxAdmin), 1),
	}
}

// Descriptors returns how many descriptors this process may have open, 0 if that isn't known.
func Descriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	const most = 1 << 30
	return int(min(limit.Cur, most))
}
