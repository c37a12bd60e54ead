package capacity

import (
	"fmt"
	"strings"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/table"
)

// upstreamsPerService and routesPerService are the averages at the design size: 200,000
// upstreams and 190,000 routes in 4,100 services.
const (
	upstreamsPerService = 49
	routesPerService    = 46
)

// tableMeasures returns the measures of the published configuration.
func tableMeasures() []Measure {
	sizes := upstreamCounts(5, 20, 50, 100) // at most as many as fit in one value of the platform
	return []Measure{
		{
			Role: "table", Name: "text with its routes", Unit: unitBytes, Against: "upstreams",
			Sizes: sizes, Target: Upstreams,
			Cost: func(n int) (float64, error) {
				return float64(len(tableText(n/upstreamsPerService, upstreamsPerService, routesPerService))), nil
			},
		},
		{
			Role: "table", Name: "text of routes", Unit: unitBytes, Against: "routes",
			Sizes: []int{500, 1000, 2000, 4000}, Target: Routes,
			Cost: func(n int) (float64, error) { return float64(len(tableText(1, 1, n))), nil },
		},
		{
			Role: "table", Name: "parsed", Unit: unitMicros, Against: "upstreams",
			Sizes: sizes, Target: Upstreams,
			Cost: func(n int) (float64, error) {
				text := []byte(tableText(n/upstreamsPerService, upstreamsPerService, routesPerService))
				return cpuTime(func() error {
					_, err := table.Parse(text)
					return err
				})
			},
		},
		{
			Role: "table", Name: "held", Unit: unitBytes, Against: "upstreams",
			Sizes: sizes, Target: Upstreams,
			Cost: func(n int) (float64, error) {
				text := []byte(tableText(n/upstreamsPerService, upstreamsPerService, routesPerService))
				return retainedBytes(func() (any, error) { return table.Parse(text) })
			},
		},
		{
			Role: "table", Name: "held for routes", Unit: unitBytes, Against: "routes",
			Sizes: []int{500, 1000, 2000, 4000}, Target: Routes,
			Cost: func(n int) (float64, error) {
				text := []byte(tableText(1, 1, n))
				return retainedBytes(func() (any, error) { return table.Parse(text) })
			},
		},
		{
			Role: "table", Name: "compared after a one-line edit", Unit: unitMicros, Against: "upstreams",
			Sizes: sizes, Target: Upstreams,
			Cost: diffTime,
		},
		{
			Role: "table", Name: "instance list", Unit: unitBytes, Against: "nodes",
			Sizes: nodeCounts(), Target: Nodes,
			Cost: func(n int) (float64, error) { return float64(len(instanceText(n))), nil },
		},
		{
			Role: "table", Name: "instance list parsed", Unit: unitMicros, Against: "nodes",
			Sizes: nodeCounts(), Target: Nodes,
			Cost: func(n int) (float64, error) {
				text := []byte(instanceText(n))
				return cpuTime(func() error {
					_, err := table.ParseInstances(text)
					return err
				})
			},
		},
	}
}

// upstreamCounts returns the numbers of upstreams for numbers of services.
func upstreamCounts(services ...int) []int {
	sizes := make([]int, 0, len(services))
	for _, n := range services {
		sizes = append(sizes, n*upstreamsPerService)
	}
	return sizes
}

// diffTime returns the CPU time in microseconds to compare two tables that differ in one
// line.
func diffTime(upstreams int) (float64, error) {
	text := tableText(upstreams/upstreamsPerService, upstreamsPerService, routesPerService)
	older, err := table.Parse([]byte(text))
	if err != nil {
		return 0, err
	}
	newer, err := table.Parse([]byte(strings.Replace(text, "slots = 7", "slots = 6", 1)))
	if err != nil {
		return 0, err
	}
	return cpuTime(func() error {
		if n := len(table.Diff(older, newer)); n != 1 {
			return errors.Errorf("comparing the tables found %d changes, want 1", n)
		}
		return nil
	})
}

// tableText returns the text of a table with so many upstreams and routes per service.
// The upstreams are spread over as many nodes as the design size has.
func tableText(services, upstreams, routes int) string {
	var b strings.Builder
	b.WriteString("format = 1\nversion = 1\n")
	for s := range services {
		fmt.Fprintf(&b, "[[service]]\nname = \"service-%d\"\n", s)
		for u := range upstreams {
			i := s*upstreams + u
			fmt.Fprintf(&b, "[[service.upstream]]\nname = \"upstream-%d\"\naddress = \"%s:8080\"\n"+
				"node = \"%s:7000\"\ndomain = \"domain-%d\"\nslots = 7\n", i, ip(i), ip(i%Nodes), i%Nodes%Domains)
		}
	}
	for s := range services {
		for r := range routes {
			fmt.Fprintf(&b, "[[route]]\nprefix = \"/service-%d/route-%d/\"\nservice = \"service-%d\"\n", s, r, s)
		}
	}
	return b.String()
}

// instanceText returns the text of an instance list.
func instanceText(nodes int) string {
	var b strings.Builder
	b.WriteString("version = 1\n")
	for i := range nodes {
		fmt.Fprintf(&b, "[[instance]]\nnode = \"%s:7000\"\ndomain = \"domain-%d\"\nstate = \"live\"\n", ip(i), i%Domains)
	}
	return b.String()
}

// ip returns the address of a simulated host, for i below 1<<24.
func ip(i int) string {
	const octetMask = 255
	return fmt.Sprintf("10.%d.%d.%d", i>>16&octetMask, i>>8&octetMask, i&octetMask)
}
