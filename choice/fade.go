package choice

import "fuchsiapick.example/fuchsiapick/clock"

// loadTTL is how long a load that was heard takes to fade. A load that never
// faded would keep an entry that sends little from an upstream that was busy
// for a moment, for only a request sent there or a heartbeat brings the next
// word of its load. Too quick a fade sends work back to a slow upstream: with
// one of nine slow by ten times, the p99 of waits is about 290 ms at a span of
// 100 ms and 225 ms at 2 s and at 5 s, while without a slow one it rises from
// 44 ms to 46 ms and 49 ms (measure/overload, sicily at 70% load).
const loadTTL = 2 * clock.Second

// DecayLoad returns what a load heard some time ago still counts for, in requests.
// A Candidate's InFlight is the larger of it and the entry's own outstanding
// requests.
func DecayLoad(load int, age clock.Millis) int {
	if age >= loadTTL {
		return 0
	}
	return int(clock.Millis(load) * (loadTTL - max(age, 0)) / loadTTL)
}
