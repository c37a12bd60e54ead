package wire

import (
	"bytes"
	"slices"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/quarantine"
)

// CrashReport tells of backend servers that ended under their runs.
type CrashReport struct {
	_       struct{} `cbor:",toarray"`
	Crashes []Crash
	// WantsReply says that all is told and wanted in return, as the digests differ.
	WantsReply bool
}

// Crash is the end of one backend server's process.
type Crash struct {
	_         struct{} `cbor:",toarray"`
	ID        uint64
	Service   string
	Upstream  string
	Version   string
	Upstreams int
	Suspects  []Suspect
	// Cleared has the bits of the suspects that came to their end since.
	Cleared uint64
	// IsMiss says that it was a trial which showed nothing, and no end.
	IsMiss bool
	// Age is how long ago it was.
	Age clock.Millis
}

// Suspect is a request that ran as the process ended.
type Suspect struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint []byte
	Hint        uint64
	Request     string
	Ran         clock.Millis
	IsTrial     bool
}

// Kind names the frame.
func (*CrashReport) Kind() Kind { return KindCrashReport }

// maxCrashes bounds the ends in one frame: with as many runs as one may have they take
// less than half of what every node reads.
const maxCrashes = 64

// NewCrashReports writes ends for peers, in one frame or several.
func NewCrashReports(now clock.Millis, ends []quarantine.Crash) []*CrashReport {
	var frames []*CrashReport
	for part := range slices.Chunk(ends, maxCrashes) {
		frames = append(frames, newCrashReport(now, part))
	}
	return frames
}

func newCrashReport(now clock.Millis, ends []quarantine.Crash) *CrashReport {
	m := &CrashReport{Crashes: make([]Crash, 0, len(ends))}
	for i := range ends {
		e := &ends[i]
		c := Crash{
			ID: e.ID, Service: e.Service, Upstream: e.Upstream, Version: e.Version, Upstreams: e.Upstreams,
			Suspects: make([]Suspect, 0, len(e.Suspects)), Cleared: e.Cleared, IsMiss: e.IsInconclusive, Age: now - e.At,
		}
		for j := range e.Suspects {
			s := &e.Suspects[j]
			c.Suspects = append(c.Suspects, Suspect{
				Fingerprint: s.Fingerprint[:], Hint: s.Hint, Request: s.Request, Ran: s.Elapsed, IsTrial: s.IsTrial,
			})
		}
		m.Crashes = append(m.Crashes, c)
	}
	return m
}

// ToQuarantine reads ends that a peer has told. What no node writes is left out.
func (m *CrashReport) ToQuarantine(now clock.Millis) []quarantine.Crash {
	ends := make([]quarantine.Crash, 0, len(m.Crashes))
	for i := range m.Crashes {
		c := &m.Crashes[i]
		e := quarantine.Crash{
			ID: c.ID, Service: c.Service, Upstream: c.Upstream, Version: c.Version, Upstreams: c.Upstreams,
			Cleared: c.Cleared, IsInconclusive: c.IsMiss, At: now - max(c.Age, 0),
		}
		for j := range c.Suspects {
			s := &c.Suspects[j]
			if len(s.Fingerprint) == len(quarantine.Fingerprint{}) {
				e.Suspects = append(e.Suspects, quarantine.Suspect{
					Fingerprint: quarantine.Fingerprint(s.Fingerprint), Hint: s.Hint, Request: s.Request, Elapsed: s.Ran, IsTrial: s.IsTrial,
				})
			}
		}
		if len(e.Suspects) == len(c.Suspects) {
			ends = append(ends, e)
		}
	}
	return ends
}

// QuarantineRequest is what makes the request of a dispatch the same as another.
func (d *Dispatch) QuarantineRequest() quarantine.Request {
	r := quarantine.Request{Caller: d.Caller, Method: d.Method, URI: d.URI, Body: d.Body}
	if !d.AnyHost {
		r.Host = d.Headers.Host()
	}
	return r
}

var hostName = []byte("Host")

// Host returns the host that the Host field names, in lower case and without a port; nil
// without the field.
func (h Headers) Host() []byte {
	for name, value := range h.All() {
		if bytes.EqualFold(name, hostName) {
			return bytes.ToLower(WithoutPort(value))
		}
	}
	return nil
}

// WithoutPort cuts the port off a host.
func WithoutPort(host []byte) []byte {
	if colon := bytes.LastIndexByte(host, ':'); colon >= 0 && !bytes.HasSuffix(host, []byte{']'}) {
		return host[:colon]
	}
	return host
}
