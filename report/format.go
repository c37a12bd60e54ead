package report

import (
	"cmp"
	"math"
	"strconv"
	"strings"
	"unicode"

	"github.com/dustin/go-humanize"

	"fuchsiapick.example/fuchsiapick/access"
	"fuchsiapick.example/fuchsiapick/burn"
	"fuchsiapick.example/fuchsiapick/clock"
)

// reasonTexts describes the reasons of entries and gates in words that need no knowledge of
// the program.
var reasonTexts = map[string]string{
	access.ReasonCallerLimit:   "the caller was over its own limit",
	access.ReasonServiceLimit:  "the service was over its limit",
	access.ReasonBusy:          "the node held as many requests as it may",
	access.ReasonMemory:        "the node held as much of requests' bodies as it may",
	access.ReasonCallerFault:   "the request was malformed",
	access.ReasonCallerGone:    "the caller hung up",
	access.ReasonNoRoute:       "the table has no route for the path",
	access.ReasonBodyTooLarge:  "the request's body was too large",
	access.ReasonNoTable:       "the node had no table yet",
	access.ReasonNoUpstream:    "no upstream of the service could take it",
	access.ReasonUnreachable:   "the upstream's node could not be reached",
	access.ReasonShutdown:      "the node was shutting down",
	access.ReasonUpstreamError: "the upstream answered with an error",
	access.ReasonSlow:          "the answer came late",
	"set-aside":                "the upstream was set aside as sick",
	"leaving":                  "the upstream was leaving",
	"full":                     "the upstream had no slot free in time",
	"deadline-too-short":       "too little time was left to run it",
	"stale-lease":              "it reached the gate too late to be run safely",
	"voided":                   "it was called back before it ran",
	"no-such-upstream":         "the node did not know the upstream",
	"connection-refused":       "the upstream refused the connection",
	"upstream-shed":            "the upstream shed load",
	"retry-budget":             "the service's retry budget was used up",
	"timeout":                  "no answer came in time",
	"torn-answer":              "the answer broke off",
	"backend-crashed":          "the upstream's process ended while it ran the request",
	"quarantined":              "it crashes the upstreams that run it",
	"answer-too-large":         "the answer was too large",
	"no-answer":                "the node beside the upstream did not answer",
	"node-replaced":            "the node beside the upstream was replaced meanwhile",
	"node-stopped":             "the node beside the upstream stopped and cut the run",
	burn.Other:                 "other reasons",
	"":                         "no reason was noted",
}

// describeReason describes a reason in words. It returns an unknown reason unchanged.
func describeReason(reason string) string {
	return cmp.Or(reasonTexts[reason], reason)
}

// formatState describes an upstream's state in words. It returns an unknown state unchanged.
func formatState(state string) string {
	switch state {
	case access.StateInUse:
		return "in use"
	case access.StateEjected:
		return "set aside: sick"
	case access.StateTrial:
		return "on trial"
	case access.StateRamp:
		return "coming back slowly"
	case access.StateForced:
		return "sick, kept for the floor"
	case access.StateUnreachable:
		return "unreachable"
	case access.StateLeaving:
		return "leaving"
	case access.StateOff:
		return "off: weight 0"
	case access.StateOverLimit:
		return "over its limit"
	case StateGone:
		return "not in the table"
	case StateReejected:
		return "set aside again"
	case string(access.Restored):
		return "back in use"
	case access.StateUnknown, "":
		return "not known"
	default:
		return state
	}
}

// eventKindTexts describes the kinds of events in words.
var eventKindTexts = map[access.EventKind]string{
	access.Ejected:          "set aside as sick",
	access.Trial:            "tried again",
	access.Ramp:             "coming back slowly",
	access.Restored:         "back in full use",
	access.ForcedUnderFloor: "kept in use for the floor",
	access.PathLost:         "path lost",
	access.PathRestored:     "path back",
	access.Crashed:          "ended under its runs",
	access.Quarantined:      "request held back: it crashes upstreams",
	access.Released:         "request held back no longer",
	access.Leaving:          "leaving",
	access.TableAccepted:    "table accepted",
	access.TableRejected:    "table rejected",
	access.TableOlder:       "older table not taken",
	access.PlatformLost:     "platform stopped answering",
	access.PlatformRestored: "platform answers again",
}

// formatEventKind describes an event's kind in words. It returns an unknown kind unchanged.
func formatEventKind(kind access.EventKind) string {
	return cmp.Or(eventKindTexts[kind], string(kind))
}

// formatDuration formats a duration with at most two units: 850ms, 45s, 2m 10s, 3h 5m, 2d 4h.
func formatDuration(d clock.Millis) string {
	type unit struct {
		size clock.Millis
		name string
	}
	if d < clock.Second {
		return strconv.FormatInt(int64(d), 10) + "ms"
	}
	units := []unit{{clock.Day, "d"}, {clock.Hour, "h"}, {clock.Minute, "m"}, {clock.Second, "s"}}
	for i, u := range units {
		if d < u.size {
			continue
		}
		text := strconv.FormatInt(int64(d/u.size), 10) + u.name
		if i+1 < len(units) {
			if rest := d % u.size / units[i+1].size; rest > 0 {
				text += " " + strconv.FormatInt(int64(rest), 10) + units[i+1].name
			}
		}
		return text
	}
	return ""
}

// formatAge formats the time since an event, for example "2m 10s ago".
func formatAge(d clock.Millis) string {
	if d < clock.Second {
		return "just now"
	}
	return formatDuration(d) + " ago"
}

// formatCount formats a count with thousands separators: 12,345.
func formatCount[T uint64 | int](n T) string {
	return humanize.Comma(int64(n))
}

// formatDecimal formats a fractional count: with one decimal below 10, otherwise truncated
// to a whole number.
func formatDecimal(x float64) string {
	if x < 10 {
		return strconv.FormatFloat(x, 'f', 1, 64)
	}
	return formatCount(uint64(x))
}

// formatPercent formats a share, where 1 is the whole, in percent: as an integer from
// 10% on, otherwise with two significant digits.
func formatPercent(share float64) string {
	percent := 100 * share
	size := math.Abs(percent)
	switch {
	case size == 0 || size >= 10:
		return strconv.FormatFloat(percent, 'f', 0, 64) + "%"
	case size >= 1:
		return strconv.FormatFloat(percent, 'f', 1, 64) + "%"
	default:
		return strconv.FormatFloat(percent, 'g', 2, 64) + "%"
	}
}

// formatTarget formats the target share of an objective in percent with up to six
// significant digits.
func formatTarget(share float64) string {
	return strconv.FormatFloat(100*share, 'g', 6, 64) + "%"
}

// formatBurnRate formats a burn rate, for example "2.5x"; from 10 on without decimals.
func formatBurnRate(rate float64) string {
	if rate >= 10 {
		return strconv.FormatFloat(rate, 'f', 0, 64) + "x"
	}
	return strconv.FormatFloat(rate, 'f', 1, 64) + "x"
}

// pluralize returns the count, followed by the singular for 1 and by the plural otherwise.
func pluralize[T uint64 | int](n T, singular, plural string) string {
	if n == 1 {
		return formatCount(n) + " " + singular
	}
	return formatCount(n) + " " + plural
}

// joinNames joins names to a list within a sentence: "a, b and c".
func joinNames(names []string) string {
	switch len(names) {
	case 0:
		return ""
	case 1:
		return names[0]
	default:
		last := len(names) - 1
		return strings.Join(names[:last], ", ") + " and " + names[last]
	}
}

// formatEvidence describes the evidence on which a gate ejected its upstream. Without any
// counts it describes the reason.
func formatEvidence(e access.Evidence, reason string) string {
	var parts []string
	of := " of " + pluralize(e.Outcomes, "request", "requests")
	if e.Failed > 0 {
		parts = append(parts, formatCount(e.Failed)+of+" failed against a usual "+formatPercent(e.BaselineFailed))
		of = ""
	}
	if e.Slow > 0 {
		parts = append(parts, formatCount(e.Slow)+of+" were slow against a usual "+formatDuration(e.BaselineLatency))
		of = ""
	}
	if e.Overdue > 0 {
		parts = append(parts, formatCount(e.Overdue)+of+" had no answer in time")
	}
	if len(parts) == 0 {
		parts = append(parts, describeReason(reason))
	}
	return joinNames(parts)
}

// stripControl removes control characters, since callers choose some of the texts and a
// terminal would interpret escape sequences in them. White space, such as the line breaks
// in a table's list of errors, becomes spaces.
func stripControl(text string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case unicode.IsSpace(r):
			return ' '
		case unicode.IsControl(r):
			return -1
		default:
			return r
		}
	}, text)
}
