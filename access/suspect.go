package access

import "fuchsiapick.example/fuchsiapick/clock"

// Suspect is a request during which processes of backend servers crashed.
type Suspect struct {
	// Fingerprint identifies the request in logs and in the lift setting of a table.
	Fingerprint string `json:"fingerprint"`
	// Verdict is VerdictSuspected or VerdictQuarantined.
	Verdict string `json:"verdict"`
	Service string `json:"service"`
	// Upstreams are the upstreams that crashed while they ran the request, oldest crash
	// first. Requests are the ids of the sends that ran there.
	Upstreams []string `json:"upstreams"`
	Requests  []string `json:"requests"`
	// Trials is the number of crashes while no other suspect ran on the upstream.
	Trials int `json:"trials"`
	// Chance is the probability that the request ran on all of them by coincidence.
	Chance float64 `json:"chance"`
	// Age is the time since the last crash, Remaining the time until the quarantine ends.
	Age       clock.Millis `json:"age"`
	Remaining clock.Millis `json:"left,omitempty"`
}

// The verdicts on a suspect.
const (
	// VerdictSuspected means that the request is sent, one send at a time.
	VerdictSuspected = "suspected"
	// VerdictQuarantined means that the request is not sent.
	VerdictQuarantined = "quarantined"
)
