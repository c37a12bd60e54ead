package access

import "fuchsiapick.example/fuchsiapick/clock"

// Suspect is a request under which processes of backend servers ended.
type Suspect struct {
	// Fingerprint names the request in logs and in a table's lift.
	Fingerprint string `json:"fingerprint"`
	// Verdict is SuspectTried or SuspectHeld.
	Verdict string `json:"verdict"`
	Service string `json:"service"`
	// Upstreams are those that ended under it, oldest first, and Requests the ids of the
	// sends that ran there.
	Upstreams []string `json:"upstreams"`
	Requests  []string `json:"requests"`
	// Trials is how many of them ended while no other suspect ran there.
	Trials int `json:"trials"`
	// Chance is how likely it ran at all of them by accident.
	Chance float64 `json:"chance"`
	// Age is how long ago the last of them ended, Left how long it is held yet.
	Age       clock.Millis `json:"age"`
	Remaining clock.Millis `json:"left,omitempty"`
}

// The verdicts on a suspect.
const (
	// VerdictSuspected means that it is sent, one send at a time.
	VerdictSuspected = "suspected"
	// VerdictQuarantined means that it isn't sent.
	VerdictQuarantined = "quarantined"
)
