package embedding_test

import (
	"fmt"

	"fuchsiapick.example/fuchsiapick/floor"
)

// Four of six upstreams fail, and the floor is half of the capacity: the three with the
// highest severity are ejected, and the one with the lowest stays in use.
func Example_floor() {
	severities := []float64{0, 0.9, 0.4, 0.7, 0, 0.8}
	members := make([]floor.Member, 0, len(severities))
	for _, s := range severities {
		members = append(members, floor.Member{Capacity: 300, Ejected: s > 0, Severity: s})
	}
	names := map[floor.Use]string{floor.Normal: "normal", floor.Forced: "forced", floor.Ejected: "aside"}
	for i, use := range floor.Decide(nil, 0.5, members) {
		fmt.Println(i+1, names[use])
	}
	// Output:
	// 1 normal
	// 2 aside
	// 3 forced
	// 4 aside
	// 5 normal
	// 6 aside
}
