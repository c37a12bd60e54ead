package wire

import (
	"bytes"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quarantine"
)

// CrashReport carries a node's records of backend servers that crashed during runs.
type CrashReport struct {
	_       struct{} `cbor:",toarray"`
	Crashes []Crash
	// WantsReply is true if the sender has sent all its records and asks for all those of
	// the receiver, because the two nodes' crash digests differ.
	WantsReply bool
}

// Crash is the record of one crash of a backend server's process.
type Crash struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	Service   string
	Upstream  string
	Version   string
	Upstreams int
	Suspects  []Suspect
	// Cleared is a bit mask over Suspects: those that have run to their end since.
	Cleared uint64
	// IsInconclusive is true for an inconclusive trial: the process did not crash.
	IsInconclusive bool
	// Age is the time since the crash, or since the inconclusive trial.
	Age clock.Millis
}

// Suspect is a request that was running when the process crashed.
type Suspect struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint []byte
	Hint        uint64
	Request     string
	// Elapsed is how long the request had been running.
	Elapsed clock.Millis
	IsTrial bool
}

// Kind implements Message.
func (*CrashReport) Kind() Kind { return KindCrashReport }

// maxCrashes bounds the crashes in one frame. Even with the maximum number of suspects in
// each, the frame takes less than half of the frame size that every node accepts.
const maxCrashes = 64

// NewCrashReports converts crashes to reports of at most maxCrashes each.
func NewCrashReports(now clock.Millis, crashes []quarantine.Crash) []*CrashReport {
	var reports []*CrashReport
	for part := range slices.Chunk(crashes, maxCrashes) {
		reports = append(reports, newCrashReport(now, part))
	}
	return reports
}

func newCrashReport(now clock.Millis, crashes []quarantine.Crash) *CrashReport {
	m := &CrashReport{Crashes: make([]Crash, 0, len(crashes))}
	for i := range crashes {
		from := &crashes[i]
		c := Crash{
			ID: from.ID, Service: from.Service, Upstream: from.Upstream, Version: from.Version, Upstreams: from.Upstreams,
			Suspects: make([]Suspect, 0, len(from.Suspects)), Cleared: from.Cleared, IsInconclusive: from.IsInconclusive, Age: now - from.At,
		}
		for j := range from.Suspects {
			s := &from.Suspects[j]
			c.Suspects = append(c.Suspects, Suspect{
				Fingerprint: s.Fingerprint[:], Hint: s.Hint, Request: s.Request, Elapsed: s.Elapsed, IsTrial: s.IsTrial,
			})
		}
		m.Crashes = append(m.Crashes, c)
	}
	return m
}

// ToQuarantine converts the report to the form that package quarantine uses. It leaves
// out crashes with a fingerprint of the wrong length, which no node sends.
func (m *CrashReport) ToQuarantine(now clock.Millis) []quarantine.Crash {
	crashes := make([]quarantine.Crash, 0, len(m.Crashes))
	for i := range m.Crashes {
		c := &m.Crashes[i]
		crash := quarantine.Crash{
			ID: c.ID, Service: c.Service, Upstream: c.Upstream, Version: c.Version, Upstreams: c.Upstreams,
			Cleared: c.Cleared, IsInconclusive: c.IsInconclusive, At: now - max(c.Age, 0),
		}
		for j := range c.Suspects {
			s := &c.Suspects[j]
			if len(s.Fingerprint) == len(quarantine.Fingerprint{}) {
				crash.Suspects = append(crash.Suspects, quarantine.Suspect{
					Fingerprint: quarantine.Fingerprint(s.Fingerprint), Hint: s.Hint, Request: s.Request, Elapsed: s.Elapsed, IsTrial: s.IsTrial,
				})
			}
		}
		if len(crash.Suspects) == len(c.Suspects) {
			crashes = append(crashes, crash)
		}
	}
	return crashes
}

// QuarantineRequest returns the parts of the request by which quarantine recognizes a
// repetition of it.
func (d *Dispatch) QuarantineRequest() quarantine.Request {
	r := quarantine.Request{Caller: d.Caller, Method: d.Method, URI: d.URI, Body: d.Body}
	if !d.AnyHost {
		r.Host = d.Headers.Host()
	}
	return r
}

var hostName = []byte("Host")

// Host returns the host of the Host field, in lower case and without its port. It returns
// nil if there is no such field.
func (h Headers) Host() []byte {
	for name, value := range h.All() {
		if bytes.EqualFold(name, hostName) {
			return bytes.ToLower(WithoutPort(value))
		}
	}
	return nil
}

// WithoutPort returns a host without its port.
func WithoutPort(host []byte) []byte {
	if colon := bytes.LastIndexByte(host, ':'); colon >= 0 && !bytes.HasSuffix(host, []byte{']'}) {
		return host[:colon]
	}
	return host
}
