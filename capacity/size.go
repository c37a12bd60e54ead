package capacity

import "slices"

// The design size: the deployment that nodes are designed for.
const (
	Nodes            = 2400
	Upstreams        = 200_000
	Services         = 4100
	Routes           = 190_000
	Callers          = 1_300_000
	Requests         = 3_400_000 // per second
	Changes          = 110_000   // per day
	Regions          = 11
	Domains          = 42
	UpstreamsPerNode = Upstreams / Nodes
)

// All returns every measure, in the order of docs/CAPACITY.md.
func All() []Measure {
	return slices.Concat(tableMeasures(), entryMeasures(), crossDomainMeasures(), gateMeasures(), frameMeasures(), linkMeasures(), idlePeerMeasures(), platformMeasures(), accessLogMeasures(), adminMeasures(), wholeNodeMeasures())
}
