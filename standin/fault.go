package standin

import (
	"strconv"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/clock"
)

// FaultKind names how a backend server misbehaves.
type FaultKind string

// Kinds of faults, beside Slow. None touches /healthz, which answers 200
// whatever the fault: health endpoints lag and mislead.
const (
	// Healthy serves each request in the service time.
	Healthy FaultKind = "healthy"
	// Fails answers 500 after the service time.
	Fails FaultKind = "fails"
	// Hangs begins the request and never answers it; it ends when the
	// connection closes.
	Hangs FaultKind = "hangs"
	// Sheds refuses a request at once when all slots are taken, and the share
	// of requests besides, instead of letting them wait.
	Sheds FaultKind = "sheds"
	// ColdStart multiplies the service time by Factor at first; the factor
	// falls evenly to 1 over the first Requests requests.
	ColdStart FaultKind = "coldstart"
	// Crashes ends the process at each request under Path, and starts it again later.
	Crashes FaultKind = "crashes"
	// Drains finishes what runs, refuses what is new, and closes connections.
	Drains FaultKind = "drains"
)

// Fault is what a backend server does to its requests.
type Fault struct {
	Kind FaultKind
	// Share of requests that the fault meets, from 0 to 1. For Fails, Slow
	// and Hangs, 0 stands for all.
	Share float64
	// Factor multiplies the service time under Slow and ColdStart.
	Factor float64
	// Requests is how many requests a cold start lasts; 0 means coldRequests.
	// It is a count and no time, so that a test sees the same on every run.
	Requests int
	// Path begins those of the requests that Crashes meets.
	Path string
	// Downtime is how long a crashed process is gone; 0 stands for 50 ms. After is how long a
	// request that crashes it runs before.
	Downtime, CrashDelay clock.Millis
	// FailFastShare is the share of requests that Crashes fails at once, also those under Path.
	FailFastShare float64
}

// coldRequests is the length of a cold start unless told otherwise: at three
// slots some twenty rounds, enough to be seen by a verdict over outcomes.
const coldRequests = 60

// faultArguments reads ?kind=&share=&factor=&requests=.
func faultArguments(ctx *fasthttp.RequestCtx) (Fault, error) {
	args := ctx.QueryArgs()
	fault := Fault{Kind: FaultKind(args.Peek("kind")), Path: string(args.Peek("path"))}
	switch fault.Kind {
	case Healthy, Fails, Slow, Hangs, Sheds, ColdStart, Drains, Crashes:
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

func floatArgument(args *fasthttp.Args, name string) (float64, error) {
	text := args.Peek(name)
	if len(text) == 0 {
		return 0, nil
	}
	value, err := strconv.ParseFloat(string(text), 64)
	return value, errors.Annotatef(err, "reading %s", name)
}

// share returns the share of requests that the fault meets. Sheds alone means
// its 0, since it refuses besides whatever finds no free slot.
func (f Fault) share() float64 {
	if f.Share == 0 && f.Kind != Sheds {
		return 1
	}
	return f.Share
}

// slowdown returns what the fault multiplies the service time of the
// sequence-th request since it was set by; the first has sequence 0.
func (f Fault) slowdown(sequence int, drawn bool) float64 {
	switch {
	case f.Factor <= 1:
		return 1
	case f.Kind == Slow && drawn:
		return f.Factor
	case f.Kind == ColdStart:
		length := f.Requests
		if length <= 0 {
			length = coldRequests
		}
		left := max(0, 1-float64(sequence)/float64(length))
		return 1 + (f.Factor-1)*left
	default:
		return 1
	}
}
