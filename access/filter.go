package access

import (
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
)

// ErrInvalidFilter reports a filter that can't be read.
const ErrInvalidFilter = errors.ConstError("not a filter")

// Filter narrows a Snapshot. An empty field lets everything pass.
type Filter struct {
	Service  string `json:"service,omitempty"`
	Caller   string `json:"caller,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	// Since is a span back from now; 0 means all that is kept.
	Since clock.Millis `json:"since,omitempty"`
	// Limit bounds the records given, the newest first; 0 means no bound.
	// Totals are of all records whatever the limit.
	Limit int `json:"limit,omitempty"`
}

// ParseFilter reads a filter from the arguments of a query: service, caller,
// upstream, since ("10m") and limit. The get returns an argument's value or an
// empty text. It returns ErrFilter for a since or limit that can't be read or
// is negative.
func ParseFilter(get func(name string) string) (Filter, error) {
	f := Filter{Service: get("service"), Caller: get("caller"), Upstream: get("upstream")}
	if since := get("since"); since != "" {
		if err := f.Since.UnmarshalText([]byte(since)); err != nil || f.Since < 0 {
			return Filter{}, errors.Annotatef(ErrInvalidFilter, "since %q is no span such as 10m", since)
		}
	}
	if limit := get("limit"); limit != "" {
		n, err := strconv.Atoi(limit)
		if err != nil || n < 0 {
			return Filter{}, errors.Annotatef(ErrInvalidFilter, "limit %q is no count", limit)
		}
		f.Limit = n
	}
	return f, nil
}

// Query writes the filter as ParseFilter reads it.
func (f Filter) Query() string {
	values := url.Values{}
	set := func(name, value string) {
		if value != "" {
			values.Set(name, value)
		}
	}
	set("service", f.Service)
	set("caller", f.Caller)
	set("upstream", f.Upstream)
	if f.Since > 0 {
		set("since", f.Since.String())
	}
	if f.Limit > 0 {
		set("limit", strconv.Itoa(f.Limit))
	}
	return values.Encode()
}

func (f Filter) matches(caller, service, upstream string) bool {
	return match(f.Caller, caller) && match(f.Service, service) && match(f.Upstream, upstream)
}

// matchesEvent lets events that concern no upstream or service pass too: a lost
// platform matters to all.
func (f Filter) matchesEvent(e *Event, now clock.Millis) bool {
	return f.isRecent(e.At, now) &&
		(e.Service == "" || match(f.Service, e.Service)) &&
		(e.Upstream == "" || match(f.Upstream, e.Upstream))
}

// MatchesUpstream tells whether the state of an upstream is asked for.
func (f Filter) MatchesUpstream(u UpstreamState) bool {
	return match(f.Service, u.Service) && match(f.Upstream, u.Name)
}

func (f Filter) isRecent(at, now clock.Millis) bool {
	return f.Since <= 0 || at >= now-f.Since
}

func match(want, got string) bool {
	return want == "" || want == got
}
