package gate_test

import (
	"net/http"
	"testing"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/gate"
)

// BenchmarkExchange measures a request on a kept connection, the backend server's part included.
func BenchmarkExchange(b *testing.B) {
	const fields = "Date: Mon, 01 Jan 2024 00:00:00 GMT\r\nContent-Type: application/json\r\nServer: x\r\n"
	for _, s := range headerSets() {
		for _, exchange := range []struct{ name, method, framing, body string }{
			{"GET", http.MethodGet, "Content-Length: 5\r\n", "abcde"},
			{"HEAD", http.MethodHead, "Content-Length: 5\r\n", ""},
			{"chunks", http.MethodGet, "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"},
		} {
			b.Run(s.name+"/"+exchange.name, func(b *testing.B) {
				text := "HTTP/1.1 200 OK\r\n" + s.own + fields + exchange.framing + "\r\n" + exchange.body
				u := startRawUpstream(b)
				u.next.Store(&answerText{text: text, ending: kept})
				h := u.backend(b, s)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := h.Do(b.Context(), &gate.Call{ID: "b", Method: exchange.method, URI: "/x", Deadline: clock.Minute, Repeatable: true}); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
