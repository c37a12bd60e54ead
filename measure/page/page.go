package main

import (
	"fmt"
	"io"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/measure"
	"fuchsiapick.example/fuchsiapick/table"
)

// The sizes of the measurements other than detection.
const (
	// healthyLength is the length of a run without a fault.
	healthyLength = 10 * clock.Minute
	// mainOutcomes and otherOutcomes are the least numbers of healthy outcomes to
	// measure: at 0.2 false ejections per million, ten million give two.
	mainOutcomes  = 10_000_000
	otherOutcomes = 2_000_000
	// noEjectionRuns and flapRuns are the runs for each scenario.
	noEjectionRuns = 40
	flapRuns       = 10
)

const pageHead = `# Measures of the health verdict

Written by ` + "`go run ./measure/page`" + `; the same figures on every run. Virtual time, seeded; one
service with its entries and gates as plain values. "p50 / p99" is over the seeds. Baselines travel on replies and
requests only, as in the node.

Load: about half of what the upstreams can serve, Poisson arrivals, log-normal latencies (sigma 0.5), 1% of healthy
requests fail, 200 callers, 80% of the requests repeatable. The rules in a row and over a window hold off for 30 s and
time out after 2 s, as common proxies do; they don't see slowness, so what they find there are timeouts.
"fast", "balanced" and "cautious" are this project's rule at the gate.
`

// writePage runs all measurements, with runs as the number of seeds for each detection, and
// writes the page in Markdown.
func writePage(w io.Writer, runs int) {
	fmt.Fprint(w, pageHead)
	main := measure.Sizes()[0]
	detections(w, main, measure.Rules(), runs)
	falseEjections(w, main, measure.Rules(), mainOutcomes, 0.01)
	falseEjections(w, main, measure.Rules(), otherOutcomes, 0.001)
	noEjection(w, main, measure.Rules())
	flaps(w, main, measure.Rules())
	for _, size := range measure.Sizes()[1:] {
		rules := []measure.Rule{
			measure.GateRule(table.Fast), measure.GateRule(table.Balanced), measure.GateRule(table.Cautious),
			measure.ConsecutiveFailures("5 in a row", 5),
		}
		detections(w, size, rules, max(1, runs/4))
		falseEjections(w, size, rules, otherOutcomes, 0.01)
		noEjection(w, size, rules)
	}
}

// heading writes the heading of a section and the head of its table, with one column for
// each rule.
func heading(w io.Writer, title string, size measure.Size, rules []measure.Rule) {
	fmt.Fprintf(w, "\n## %s: %s\n\n%d upstreams with %d slots, %d entries, %.0f requests a second to each upstream, median %v.\n\n| |",
		size.Name, title, size.Upstreams, size.Slots, size.Entries, size.Rate, size.Median)
	for _, rule := range rules {
		fmt.Fprintf(w, " %s |", rule.Name)
	}
	fmt.Fprint(w, "\n| --- |")
	for range rules {
		fmt.Fprint(w, " --- |")
	}
	fmt.Fprintln(w)
}

// detections writes the section on how fast each rule detects each fault.
func detections(w io.Writer, size measure.Size, rules []measure.Rule, runs int) {
	heading(w, "detection in outcomes, and in ms", size, rules)
	fewCallers := size
	fewCallers.Callers = 8
	for _, scenario := range measure.Faults() {
		detection(w, size, scenario, rules, runs)
	}
	scenario := measure.ReferenceFault()
	scenario.Name += ", 8 callers"
	detection(w, fewCallers, scenario, rules, runs)
	fmt.Fprintf(w, "\n%d seeds. \"missed\": not set aside within 2 minutes, or before the fault was over.\n", runs)
}

// detection writes the row of one scenario: the median and the 99th percentile of
// the number of outcomes and of the time until detection, and the number of missed faults.
func detection(w io.Writer, size measure.Size, scenario measure.Scenario, rules []measure.Rule, runs int) {
	fmt.Fprintf(w, "| %s |", scenario.Name)
	for _, rule := range rules {
		f := measure.Repeat(size, scenario, rule, runs)
		if len(f.DetectionOutcomes) > 0 {
			fmt.Fprintf(w, " %d / %d, %d / %d ms", measure.Quantile(f.DetectionOutcomes, 0.5), measure.Quantile(f.DetectionOutcomes, 0.99),
				measure.Quantile(f.DetectionTimes, 0.5), measure.Quantile(f.DetectionTimes, 0.99))
		}
		if f.Missed > 0 {
			fmt.Fprintf(w, " missed %d of %d", f.Missed, f.Missed+len(f.DetectionOutcomes))
		}
		fmt.Fprint(w, " |")
	}
	fmt.Fprintln(w)
}

// falseEjections writes the section on false ejections without a fault, with one row for
// each share of failed requests. Each figure comes from about minOutcomes outcomes or more.
func falseEjections(w io.Writer, size measure.Size, rules []measure.Rule, minOutcomes int, shares ...float64) {
	heading(w, "false ejections per million healthy outcomes, and per upstream and day", size, rules)
	outcomesPerRun := size.Rate * float64(size.Upstreams) * healthyLength.Seconds()
	runs := 1 + int(float64(minOutcomes)/outcomesPerRun)
	var outcomes int
	for _, failed := range shares {
		size.Failed = failed
		fmt.Fprintf(w, "| %.1f%% fail |", 100*failed)
		for _, rule := range rules {
			f := measure.Repeat(size, measure.Healthy(healthyLength), rule, runs)
			outcomes = f.HealthyOutcomes
			fmt.Fprintf(w, " %.2f, %.2f |", f.FalsePerMillion(), f.FalsePerDay())
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "\n%.1f million outcomes each.\n", float64(outcomes)/1e6)
}

// noEjection writes the section on scenarios in which no upstream may be ejected.
func noEjection(w io.Writer, size measure.Size, rules []measure.Rule) {
	heading(w, "set asides where there should be none", size, rules)
	runs := noEjectionRuns
	if size.Name != measure.Sizes()[0].Name {
		runs /= 2
	}
	for _, scenario := range measure.NoEjection(size) {
		fmt.Fprintf(w, "| %s |", scenario.Name)
		for _, rule := range rules {
			f := measure.Repeat(size, scenario, rule, runs)
			fmt.Fprintf(w, " %d (%.1f%%) |", f.FalseEjections, 100*float64(f.FalseEjections)/float64(runs*size.Upstreams))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "\n%d runs of 75 s. In brackets: set asides for each upstream and run, so that 100%% means that all were set aside once. Those that 1%% of failures cause anyway are counted in.\n", runs)
}

// flaps writes the section on requests sent to a flapping upstream after its detection.
func flaps(w io.Writer, size measure.Size, rules []measure.Rule) {
	heading(w, "requests given to a flapping upstream while it was sick", size, rules)
	for _, scenario := range measure.Flaps() {
		fmt.Fprintf(w, "| %s |", scenario.Name)
		for _, rule := range rules {
			f := measure.Repeat(size, scenario, rule, flapRuns)
			fmt.Fprintf(w, " %d |", f.SentAfterDetection/flapRuns)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "\nAfter its first detection, in ten minutes, mean of %d runs. All requests fail in half of each period.\n", flapRuns)
}
