package settings

import (
	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
)

// Defaults of what the settings leave out.
const (
	// DefaultBody carries forms and price lists many times over, and keeps
	// DefaultRequests bodies within a few gigabytes at the very worst.
	DefaultBody = 1 << 20
	// DefaultAnswer leaves room for a page with pictures: an answer is held
	// whole before a caller gets any of it.
	DefaultAnswer = 8 << 20
	// DefaultRequests is ten times the connections of one upstream.
	DefaultRequests = 4096
	// DefaultRecords is some minutes of one instance's requests in a few
	// megabytes.
	DefaultRecords = 20_000
	// DefaultGrace is what process supervisors commonly allow between the
	// termination signal and the kill.
	DefaultGrace = 30 * clock.Second
	// DefaultPollInterval keeps a change in force within seconds when a watch is lost.
	DefaultPollInterval = 5 * clock.Second
	// DefaultMaxStaleness is the time within which today's operators want an edit in
	// force.
	DefaultMaxStaleness = 2 * clock.Second
	// DefaultHeartbeatInterval is the heartbeat interval of links. Two missed ones within a
	// second show a lost path well before a request's usual deadline of 2 s,
	// and at 200 bytes both ways it leaves room for some links in 2 KB/s.
	DefaultHeartbeatInterval = 500 * clock.Millis(1)
	// DefaultLog shows each decision and no single request.
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
