package logging

import (
	"fmt"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/sirupsen/logrus"

	"fuchsiapick.example/fuchsiapick/clock"
)

const (
	// RepeatInterval is the minimum time between two lines with the same message and cause.
	// A reader who follows the log sees that a fault lasts, and a fault at each request of a
	// node leaves one line a second for each upstream or peer.
	RepeatInterval = clock.Second
	// maxCauses is the number of pairs of a message and a cause that are kept, about 150
	// bytes each. It covers four messages for each upstream or peer of a customer with 88
	// nodes and as many upstreams. An evicted pair is printed at its next line.
	maxCauses = 1024
)

// Cause identifies lines that repeat each other: the message and the fields that say where
// and why. Lines that differ in other fields, such as an error's text, repeat each other.
// Path is part of the cause because lines that name different states of a path don't.
type Cause struct {
	Message, Service, Upstream, Reason, Peer, Path string
}

// Repeats decides which of the lines with the same cause are printed: one per
// RepeatInterval. It has no clock of its own and isn't safe for concurrent use.
type Repeats struct {
	causes *simplelru.LRU[Cause, *repeat]
}

// repeat is the state of one cause.
type repeat struct {
	printedAt  clock.Millis
	suppressed uint64 // since printedAt
}

// NewRepeats returns a Repeats that has seen no line.
func NewRepeats() *Repeats {
	causes, err := simplelru.NewLRU[Cause, *repeat](maxCauses, nil)
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return &Repeats{causes: causes}
}

// Allow reports whether a line is printed and, if so, how many lines with its cause were
// left out since the last one. A clock that was set back doesn't withhold lines.
func (r *Repeats) Allow(now clock.Millis, c Cause) (suppressed uint64, ok bool) {
	last, found := r.causes.Get(c)
	if !found {
		r.causes.Add(c, &repeat{printedAt: now})
		return 0, true
	}
	if age := now - last.printedAt; age >= 0 && age < RepeatInterval {
		last.suppressed++
		return 0, false
	}
	suppressed = last.suppressed
	last.printedAt, last.suppressed = now, 0
	return suppressed, true
}

// Omission is a number of lines of one cause that were left out.
type Omission struct {
	Cause Cause
	Lines uint64
}

// TakeOmissions returns the lines that were left out and not followed by another line of
// their cause within RepeatInterval, so that no line would carry their number. It returns
// each of them once.
func (r *Repeats) TakeOmissions(now clock.Millis) []Omission {
	var omissions []Omission
	for _, cause := range r.causes.Keys() {
		last, _ := r.causes.Peek(cause)
		if last.suppressed > 0 && now-last.printedAt >= RepeatInterval {
			omissions = append(omissions, Omission{Cause: cause, Lines: last.suppressed})
			last.suppressed = 0
		}
	}
	return omissions
}

// repeatableField marks a line as one that may be left out. A Limiter doesn't print it.
const repeatableField = "repeatable"

// Repeatable marks the lines of an entry as statements on a lasting condition, of which a
// Limiter prints one per RepeatInterval. A line that says what happened to a single request
// must not be marked.
func Repeatable(e *logrus.Entry) *logrus.Entry {
	return e.WithField(repeatableField, true)
}

// takeMark removes the mark of an entry, and reports whether it had one and its logger isn't
// at level debug, at which every line is printed.
func takeMark(e *logrus.Entry) bool {
	if _, isMarked := e.Data[repeatableField]; !isMarked {
		return false
	}
	delete(e.Data, repeatableField)
	return e.Logger == nil || !e.Logger.IsLevelEnabled(logrus.DebugLevel)
}

func causeOf(e *logrus.Entry) Cause {
	return Cause{
		Message:  e.Message,
		Service:  fieldText(e, "service"),
		Upstream: fieldText(e, "upstream"),
		Reason:   fieldText(e, "reason"),
		Peer:     fieldText(e, "peer"),
		Path:     fieldText(e, "path"),
	}
}

// fields returns the omission as fields of a log line, without those that the cause lacks.
func (o *Omission) fields() logrus.Fields {
	fields := logrus.Fields{"of": o.Cause.Message, "lines": o.Lines}
	for name, value := range map[string]string{
		"service": o.Cause.Service, "upstream": o.Cause.Upstream, "reason": o.Cause.Reason, "peer": o.Cause.Peer, "path": o.Cause.Path,
	} {
		if value != "" {
			fields[name] = value
		}
	}
	return fields
}

// fieldText returns a field's value as text, empty if the entry doesn't have the field.
func fieldText(e *logrus.Entry, name string) string {
	switch value := e.Data[name].(type) {
	case nil:
		return ""
	case string:
		return value
	default:
		return fmt.Sprint(value)
	}
}
