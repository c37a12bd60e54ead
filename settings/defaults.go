package settings

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

// Defaults of the keys that settings leave out.
const (
	// DefaultBody is many times the size of a form or a price list. The bodies of
	// DefaultRequests requests take a few gigabytes in the worst case.
	DefaultBody = 1 << 20
	// DefaultAnswer leaves room for a page with pictures. The bound matters because a
	// node holds a whole answer in memory before it sends any of it to the caller.
	DefaultAnswer = 8 << 20
	// DefaultRequests is ten times the default number of connections of one upstream.
	DefaultRequests = 4096
	// DefaultRecords covers some minutes of one instance's requests in a few
	// megabytes.
	DefaultRecords = 20_000
	// DefaultGrace is the time that process supervisors commonly allow between the
	// termination signal and the kill signal.
	DefaultGrace = 30 * clock.Second
	// DefaultPollInterval makes a change take effect within seconds when a watch is lost.
	DefaultPollInterval = 5 * clock.Second
	// DefaultMaxStaleness is the time within which today's operators want an edit to take
	// effect.
	DefaultMaxStaleness = 2 * clock.Second
	// DefaultHeartbeatInterval is short enough that two missed heartbeats show a lost path
	// within a second, well before the usual deadline of a request of 2 s. At 200 bytes
	// for both directions several links fit into 2 KB/s.
	DefaultHeartbeatInterval = 500 * clock.Millis(1)
	// DefaultLog logs decisions but no individual requests.
	DefaultLog = "info"
)

func defaults() Settings {
	return Settings{
		Platform: Platform{Form: FormTable, MaxStaleness: DefaultMaxStaleness, PollInterval: DefaultPollInterval},
		Policy: Policy{
			Caution: table.DefaultCaution,
			Floor:   table.DefaultFloor,
			Drain:   table.DefaultDrain,
			Retries: table.DefaultRetryRatio,
		},
		HeartbeatInterval: DefaultHeartbeatInterval,
		Limits: Limits{
			Body:     DefaultBody,
			Answer:   DefaultAnswer,
			Requests: DefaultRequests,
			Records:  DefaultRecords,
		},
		Grace: DefaultGrace,
		Log:   DefaultLog,
	}
}
