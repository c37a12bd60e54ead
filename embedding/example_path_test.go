package embedding_test

import (
	"fmt"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/path"
)

const heartbeatInterval = clock.Second / 2

// In a one-way partition, this process receives the messages of a peer that doesn't receive
// those of this process. The detector finds this from the peer's heartbeats, which say when
// the peer last received a message. The program sends the heartbeats, and opens a new
// connection when ShouldDial says so.
func Example_path() {
	var now clock.Manual
	d := path.New(path.Config{HeartbeatInterval: heartbeatInterval, Seed: 1})
	names := map[path.State]string{path.Good: "good", path.Suspected: "doubted", path.Lost: "lost"}
	last := ""
	d.ShouldDial(now.Now())
	d.Opened(now.Now())
	for now.Now() < 20*clock.Second {
		now.Advance(heartbeatInterval)
		open := now.Now() < 5*clock.Second || now.Now() > 10*clock.Second
		echoed := now.Now() // when the peer last received a message from this process
		if !open {
			echoed = 5*clock.Second - heartbeatInterval
		}
		d.Received(now.Now())
		d.Echoed(now.Now(), echoed)
		state := names[d.State(now.Now())]
		if state != last {
			fmt.Println(state)
			last = state
		}
		if !d.ShouldDial(now.Now()) {
			continue
		}
		if open {
			d.Opened(now.Now())
		} else {
			d.Failed(now.Now())
		}
	}
	// Output:
	// good
	// doubted
	// lost
	// good
}
