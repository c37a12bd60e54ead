package retry

import "fuchsiapick.example/fuchsiapick/clock"

// shedWindow is the time constant with which runs lose weight in the share of shed runs. An
// upstream sheds for some seconds, and it must get retries again soon after.
const shedWindow = 2 * clock.Second

// ShedMeter estimates the share of an upstream's runs that it sheds. It isn't safe for
// concurrent use.
type ShedMeter struct {
	runs, shed decayingCounter
}

// NewShedMeter returns a ShedMeter of an upstream without runs.
func NewShedMeter() *ShedMeter {
	return &ShedMeter{runs: decayingCounter{timeConstant: shedWindow}, shed: decayingCounter{timeConstant: shedWindow}}
}

// Record counts a run that the upstream has ended or refused.
func (m *ShedMeter) Record(now clock.Millis, isShed bool) {
	m.runs.add(now)
	if isShed {
		m.shed.add(now)
	}
}

// Share returns the share of shed runs, as if one more run had not been shed: a single shed
// run doesn't make an upstream one that sheds all.
func (m *ShedMeter) Share(now clock.Millis) float64 {
	return m.shed.read(now) / (m.runs.read(now) + 1)
}

// DecayShedShare returns what a share of shed runs counts for after age without news.
func DecayShedShare(share float64, age clock.Millis) float64 {
	counter := decayingCounter{timeConstant: shedWindow, value: share}
	return counter.read(age)
}
