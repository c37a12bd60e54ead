// Package table defines what operators publish: services, their backend
// servers (upstreams), weights, limits, routes and objectives.
//
// The types are plain data. Parse reads and checks a whole table; nothing
// else of the project accepts one that was not checked.
package table

import "fuchsiapick.example/fuchsiapick/clock"

// Format is the table format that this release writes and reads.
const Format = 1

// Caution says how a service trades detection time for false ejections.
type Caution string

// The values of Caution, from the quickest to set an upstream aside to the
// slowest.
const (
	Fast     Caution = "fast"
	Balanced Caution = "balanced"
	Cautious Caution = "cautious"
	// ShortEpisodes is for upstreams that fail in episodes of seconds, many of a service
	// at a time: two outcomes decide, and none of them needs the others' news.
	ShortEpisodes Caution = "brief"
)

// A tag diff:"unless-zero" leaves a key out of the lines that say what an edit
// added or removed while it has no value.

// Table is one published edition of the whole configuration.
type Table struct {
	// Format names the rules that this table was written for.
	Format int `toml:"format"`
	// Version orders editions: a higher one replaces a lower one.
	Version  uint64    `toml:"version"`
	Services []Service `toml:"service"`
	Routes   []Route   `toml:"route"`
	// Domains lists the failure domains there are; with none listed any name
	// will do. A slip in an upstream's domain would take it from the callers
	// next to it, unnoticed.
	Domains []string `toml:"domains"`
	// Callers overrides the limits of single callers.
	Callers []Caller `toml:"caller"`
	// Accounts are the client accounts. Where there are any, a request needs a key of
	// one, unless its route is public.
	Accounts []Account `toml:"account"`
	// RequireKeys asks for keys also where there are no accounts: no request by a route that
	// isn't public is served then.
	RequireKeys bool `toml:"keyed" diff:"unless-zero"`

	lookup index
}

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name string `toml:"name"`
	// Caution sets the thresholds of the health verdict.
	Caution Caution `toml:"caution"`
	// Floor is the share of the service's capacity (weight x slots), from 0
	// to 1, that setting upstreams aside must leave in use.
	Floor float64 `toml:"floor"`
	// Deadline is the time a request may take in all, retries included.
	Deadline clock.Millis `toml:"deadline"`
	// Drain is how long a leaving upstream may still get new work.
	Drain clock.Millis `toml:"drain"`
	// ProbePath is the path of the upstreams' health endpoint; empty means none.
	// Probes may end a hold-off, never set aside or readmit by themselves.
	ProbePath string `toml:"probe"`
	// Queue is how many requests may wait at a gate for a slot of one upstream.
	Queue int `toml:"queue"`
	// RetryRatio is the share of requests, from 0 to 1, that may be sent again.
	RetryRatio float64 `toml:"retries"`
	// ExtraRetries is how many requests all nodes together may send again beyond
	// Retries in each Window; 0 leaves the burst of each node to itself.
	ExtraRetries float64      `toml:"extra" diff:"unless-zero"`
	RetryWindow  clock.Millis `toml:"window" diff:"unless-zero"`
	// Rate limits the requests a second that one entry admits for the
	// service; 0 means no limit.
	Rate float64 `toml:"rate"`
	// CallerRate limits the requests a second that one entry admits from one
	// caller; 0 means no limit.
	CallerRate float64 `toml:"quota"`
	// LiftedFingerprints frees requests of a quarantine, by their fingerprints.
	LiftedFingerprints []string   `toml:"lift" diff:"unless-zero"`
	Objective          Objective  `toml:"objective"`
	Upstreams          []Upstream `toml:"upstream"`
}

// Objective is a service's service-level objective.
type Objective struct {
	// Availability is the share of requests, from 0 to 1, to be served.
	Availability float64 `toml:"availability"`
	// Latency is the time within which Within of the served requests end.
	Latency clock.Millis `toml:"latency"`
	// LatencyRatio is the share, from 0 to 1, that Latency is promised to.
	LatencyRatio float64 `toml:"within"`
}

// Upstream is one backend server.
type Upstream struct {
	Name string `toml:"name"`
	// Address is the backend server's own HTTP address, IP number and port.
	Address string `toml:"address"`
	// Node is the link address, IP number and port, of the node beside it.
	Node string `toml:"node"`
	// Domain is the failure domain the instance is in.
	Domain string `toml:"domain"`
	// Weight is the share of work relative to other upstreams; 0 means that
	// it gets no new work.
	Weight int `toml:"weight"`
	// Slots is how many requests it serves at once.
	Slots int `toml:"slots"`
	// Connections bounds the connections that its gate opens to it.
	Connections int `toml:"connections"`
	// Started is when its process started, in Unix milliseconds, where a platform
	// tells it; 0 stands for not told. Another one under the same name is another
	// process, which knows nothing of what the one before had begun.
	Started int64 `toml:"-" diff:"unless-zero"`
	// Version is that of its software; empty stands for not told.
	Version string `toml:"version" diff:"unless-zero"`
}

// Route sends requests by host and path prefix to a service, or to several in
// the proportions of their weights.
type Route struct {
	// Host is matched against the request's host without regard to case; a
	// route without one takes requests of hosts that no route names.
	Host string `toml:"host" diff:"unless-zero"`
	// Prefix is matched against whole path segments; the longest one wins.
	Prefix string `toml:"prefix"`
	// Service is empty where Shares names the services.
	Service string  `toml:"service"`
	Shares  []Share `toml:"share" diff:"unless-zero"`
	// Timeout is the longest that a request may take in all; 0 leaves that to
	// the service's deadline.
	Timeout clock.Millis `toml:"timeout" diff:"unless-zero"`
	// LatencyTarget is the time within which an answer is worth most; 0 if none is.
	LatencyTarget clock.Millis `toml:"target" diff:"unless-zero"`
	// MaxAttempts bounds the upstreams on which one request may run; 0 leaves it
	// to the retry budget.
	MaxAttempts int `toml:"attempts" diff:"unless-zero"`
	// Priority ranks routes where upstreams are short of room, 0 before 1.
	Priority int `toml:"priority" diff:"unless-zero"`
	// Repeatable lists the methods that may run more than once, AnyMethod for
	// all. Nil means GET and HEAD, an empty list means none.
	Repeatable []string `toml:"repeatable"`
	// Public takes requests without a key of a client account.
	Public bool `toml:"public" diff:"unless-zero"`
}

// AnyMethod in Route.Repeatable stands for all methods.
const AnyMethod = "*"

// Share is one service's part of a route's requests.
type Share struct {
	Service string `toml:"service"`
	// Weight is relative to those of the route's other shares.
	Weight int `toml:"weight"`
}

// Caller overrides limits for one caller.
type Caller struct {
	Name string `toml:"name"`
	// Rate limits its requests a second at one entry, over all services.
	Rate float64 `toml:"rate"`
}

// Account is a client account. Requests with one of its keys are its own.
type Account struct {
	Name string `toml:"name"`
	// Keys are the digests of its keys, as DigestOf makes them.
	Keys KeyDigests `toml:"keys"`
	// Rate is how many of its requests a second all nodes together admit; 0 means no
	// limit.
	Rate float64 `toml:"rate"`
	// Burst is how many requests it may send at once beyond Rate.
	Burst float64 `toml:"burst"`
	// Priority replaces that of the route; RoutePriority leaves it.
	Priority int `toml:"priority"`
}

// RoutePriority in Account.Priority stands for the priority of the route.
const RoutePriority = -1
