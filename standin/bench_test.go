package standin_test

import (
	"testing"

	"github.com/valyala/fasthttp"

	"fuchsiapick.example/fuchsiapick/standin"
)

// BenchmarkBackend measures a request that is sent to a backend server without a proxy: the
// baseline for the cost that a proxy adds.
func BenchmarkBackend(b *testing.B) {
	backend, err := standin.StartBackend(b.Context(), standin.BackendConfig{Address: "127.0.0.1:0", Slots: 7})
	if err != nil {
		b.Fatal(err)
	}
	defer backend.Close()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + backend.Address() + "/x?size=1000")
	req.Header.Set(standin.RequestHeader, "one")
	b.ReportAllocs()
	for b.Loop() {
		if err := fasthttp.Do(&req, &resp); err != nil {
			b.Fatal(err)
		}
	}
}
