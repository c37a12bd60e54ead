// Package table defines the configuration that operators publish: services, their
// backend servers (upstreams), weights, limits, routes and objectives.
//
// The types are plain data. Parse decodes and checks a whole table, and the rest of
// the project only uses tables that passed the checks.
package table

import "fuchsiapick.example/fuchsiapick/clock"

// Format is the table format that this release writes and reads.
const Format = 1

// Caution says how a service trades a short detection time against few false ejections.
type Caution string

// The values of Caution. Fast ejects an upstream the quickest, Cautious the slowest.
const (
	Fast     Caution = "fast"
	Balanced Caution = "balanced"
	Cautious Caution = "cautious"
	// ShortEpisodes is for upstreams that fail for a few seconds at a time, many of a
	// service at the same time. Two outcomes are enough to eject an upstream, and the decision
	// doesn't depend on updates about other upstreams.
	ShortEpisodes Caution = "brief"
)

// Waiting says where a request waits that finds no free slot.
type Waiting string

// The values of Waiting; empty stands for WaitAtGates.
const (
	// WaitAtGates lets a request wait at a few gates that it chooses once.
	WaitAtGates Waiting = "gates"
	// WaitForService lets a request wait at its entry for the first slot of the service that
	// becomes free, and orders those that wait by priority and by the shares of their accounts.
	WaitForService Waiting = "service"
)

// Placement says by what an entry chooses among the upstreams of a service.
type Placement string

// The values of Placement; empty stands for PlaceNear.
const (
	// PlaceNear charges a fixed cost for another failure domain.
	PlaceNear Placement = "near"
	// PlaceByCost weighs the distance by the size of the request, and the load by what each
	// upstream has been observed to carry.
	PlaceByCost Placement = "cost"
)

// The tag diff:"unless-zero" leaves a key without a value out of the Change of a part
// that was added or removed.

// Table is one published version of the whole configuration.
type Table struct {
	// Format is the number of the format that the table is written in.
	Format int `toml:"format"`
	// Version orders published tables: a higher version replaces a lower one.
	Version  uint64    `toml:"version"`
	Services []Service `toml:"service"`
	Routes   []Route   `toml:"route"`
	// Domains lists the failure domains; if it is empty, any name is valid. It guards
	// against a typing error in an upstream's domain, which would silently take the
	// upstream from the callers in the same domain.
	Domains []string `toml:"domains"`
	// Callers overrides the request limits of individual callers.
	Callers []Caller `toml:"caller"`
	// Accounts are the client accounts. If there are any, a request needs a key of one
	// of them, unless its route is public.
	Accounts []Account `toml:"account"`
	// RequireKeys makes requests need a key also if there are no accounts, so that only
	// public routes serve requests.
	RequireKeys bool `toml:"keyed" diff:"unless-zero"`

	lookup index
}

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name string `toml:"name"`
	// Caution selects the thresholds of the health verdict.
	Caution Caution `toml:"caution"`
	// Floor is the share of the service's capacity (weight x slots), from 0
	// to 1, that ejection must leave in use.
	Floor float64 `toml:"floor"`
	// Deadline bounds the total time of a request, retries included.
	Deadline clock.Millis `toml:"deadline"`
	// Drain is how long a leaving upstream may still get new work.
	Drain clock.Millis `toml:"drain"`
	// ProbePath is the path of the upstreams' health endpoint; empty means none.
	// Probes may end a hold-off, but never eject or readmit an upstream on their own.
	ProbePath string `toml:"probe"`
	// Queue is the number of requests that may wait at a gate for a slot of one upstream.
	Queue     int       `toml:"queue"`
	Waiting   Waiting   `toml:"waiting" diff:"unless-zero"`
	Placement Placement `toml:"placement" diff:"unless-zero"`
	// RetryRatio is the share of requests, from 0 to 1, that may be retried.
	RetryRatio float64 `toml:"retries"`
	// ExtraRetries is the number of retries beyond RetryRatio that all nodes together may
	// send in each RetryWindow; with 0 each node bounds its own bursts.
	ExtraRetries float64      `toml:"extra" diff:"unless-zero"`
	RetryWindow  clock.Millis `toml:"window" diff:"unless-zero"`
	// Rate limits the requests per second that one entry admits for the
	// service; 0 means no limit.
	Rate float64 `toml:"rate"`
	// CallerRate limits the requests per second that one entry admits from one
	// caller; 0 means no limit.
	CallerRate float64 `toml:"quota"`
	// LiftedFingerprints are the fingerprints of requests whose quarantine is lifted.
	LiftedFingerprints []string   `toml:"lift" diff:"unless-zero"`
	Objective          Objective  `toml:"objective"`
	Upstreams          []Upstream `toml:"upstream"`
}

// Objective is a service's service-level objective.
type Objective struct {
	// Availability is the share of requests that must be served, above 0 and below 1.
	Availability float64 `toml:"availability"`
	// Latency is the time within which the share LatencyRatio of the served requests
	// must end.
	Latency clock.Millis `toml:"latency"`
	// LatencyRatio is the share of the served requests that must meet Latency, above 0
	// and below 1.
	LatencyRatio float64 `toml:"within"`
}

// Upstream is one backend server.
type Upstream struct {
	Name string `toml:"name"`
	// Address is the backend server's own HTTP address, an IP number and port.
	Address string `toml:"address"`
	// Node is the link address, an IP number and port, of the node beside the
	// backend server.
	Node string `toml:"node"`
	// Domain is the failure domain that the instance is in.
	Domain string `toml:"domain"`
	// Weight is the share of work relative to other upstreams; an upstream of
	// weight 0 gets no new work.
	Weight int `toml:"weight"`
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int `toml:"slots"`
	// Connections bounds the connections that the gate opens to the backend server.
	Connections int `toml:"connections"`
	// Started is the start time of the backend server's process in Unix milliseconds; 0
	// means that the platform doesn't publish it. A different value under the same name
	// is a new process, which has no record of the requests that the old one had begun.
	Started int64 `toml:"-" diff:"unless-zero"`
	// Version is the version of the backend server's software; empty means unknown.
	Version string `toml:"version" diff:"unless-zero"`
}

// Route sends requests by host and path prefix to one service, or to several in
// proportion to their weights.
type Route struct {
	// Host is matched against the request's host, ignoring case. A route without a
	// host takes the requests that no route of their own host matches.
	Host string `toml:"host" diff:"unless-zero"`
	// Prefix is matched against whole path segments; the longest prefix wins.
	Prefix string `toml:"prefix"`
	// Service is empty if Shares names the services.
	Service string  `toml:"service"`
	Shares  []Share `toml:"share" diff:"unless-zero"`
	// Timeout bounds the total time of a request; with 0 the service's deadline
	// applies.
	Timeout clock.Millis `toml:"timeout" diff:"unless-zero"`
	// LatencyTarget is the time up to which an answer has its full value to the
	// caller; 0 means no target.
	LatencyTarget clock.Millis `toml:"target" diff:"unless-zero"`
	// MaxAttempts bounds the number of upstreams on which one request may run; with 0
	// only the retry budget does.
	MaxAttempts int `toml:"attempts" diff:"unless-zero"`
	// Priority ranks routes when upstreams are short of capacity; 0 goes before 1.
	Priority int `toml:"priority" diff:"unless-zero"`
	// Repeatable lists the methods that may run more than once; AnyMethod stands for
	// all. Nil means GET and HEAD, an empty list means none.
	Repeatable []string `toml:"repeatable"`
	// Public lets requests through without a key of a client account.
	Public bool `toml:"public" diff:"unless-zero"`
	// Bulk marks a route whose requests have large bodies.
	Bulk bool `toml:"bulk" diff:"unless-zero"`
}

// AnyMethod in Route.Repeatable stands for all methods.
const AnyMethod = "*"

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service string `toml:"service"`
	// Weight is relative to the weights of the route's other shares.
	Weight int `toml:"weight"`
}

// Caller overrides the request limit of one caller.
type Caller struct {
	Name string `toml:"name"`
	// Rate limits the caller's requests per second at one entry, over all services.
	Rate float64 `toml:"rate"`
}

// Account is a client account. Requests with one of its keys count as the account's.
type Account struct {
	Name string `toml:"name"`
	// Keys are the digests of the account's keys, as DigestOf returns them.
	Keys KeyDigests `toml:"keys"`
	// Rate is the number of the account's requests per second that all nodes together
	// admit; 0 means no limit.
	Rate float64 `toml:"rate"`
	// Burst is the number of requests that the account may send at the same time,
	// beyond Rate.
	Burst float64 `toml:"burst"`
	// Priority replaces the priority of the route, unless it is RoutePriority.
	Priority int `toml:"priority"`
	// Weight is the account's share of a service's slots relative to the weights of the other
	// accounts that wait for one; 0 stands for DefaultAccountWeight.
	Weight float64 `toml:"weight" diff:"unless-zero"`
}

// RoutePriority in Account.Priority keeps the priority of the route.
const RoutePriority = -1
