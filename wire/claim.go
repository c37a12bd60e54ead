package wire

import "fuchsiapick.example/fuchsiapick/clock"

// SlotClaim is a CapacityProbe of a request that waits at its entry for a slot of the whole
// service. The gate confirms it: with a Reservation, or with ClaimQueued if it waits.
type SlotClaim struct {
	_     struct{} `cbor:",toarray"`
	Probe CapacityProbe
	// Account is the client account of the request; empty if it has none.
	Account string
	// Weight is the account's weight, reduced by the share of the service that it has used.
	Weight float64
	// StartBy is the time left until the latest start from which the request can still be
	// answered in time.
	StartBy clock.Millis
	// Bytes is the size of the body.
	Bytes int
}

// ClaimQueued confirms a claim that waits for a slot.
type ClaimQueued struct {
	_        struct{} `cbor:",toarray"`
	ID       RequestID
	Attempt  uint8
	Upstream string
	// Wait is the estimated time until the claim gets a slot.
	Wait clock.Millis
}

// UpstreamProfile is what a gate has learned about its upstream.
type UpstreamProfile struct {
	_        struct{} `cbor:",toarray"`
	Upstream string
	// Speed is the upstream's speed relative to its service: 1 is average, 2 twice as fast.
	Speed float64
	// Concurrency is the number of concurrent requests from which the upstream slows down; 0
	// if that isn't known.
	Concurrency int
	// Shares are the accounts that use most of the upstream.
	Shares []AccountShare
	// Shed is the share of its runs that the upstream refused for load in the last seconds.
	Shed float64
}

// AccountShare is an account's use of an upstream, averaged over some seconds.
type AccountShare struct {
	_ struct{} `cbor:",toarray"`
	// Account is empty for all accounts that aren't named.
	Account string
	// Used is in slot-seconds per second.
	Used float64
}

// Kind implements Message.
func (*SlotClaim) Kind() Kind { return KindSlotClaim }

// Kind implements Message.
func (*ClaimQueued) Kind() Kind { return KindClaimQueued }

// Kind implements Message.
func (*UpstreamProfile) Kind() Kind { return KindUpstreamProfile }
