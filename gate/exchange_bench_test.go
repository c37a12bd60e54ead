package gate_test

import (
	"net/http"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
)

// BenchmarkExchange measures a request on a kept connection, the backend server's part included.
func BenchmarkExchange(b *testing.B) {
	for _, s := range headerSets() {
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			b.Run(s.name+"/"+method, func(b *testing.B) {
				text := "HTTP/1.1 200 OK\r\n" + s.own + "Date: Mon, 01 Jan 2024 00:00:00 GMT\r\nContent-Type: application/json\r\nServer: x\r\nContent-Length: 5\r\n\r\n"
				if method == http.MethodGet {
					text += "abcde"
				}
				u := startRawUpstream(b)
				u.next.Store(&answerText{text: text, ending: kept})
				h := u.backend(b, s)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := h.Do(b.Context(), &gate.Call{ID: "b", Method: method, URI: "/x", Deadline: clock.Minute, Repeatable: true}); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
