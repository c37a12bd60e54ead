package entry

import (
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/retry"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// loggedAttempt is one attempt as the log shows it.
type loggedAttempt struct {
	upstream string
	// result is "served", or the reason why the attempt did not serve the request.
	result string
	// after is when the attempt ended, relative to the request's arrival.
	after clock.Millis
	// severity is the upstream's estimated severity at the time of the choice, and age
	// the age of the update behind it.
	severity float64
	age      clock.Millis
}

// maxLoggedAttempts bounds the attempts that a log line lists. Only a request that finds
// one upstream after another unavailable makes more.
const maxLoggedAttempts = 8

// attemptLog holds the attempts of a request. It is embedded by value in the request and
// allocates no memory of its own.
type attemptLog struct {
	attempts [maxLoggedAttempts]loggedAttempt
	count    int
}

func (l *attemptLog) add(a loggedAttempt) {
	if l.count < maxLoggedAttempts {
		l.attempts[l.count] = a
	}
	l.count++
}

// attemptFields is the JSON form of one attempt in a log line.
type attemptFields struct {
	Upstream string  `json:"upstream"`
	Result   string  `json:"result"`
	After    string  `json:"after"`
	Severity float64 `json:"severity"`
	Age      string  `json:"age"`
}

// fields returns the attempts for a log line.
func (l *attemptLog) fields() []attemptFields {
	all := make([]attemptFields, 0, min(l.count, maxLoggedAttempts))
	for _, a := range l.attempts[:min(l.count, maxLoggedAttempts)] {
		all = append(all, attemptFields{a.upstream, a.result, a.after.String(), a.severity, a.age.String()})
	}
	return all
}

// recordAttempt adds an attempt to the request's log. It also records when a denied retry
// may be granted.
func (r *request) recordAttempt(a *attempt, o *result, chosen clock.Millis) {
	if o.reason == string(wire.ReasonRetryBudget) {
		r.budgetRetryAfter = max(o.retryAfter, 1)
	}
	logged := loggedAttempt{
		upstream: a.upstream.Name,
		result:   o.reason,
		after:    r.entry.config.Now() - r.started,
		severity: a.severity,
		age:      max(chosen-a.updatedAt, 0),
	}
	if o.served {
		logged.result = string(access.Served)
	}
	r.attemptLog.add(logged)
}

// log writes a line for a request that its caller may ask about: a request that was not
// served, that failed or that took longer than its route's latency target. Other requests
// appear only in the counters and in the report.
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
		"request":  wire.RequestName(r.callerRequestID, r.id),
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
	if r.deadline > 0 {
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
	if r.claims > 0 {
		fields["claims"] = r.claims
	}
	if r.noRetryReason != "" {
		fields["noretry"] = string(r.noRetryReason)
	}
	r.entry.config.Log.WithFields(fields).Info(message)
}

// minFailureStatus is the lowest status that means a failure of the backend server.
const minFailureStatus = 500

// recordNoRetry records for the log why a request is not retried.
func (r *request) recordNoRetry(d retry.Decision) {
	r.noRetryReason = d.Reason
	if d.Reason == retry.TooManyAttempts && r.budgetRetryAfter > 0 {
		r.noRetryReason = retry.NoBudget
	}
}

// logRetry logs at debug level why a request that may have run is sent again: the route that it belongs to and
// the path that it names. The query isn't logged, since it may hold secrets.
func (r *request) logRetry(o *result) {
	log, ok := r.entry.config.Log.(*logrus.Entry)
	if !ok || !r.mayHaveRun || !log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	log.WithFields(logrus.Fields{
		"request": wire.RequestName(r.callerRequestID, r.id), "method": r.method, "path": table.ParseTarget(r.target).Path, "route": r.route.Prefix,
		"once": !r.repeatable, "reason": o.reason, "upstream": r.lastUpstream.Name,
	}).Debug("sending a request that may have run to another upstream")
}
