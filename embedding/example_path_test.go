package embedding_test

import (
	"fmt"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/path"
)

const heartbeatInterval = clock.Second / 2

// A one-way partition: this process goes on hearing a peer that no longer hears
// it. The peer's beats say when it last heard from here, which gives it away.
// The program sends the beats, and opens a new connection when Redial says so.
func Example_path() {
	var now clock.Manual
	j := path.New(path.Config{HeartbeatInterval: heartbeatInterval, Seed: 1})
	names := map[path.State]string{path.Good: "good", path.Suspected: "doubted", path.Lost: "lost"}
	last := ""
	j.ShouldDial(now.Now())
	j.Opened(now.Now())
	for now.Now() < 20*clock.Second {
		now.Advance(heartbeatInterval)
		open := now.Now() < 5*clock.Second || now.Now() > 10*clock.Second
		heard := now.Now() // when the peer last heard from here
		if !open {
			heard = 5*clock.Second - heartbeatInterval
		}
		j.Received(now.Now())
		j.Echoed(now.Now(), heard)
		state := names[j.State(now.Now())]
		if state != last {
			fmt.Println(state)
			last = state
		}
		if !j.ShouldDial(now.Now()) {
			continue
		}
		if open {
			j.Opened(now.Now())
		} else {
			j.Failed(now.Now())
		}
	}
	// Output:
	// good
	// doubted
	// lost
	// good
}
