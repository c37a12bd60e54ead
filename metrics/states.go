package metrics

import "github.com/prometheus/client_golang/prometheus"

var (
	stateDesc = prometheus.NewDesc(namespace+"_upstream_state",
		"1 for the state that this node sees an upstream in.", []string{"service", "upstream", "state"}, nil)
	severityDesc = prometheus.NewDesc(namespace+"_upstream_severity",
		"How bad the gate's verdict on an upstream is; 0 is good.", []string{"service", "upstream"}, nil)
	versionDesc  = prometheus.NewDesc(namespace+"_table_version", "Version of the table in force.", nil, nil)
	inFlightDesc = prometheus.NewDesc(namespace+"_in_flight", "Requests in flight, as entry and as gate.", nil, nil)
)

// stateCollector reads gauges from the node at each scrape, so that the series of upstreams
// that the table no longer names disappear.
type stateCollector struct {
	source State
	panics Panics
}

// Describe sends the descriptions of the gauges.
func (*stateCollector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{stateDesc, severityDesc, versionDesc, inFlightDesc} {
		out <- d
	}
}

// Collect sends the current values of the gauges.
func (s *stateCollector) Collect(out chan<- prometheus.Metric) {
	defer recoverScrape(s.panics)
	for _, u := range s.source.States() {
		out <- prometheus.MustNewConstMetric(stateDesc, prometheus.GaugeValue, 1, u.Service, u.Name, u.State)
		out <- prometheus.MustNewConstMetric(severityDesc, prometheus.GaugeValue, u.Severity, u.Service, u.Name)
	}
	out <- prometheus.MustNewConstMetric(versionDesc, prometheus.GaugeValue, float64(s.source.Version()))
	out <- prometheus.MustNewConstMetric(inFlightDesc, prometheus.GaugeValue, float64(s.source.InFlight()))
}
