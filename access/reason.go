package access

import (
	"net/http"
	"slices"

	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
)

// Reasons that an entry gives of its own. A gate's reasons are package wire's;
// a Record takes either.
const (
	// ReasonCallerLimit means that the caller is over its own limit.
	ReasonCallerLimit = "caller-limit"
	// ReasonAccountLimit means that the client account is over its quota.
	ReasonAccountLimit = "account-limit"
	// ReasonQuotaUnknown means that no node could be asked for the client account's quota.
	ReasonQuotaUnknown = "quota-unknown"
	// ReasonServiceLimit means that the service is over its limit here.
	ReasonServiceLimit = "service-limit"
	// ReasonBusy means that the node holds as many requests as it may.
	ReasonBusy = "node-busy"
	// ReasonCallerFault means that the request itself is malformed.
	ReasonCallerFault = "caller-fault"
	// ReasonCallerGone means that the caller hung up.
	ReasonCallerGone = "caller-gone"
	// ReasonNoRoute means that the table has no route for the path.
	ReasonNoRoute = "no-route"
	// ReasonNoAccount means that the request had no key of a client account.
	ReasonNoAccount = "no-account"
	// ReasonBodyTooLarge means that the request's body is over the bound.
	ReasonBodyTooLarge = "body-too-large"
	// ReasonNoTable means that no table is in force yet.
	ReasonNoTable = "no-table"
	// ReasonNoUpstream means that no upstream of the service could be tried.
	ReasonNoUpstream = "no-upstream"
	// ReasonUnreachable means that the node beside the upstream is out of
	// reach from here.
	ReasonUnreachable = "unreachable"
	// ReasonShutdown means that the node was shutting down.
	ReasonShutdown = "shutting-down"
	// ReasonKeyReused means that the idempotency key was used for another
	// request.
	ReasonKeyReused = "key-reused"
	// ReasonUpstreamError means that the upstream answered with a 5xx. Close
	// sets it for a request that was served so.
	ReasonUpstreamError = "upstream-error"
	// ReasonSlow means that a good answer came later than the objective says.
	ReasonSlow = "slow"
)

// callerFaults are the reasons that spend none of a service's budget: it
// could not have done better.
var callerFaults = []string{
	ReasonCallerLimit, ReasonAccountLimit, ReasonCallerFault, ReasonCallerGone, ReasonNoRoute, ReasonNoAccount, ReasonBodyTooLarge,
	ReasonKeyReused,
}

// IsCallerFault tells whether a request refused for the reason was refused by
// the caller's own limit or fault, so that it spends none of the service's
// budget.
func IsCallerFault(reason string) bool {
	return slices.Contains(callerFaults, reason)
}

// sample says what the record means for its service's objective. It returns
// false if it means nothing, since its caller is to answer for it.
func (r *Record) sample(latency clock.Millis) (burn.Sample, bool) {
	s := burn.Sample{Upstream: r.Upstream, Reason: r.Reason}
	switch {
	case r.Outcome != Served:
		s.Failed = true
		return s, !IsCallerFault(r.Reason)
	case r.Status >= http.StatusInternalServerError:
		s.Failed, s.Reason = true, ReasonUpstreamError
	case latency > 0 && r.Took > latency:
		s.Slow, s.Reason = true, ReasonSlow
	}
	return s, true
}
