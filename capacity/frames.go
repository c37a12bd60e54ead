package capacity

import (
	"fmt"
	"strings"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/table"
	"fuchsiapick.example/fuchsiapick/wire"
)

// frameMeasures returns the measures of the messages that links carry.
func frameMeasures() []Measure {
	sizes := []int{1, 10, 40, 83, 166}
	return []Measure{
		{
			Role: "link", Name: "heartbeat", Unit: unitBytes, Against: localUpstreams,
			Sizes: sizes, Target: UpstreamsPerNode,
			Cost: func(n int) (float64, error) { return frameSize(heartbeat(n)) },
		},
		{
			Role: "link", Name: "heartbeat encoded", Unit: unitMicros, Against: localUpstreams,
			Sizes: sizes, Target: UpstreamsPerNode,
			Cost: func(n int) (float64, error) {
				h := heartbeat(n)
				return cpuTime(func() error {
					_, err := wire.Encode(h)
					return err
				})
			},
		},
		{
			Role: "link", Name: "heartbeat decoded", Unit: unitMicros, Against: localUpstreams,
			Sizes: sizes, Target: UpstreamsPerNode,
			Cost: func(n int) (float64, error) {
				frame, err := wire.Encode(heartbeat(n))
				if err != nil {
					return 0, err
				}
				return cpuTime(func() error {
					_, err := wire.Decode(frame, len(frame))
					return err
				})
			},
		},
		{
			Role: "link", Name: "heartbeat's state gathered from the gates", Unit: unitMicros, Against: localUpstreams,
			Sizes: sizes, Target: UpstreamsPerNode,
			Cost: statusTime,
		},
		{
			Role: "link", Name: "dispatch, encoded and decoded", Unit: unitMicros, Against: "bytes of body",
			Sizes: []int{0, 1 << 10, 4 << 10, 16 << 10},
			Cost:  func(n int) (float64, error) { return codecTime(dispatch(n)) },
		},
		{
			Role: "link", Name: "reply, encoded and decoded", Unit: unitMicros, Against: "bytes of answer",
			Sizes: []int{0, 1 << 10, 4 << 10, 16 << 10},
			Cost:  func(n int) (float64, error) { return codecTime(reply(n)) },
		},
		{
			Role: "link", Name: "reply", Unit: unitBytes, Against: "bytes of answer",
			Sizes: []int{0, 1 << 10, 4 << 10, 16 << 10},
			Cost:  func(n int) (float64, error) { return frameSize(reply(n)) },
		},
		{
			Role: "link", Name: "dispatch", Unit: unitBytes, Against: "bytes of body",
			Sizes: []int{0, 1 << 10, 4 << 10, 16 << 10},
			Cost:  func(n int) (float64, error) { return frameSize(dispatch(n)) },
		},
	}
}

// frameSize returns the size of the encoded message in bytes.
func frameSize(m wire.Message) (float64, error) {
	frame, err := wire.Encode(m)
	return float64(len(frame)), err
}

// hour is the time in all messages. A node that has run for some time encodes larger
// numbers than a node that has just started.
const hour = clock.Hour

func upstreamState(i int) wire.Upstream {
	return wire.Upstream{
		Name: fmt.Sprintf("upstream-%d", i), Severity: 0.25, Share: 1, InFlight: 3, Waiting: 1,
		Local: wire.Baseline{Known: true, FailureRate: 0.0125, Latency: 120},
	}
}

func heartbeat(upstreams int) *wire.Heartbeat {
	h := &wire.Heartbeat{Time: hour, Echo: hour, Version: 1 << 30, Digest: table.Digest(nil)}
	for i := range upstreams {
		h.Upstreams = append(h.Upstreams, upstreamState(i))
	}
	return h
}

func reply(bodySize int) *wire.Reply {
	return &wire.Reply{
		ID: wire.RequestID{Entry: 1 << 60, Seq: 1 << 30}, Attempt: 1, Outcome: wire.Answered, Status: 200,
		Length: bodySize, Body: make([]byte, bodySize), Time: hour, Upstream: upstreamState(1),
	}
}

func dispatch(bodySize int) *wire.Dispatch {
	return &wire.Dispatch{
		ID: wire.RequestID{Entry: 1 << 60, Seq: 1 << 30}, Attempt: 1, Incarnation: 1 << 60,
		Lease: hour, Budget: clock.Second, Upstream: "upstream-1", Caller: "caller-1", Method: "GET",
		URI: "/service-1/route-1/" + strings.Repeat("x", 20), Body: make([]byte, bodySize),
		Baseline: wire.Baseline{Known: true, FailureRate: 0.0125, Latency: 120},
	}
}

// codecTime returns the CPU time in microseconds to encode and decode one message.
func codecTime(m wire.Message) (float64, error) {
	return cpuTime(func() error {
		frame, err := wire.Encode(m)
		if err != nil {
			return err
		}
		_, err = wire.Decode(frame, len(frame))
		return err
	})
}
