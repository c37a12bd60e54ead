package entry

import (
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/wire"
)

// loggedAttempt is one try at a request, as a log line tells it.
type loggedAttempt struct {
	upstream string
	// result is "served", or the reason why it was not.
	result string
	// after is when it ended, counted from the request's arrival.
	after clock.Millis
	// severity is what the choice took the upstream's to be, and age how long
	// ago that was heard.
	severity float64
	age      clock.Millis
}

// maxLoggedAttempts is how many tries a log line tells; a request has fewer, but for those
// that find one upstream after the other gone.
const maxLoggedAttempts = 8

// attemptLog holds the tries of a request. It is part of the request and takes no memory
// of its own.
type attemptLog struct {
	attempts [maxLoggedAttempts]loggedAttempt
	count    int
}

func (t *attemptLog) add(s loggedAttempt) {
	if t.count < maxLoggedAttempts {
		t.attempts[t.count] = s
	}
	t.count++
}

// attemptFields is one step in a log line.
type attemptFields struct {
	Upstream string  `json:"upstream"`
	Result   string  `json:"result"`
	After    string  `json:"after"`
	Severity float64 `json:"severity"`
	Age      string  `json:"age"`
}

func (t *attemptLog) fields() []attemptFields {
	told := make([]attemptFields, 0, min(t.count, maxLoggedAttempts))
	for _, s := range t.attempts[:min(t.count, maxLoggedAttempts)] {
		told = append(told, attemptFields{s.upstream, s.result, s.after.String(), s.severity, s.age.String()})
	}
	return told
}

// recordAttempt adds a try to the trail.
func (r *request) recordAttempt(a *attempt, o *result, chosen clock.Millis) {
	if o.reason == string(wire.ReasonRetryBudget) {
		r.budgetRetryAfter = max(o.retryAfter, 1)
	}
	s := loggedAttempt{
		upstream: a.upstream.Name,
		result:   o.reason,
		after:    r.entry.config.Now() - r.started,
		severity: a.severity,
		age:      max(chosen-a.updatedAt, 0),
	}
	if o.served {
		s.result = string(access.Served)
	}
	r.attemptLog.add(s)
}

// log leaves a line of what a caller may ask about: a request that was not served, or
// was later than its route's target. Others leave none; counters and the report
// have them.
func (r *request) log(record *access.Record, f *finalAnswer) {
	var message string
	switch {
	case f.outcome != access.Served:
		message = "request not served"
	case f.status >= minFailureStatus:
		message = "request failed by its backend server"
	case r.route != nil && r.route.LatencyTarget > 0 && record.Took > r.route.LatencyTarget:
		message = "request answered late"
	default:
		return
	}
	fields := logrus.Fields{
		"request":  wire.RequestName(r.label, r.id),
		"caller":   r.caller,
		"service":  record.Service,
		"route":    record.Route,
		"upstream": record.Upstream,
		"outcome":  record.Outcome,
		"reason":   record.Reason,
		"status":   record.Status,
		"attempts": record.Attempts,
		"took":     record.Took.String(),
		"waited":   record.Waited.String(),
		"tried":    r.attemptLog.fields(),
	}
	if r.route != nil {
		fields["budget"] = (r.deadline - r.started).String()
		fields["target"] = r.route.LatencyTarget.String()
	}
	if r.account != nil {
		fields["account"] = r.account.Name
	}
	if len(r.headers) > 0 {
		fields["fingerprint"] = r.requestFingerprint().String()
	}
	if t := r.entry.table.Load(); t != nil {
		fields["version"] = t.Version
	}
	if r.noRetryReason != "" {
		fields["noretry"] = string(r.noRetryReason)
	}
	r.entry.config.Log.WithFields(fields).Info(message)
}

// minFailureStatus is the lowest status of an answer that says the server failed.
const minFailureStatus = 500

// recordNoRetry keeps why a request was not sent again, for its log line.
func (r *request) recordNoRetry(d retry.Decision) {
	r.noRetryReason = d.Reason
	if d.Reason == retry.TooManyAttempts && r.budgetRetryAfter > 0 {
		r.noRetryReason = retry.NoBudget
	}
}
