package choice

import "fuchsiapick.example/fuchsiapick/clock"

// loadTTL is the time in which a received load decays to 0. Without decay, an entry that
// sends few requests would avoid an upstream that was briefly busy, because only a request
// to it or a heartbeat brings an update of its load. If the decay is too fast, requests
// return to a slow upstream: if one of nine is ten times slower, the p99 of waits is about
// 290 ms with a TTL of 100 ms, and 225 ms with 2 s and with 5 s. Without a slow one it
// rises from 44 ms to 46 ms and 49 ms (measure/overload, sicily at 70% load).
const loadTTL = 2 * clock.Second

// DecayLoad returns the value, in requests, that a load received age ago still counts for:
// it falls linearly to 0 over loadTTL. Use the larger of it and the entry's own requests in
// flight as a Candidate's InFlight.
func DecayLoad(load int, age clock.Millis) int {
	if age >= loadTTL {
		return 0
	}
	return int(clock.Millis(load) * (loadTTL - max(age, 0)) / loadTTL)
}
