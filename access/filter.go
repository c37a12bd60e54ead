package access

import (
	"net/url"
	"strconv"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
)

// ErrInvalidFilter reports a filter that can't be parsed.
const ErrInvalidFilter = errors.ConstError("invalid filter")

// Filter selects the contents of a Snapshot. An empty field selects everything.
type Filter struct {
	Service  string `json:"service,omitempty"`
	Caller   string `json:"caller,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	// Since is a duration back from now; 0 selects everything that is kept.
	Since clock.Millis `json:"since,omitempty"`
	// Limit is the maximum number of records, the newest first; 0 means no limit. Totals
	// cover all records, whatever the limit.
	Limit int `json:"limit,omitempty"`
}

// ParseFilter parses a filter from the parameters of a query: service, caller, upstream,
// since ("10m") and limit. The function get returns the value of a parameter, or an empty
// string if it is missing. ParseFilter returns ErrInvalidFilter if since or limit can't be
// parsed or is negative.
func ParseFilter(get func(name string) string) (Filter, error) {
	f := Filter{Service: get("service"), Caller: get("caller"), Upstream: get("upstream")}
	if since := get("since"); since != "" {
		if err := f.Since.UnmarshalText([]byte(since)); err != nil || f.Since < 0 {
			return Filter{}, errors.Annotatef(ErrInvalidFilter, "since %q is not a duration such as 10m", since)
		}
	}
	if limit := get("limit"); limit != "" {
		n, err := strconv.Atoi(limit)
		if err != nil || n < 0 {
			return Filter{}, errors.Annotatef(ErrInvalidFilter, "limit %q is not a count", limit)
		}
		f.Limit = n
	}
	return f, nil
}

// Query returns the filter as a query string that ParseFilter can parse.
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

// matchesEvent reports whether the filter selects an event. Events without an upstream or a
// service always match these fields: the loss of the platform, for example, concerns all.
func (f Filter) matchesEvent(e *Event, now clock.Millis) bool {
	return f.isRecent(e.At, now) &&
		(e.Service == "" || match(f.Service, e.Service)) &&
		(e.Upstream == "" || match(f.Upstream, e.Upstream))
}

// MatchesUpstream reports whether the filter selects the state of an upstream.
func (f Filter) MatchesUpstream(u UpstreamState) bool {
	return match(f.Service, u.Service) && match(f.Upstream, u.Name)
}

func (f Filter) isRecent(at, now clock.Millis) bool {
	return f.Since <= 0 || at >= now-f.Since
}

func match(want, got string) bool {
	return want == "" || want == got
}
