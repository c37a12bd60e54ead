package fleet_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fuchsiapick.example/fuchsiapick/fleet"
	"fuchsiapick.example/fuchsiapick/table"
)

// Guards against a request that is run by a service of another route, or under another target than the one by
// which its route is found.
func TestTargetReachesTheServiceThatItsRouteNames(t *testing.T) {
	services := []string{"conferme", "elenco"}
	start := newTable(1)
	second := start.Services[0]
	second.Name = services[1]
	second.Upstreams = []table.Upstream{second.Upstreams[0]}
	second.Upstreams[0].Name, second.Upstreams[0].Node = "elenco-1", "127.0.0.1:2"
	start.Services = append(start.Services, second)
	start.Routes = append(start.Routes, table.Route{Prefix: "/conferme/elenco/", Service: services[1]})
	f, far, near, _ := startTwoNodesOf(t, fleet.Config{Table: start})
	addresses := map[string]string{}
	for _, service := range services {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			_, _ = io.WriteString(w, service+" "+request.RequestURI)
		}))
		t.Cleanup(server.Close)
		addresses[service] = strings.TrimPrefix(server.URL, "http://")
	}
	if err := f.Publish(func(tt *table.Table) {
		for i := range tt.Services {
			tt.Services[i].Upstreams[0].Address = addresses[tt.Services[i].Name]
		}
	}); err != nil {
		t.Fatal(err)
	}
	awaitVersion(t, f)
	for target, service := range map[string]string{
		"/conferme/":                     "conferme",
		"/conferme/elenco":               "conferme",
		"/conferme/elenco?x=/elenco/":    "conferme",
		"/conferme/elenco%2F7":           "conferme",
		"/conferme/%65lenco/7":           "conferme",
		"/conferme//elenco/7":            "conferme",
		"/conferme/./elenco/7":           "conferme",
		"/conferme/ELENCO/7":             "conferme",
		"/conferme/elenco/":              "elenco",
		"/conferme/elenco/../7":          "elenco",
		"/conferme/elenco/%2e%2E//?q=%7": "elenco",
		"http://a/conferme/elenco/7":     "elenco",
		"http://a/conferme/elenco":       "conferme",
		"http://a?/conferme/":            "",
		"/conferme":                      "",
		"/conferme%2F":                   "",
		"//conferme/":                    "",
		"/./conferme/":                   "",
		"/x/../conferme/":                "",
		"/%63onferme/":                   "",
	} {
		for place, member := range map[string]*fleet.Member{"near": near, "far": far} {
			got, _ := dialCaller(t, member.Caller).send(t, http.MethodPost, target)
			want := answer{status: http.StatusNotFound, outcome: "not-run", reason: "no-route", id: got.id, body: got.body}
			if service != "" {
				want = answer{status: http.StatusOK, outcome: "served", id: got.id, body: service + " " + target}
			}
			if got != want {
				t.Errorf("%s, %s: got %s, want %s", target, place, fmt.Sprint(got), fmt.Sprint(want))
			}
		}
	}
}
