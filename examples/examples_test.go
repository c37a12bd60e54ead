package examples_test

import (
	"testing"

	"fuchsiapick.example/fuchsiapick/examples"
	"fuchsiapick.example/fuchsiapick/table"
)

// The example tables must have the sizes of the two deployments. Otherwise whatever runs on
// them, such as the demo, doesn't show these deployments.
func TestExamplesMatchDeployments(t *testing.T) {
	tests := map[string]struct {
		text      []byte
		caution   table.Caution
		upstreams map[string]int
		slots     int
	}{
		"sicily":   {examples.Sicily, table.Fast, map[string]int{"bacheca": 6, "conferme": 9, "squadre": 9}, 3},
		"kingston": {examples.Kingston, table.Cautious, map[string]int{"listings": 6, "revisions": 9, "salons": 9}, 7},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := table.Parse(test.text)
			if err != nil {
				t.Fatalf("got %v, want a valid table", err)
			}
			for service, want := range test.upstreams {
				s, ok := got.Service(service)
				if !ok || len(s.Upstreams) != want || s.Caution != test.caution {
					t.Errorf("%s: got %+v, want %d upstreams and caution %s", service, s, want, test.caution)
					continue
				}
				domains := make(map[string]int)
				for _, u := range s.Upstreams {
					domains[u.Domain]++
					if u.Slots != test.slots || u.Connections != 400 {
						t.Errorf("%s: got %d slots, %d connections, want %d and 400", u.Name, u.Slots, u.Connections, test.slots)
					}
				}
				if len(domains) != 3 {
					t.Errorf("%s: got domains %v, want 3", service, domains)
				}
				if r, ok := got.Route("", "/"+service+"/x"); !ok || r.Service != service || r.MayRepeat("POST") {
					t.Errorf("route: got %+v, want one to %s that never repeats POST", r, service)
				}
			}
		})
	}
}
