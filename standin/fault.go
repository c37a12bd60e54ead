package standin

import (
	"strconv"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
)

// FaultKind names how a backend server misbehaves.
type FaultKind string

// Kinds of faults, in addition to Slow. No fault changes /healthz, which always answers 200:
// real health endpoints lag and mislead.
const (
	// Healthy serves each request in the service time.
	Healthy FaultKind = "healthy"
	// Fails answers 500 after the service time.
	Fails FaultKind = "fails"
	// Hangs begins the request and never answers it. The request ends when its connection
	// closes.
	Hangs FaultKind = "hangs"
	// Sheds refuses requests instead of letting them wait: all requests while all slots are
	// taken, and otherwise the share of requests.
	Sheds FaultKind = "sheds"
	// ColdStart multiplies the service time by Factor at first. The factor falls linearly to
	// 1 over the first Requests requests.
	ColdStart FaultKind = "coldstart"
	// Crashes crashes the backend server at each request whose path begins with Path, and
	// restarts it after Downtime.
	Crashes FaultKind = "crashes"
	// Drains finishes running requests, refuses new ones and closes their connections.
	Drains FaultKind = "drains"
	// Limits serves all requests, and names the rate limit Rate in each answer.
	Limits FaultKind = "limits"
	// Leaves serves all requests, and says in each answer that the backend server leaves.
	Leaves FaultKind = "leaves"
)

// Fault is the way in which a backend server misbehaves.
type Fault struct {
	Kind FaultKind
	// Share is the share of requests that the fault affects, from 0 to 1. For Fails, Slow
	// and Hangs, 0 means all requests.
	Share float64
	// Factor multiplies the service time under Slow and ColdStart.
	Factor float64
	// Requests is the length of a cold start in requests; 0 means 60. The length is a count
	// and not a time, so that every run of a test sees the same.
	Requests int
	// Path is the path prefix of the requests at which Crashes crashes the backend server.
	Path string
	// Downtime is the time from a crash to the restart; 0 means 50 ms. CrashDelay is how long
	// a request runs before it crashes the backend server.
	Downtime, CrashDelay clock.Millis
	// FailFastShare is the share of requests, from 0 to 1, that are answered immediately with
	// 500. It takes precedence over a crash.
	FailFastShare float64
	// Rate is the rate limit that Limits names, in requests per second.
	Rate float64
}

// defaultColdStartRequests is the default length of a cold start: with three slots about
// twenty requests on each, which is enough for a verdict over outcomes to detect it.
const defaultColdStartRequests = 60

// parseFault reads the query arguments kind, share, factor, rate, down, path and requests. It
// returns an error for an unknown kind and for a value that doesn't parse.
func parseFault(ctx *fasthttp.RequestCtx) (Fault, error) {
	args := ctx.QueryArgs()
	fault := Fault{Kind: FaultKind(args.Peek("kind")), Path: string(args.Peek("path"))}
	switch fault.Kind {
	case Healthy, Fails, Slow, Hangs, Sheds, ColdStart, Drains, Crashes, Limits, Leaves:
	default:
		return Fault{}, errors.Annotatef(ErrMode, "reading kind %q", string(fault.Kind))
	}
	var err error
	if fault.Share, err = floatArgument(args, "share"); err != nil {
		return Fault{}, err
	}
	if fault.Factor, err = floatArgument(args, "factor"); err != nil {
		return Fault{}, err
	}
	if fault.Rate, err = floatArgument(args, "rate"); err != nil {
		return Fault{}, err
	}
	if text := args.Peek("down"); len(text) > 0 {
		if err := fault.Downtime.UnmarshalText(text); err != nil {
			return Fault{}, errors.Annotate(err, "reading down")
		}
	}
	if text := args.Peek("requests"); len(text) > 0 {
		fault.Requests, err = strconv.Atoi(string(text))
	}
	return fault, errors.Annotate(err, "reading requests")
}

// floatArgument reads a number from the query arguments, 0 if it isn't given.
func floatArgument(args *fasthttp.Args, name string) (float64, error) {
	text := args.Peek(name)
	if len(text) == 0 {
		return 0, nil
	}
	value, err := strconv.ParseFloat(string(text), 64)
	return value, errors.Annotatef(err, "reading %s", name)
}

// share returns the share of requests that the fault affects. A share of 0 means all
// requests, except for Sheds, which also refuses every request that finds no free slot.
func (f Fault) share() float64 {
	if f.Share == 0 && f.Kind != Sheds {
		return 1
	}
	return f.Share
}

// slowdown returns the factor, at least 1, for the service time of a request. Sequence is
// the number of requests since the fault was set, and affected says whether the request
// belongs to the fault's share.
func (f Fault) slowdown(sequence int, affected bool) float64 {
	switch {
	case f.Factor <= 1:
		return 1
	case f.Kind == Slow && affected:
		return f.Factor
	case f.Kind == ColdStart:
		length := f.Requests
		if length <= 0 {
			length = defaultColdStartRequests
		}
		left := max(0, 1-float64(sequence)/float64(length))
		return 1 + (f.Factor-1)*left
	default:
		return 1
	}
}
