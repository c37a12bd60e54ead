package retry

// Ruling is what a retry budget decided on one retry: it was granted, or denied for a reason.
type Ruling string

// The values of Ruling.
const (
	Granted Ruling = "granted"
	// DeniedQuota means that the bound has no room for a further retry.
	DeniedQuota Ruling = "quota"
	// DeniedLikelyFails means that the part of the bound for retries that likely fail is
	// used up.
	DeniedLikelyFails Ruling = "likely-fails"
	// DeniedPriority means that what is left of the bound is kept for more urgent retries.
	DeniedPriority Ruling = "priority"
	// DeniedOverload means that the service refuses most attempts for load.
	DeniedOverload Ruling = "overload"
	// DeniedAttempts means that the request has used all its attempts.
	DeniedAttempts Ruling = "attempts"
)

// Rulings holds all values of Ruling.
var Rulings = []Ruling{Granted, DeniedQuota, DeniedLikelyFails, DeniedPriority, DeniedOverload, DeniedAttempts}

// rulingOf returns the ruling behind a decision on an attempt's retry, empty if the decision
// didn't depend on the budget.
func (b *Budget) rulingOf(a Attempt, reason Reason) Ruling {
	switch {
	case reason == NoBudget:
		return DeniedQuota
	case reason == ServiceFull:
		return DeniedOverload
	case reason == TooManyAttempts:
		return DeniedAttempts
	case reason == "" && !b.gateQuotas && a.costsBudget():
		return Granted
	default:
		return ""
	}
}
