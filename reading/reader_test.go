package reading_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/juju/errors"

	"fuchsiapick.example/fuchsiapick/clock"
	"fuchsiapick.example/fuchsiapick/reading"
	"fuchsiapick.example/fuchsiapick/standin"
)

func startPlatform(t *testing.T) *standin.Platform {
	t.Helper()
	p, err := standin.StartPlatform(t.Context(), standin.PlatformConfig{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func newReader(p *standin.Platform, wait clock.Millis) *reading.Reader {
	return reading.New(reading.Config{Address: p.Address(), Timeout: clock.Minute, Wait: wait})
}

// watched is what a watch in the background came back with.
type watched struct {
	value   reading.Value
	changed bool
	err     error
}

// watch starts a watch and returns once the platform has it.
func watch(ctx context.Context, t *testing.T, p *standin.Platform, after uint64) <-chan watched {
	t.Helper()
	calls := p.Calls()
	done := make(chan watched, 1)
	go func() {
		value, changed, err := newReader(p, clock.Hour).Watch(ctx, "table", after)
		done <- watched{value, changed, err}
	}()
	if err := p.AwaitCalls(ctx, calls+1); err != nil {
		t.Fatal(err)
	}
	return done
}

func TestReaderGet(t *testing.T) {
	p := startPlatform(t)
	r := newReader(p, clock.Second)
	if _, err := r.Get(t.Context(), "table"); !errors.Is(err, reading.ErrAbsent) {
		t.Errorf("got error %v before it is published, want ErrAbsent", err)
	}
	largest := bytes.Repeat([]byte("x"), reading.MaxValue)
	p.Publish("table", 3, largest)
	got, err := r.Get(t.Context(), "table")
	if err != nil || got.Version != 3 || !bytes.Equal(got.Body, largest) {
		t.Errorf("got version %d, %d bytes, error %v, want the largest value", got.Version, len(got.Body), err)
	}
	p.Publish("table", 2, []byte("older"))
	if got, _ := r.Get(t.Context(), "table"); got.Version != 3 {
		t.Errorf("got version %d after an older one was published, want 3", got.Version)
	}
	p.Restore("table", 2, []byte("backup"))
	if got, _ := r.Get(t.Context(), "table"); got.Version != 2 || string(got.Body) != "backup" {
		t.Errorf("got %d %q after a restore, want 2 backup", got.Version, got.Body)
	}
	p.Publish("table", 4, append(largest, 'x'))
	if _, err := r.Get(t.Context(), "table"); !errors.Is(err, reading.ErrTooLarge) {
		t.Errorf("got error %v, want ErrTooLarge", err)
	}
}

func TestReaderWatch(t *testing.T) {
	p := startPlatform(t)
	value, changed, err := newReader(p, 1).Watch(t.Context(), "table", 0)
	if err != nil || changed || value.Version != 0 {
		t.Errorf("got %v, %v, %v at the end of the wait, want nothing", value, changed, err)
	}
	done := watch(t.Context(), t, p, 4)
	p.Publish("table", 4, []byte("known"))
	p.Publish("table", 5, []byte("news"))
	if got := <-done; got.err != nil || !got.changed || got.value.Version != 5 || string(got.value.Body) != "news" {
		t.Errorf("got %+v, want version 5", got)
	}
	value, changed, err = newReader(p, 1).Watch(t.Context(), "table", 9)
	if err != nil || changed || value.Version != 5 {
		t.Errorf("got %v, %v, %v from a platform that is behind, want its version 5 and no change", value, changed, err)
	}
}

func TestReaderWatchEndsWithItsContext(t *testing.T) {
	for _, mode := range []standin.PlatformMode{standin.Up, standin.Slow, standin.Stale} {
		t.Run(string(mode), func(t *testing.T) {
			p := startPlatform(t)
			p.SetDelay(clock.Hour)
			p.SetMode(mode)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := watch(ctx, t, p, 0)
			p.Publish("table", 1, []byte("held back"))
			if mode == standin.Up {
				<-done
				done = watch(ctx, t, p, 1)
			}
			cancel()
			if got := <-done; !errors.Is(got.err, reading.ErrUnavailable) {
				t.Errorf("got %v, want ErrUnavailable", got.err)
			}
		})
	}
}

// The platform goes down for hours while nodes watch. The watches must end at
// once, and each read say that it is the platform that is away.
func TestReaderSeesAPlatformGoDown(t *testing.T) {
	p := startPlatform(t)
	p.Publish("table", 1, []byte("t"))
	done := watch(t.Context(), t, p, 1)
	p.SetMode(standin.Down)
	if got := <-done; !errors.Is(got.err, reading.ErrUnavailable) {
		t.Errorf("got %v, want ErrUnavailable", got.err)
	}
	r := newReader(p, clock.Second)
	if _, err := r.Get(t.Context(), "table"); !errors.Is(err, reading.ErrUnavailable) {
		t.Errorf("got error %v, want ErrUnavailable", err)
	}
	p.SetMode(standin.Up)
	if got, err := r.Get(t.Context(), "table"); err != nil || got.Version != 1 {
		t.Errorf("got %v, %v after it came back, want version 1", got, err)
	}
}

// A replica of the platform lags: it answers, with what it held. Readers see
// the old version until it catches up, and then the new one without asking anew.
func TestReaderSeesAStaleReplica(t *testing.T) {
	p := startPlatform(t)
	p.Publish("table", 1, []byte("old"))
	p.SetMode(standin.Stale)
	p.Publish("table", 2, []byte("new"))
	done := watch(t.Context(), t, p, 1)
	if got, err := newReader(p, 1).Get(t.Context(), "table"); err != nil || got.Version != 1 {
		t.Errorf("got %v, %v, want version 1", got, err)
	}
	p.SetMode(standin.Up)
	if got := <-done; got.value.Version != 2 {
		t.Errorf("got %+v, want version 2", got)
	}
}

// answerRaw answers the next connection with the bytes and closes it.
func answerRaw(t *testing.T, answer string) string {
	t.Helper()
	var config net.ListenConfig
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = conn.Write([]byte(answer))
	}()
	return ln.Addr().String()
}

func TestReaderTellsWrongAnswersApart(t *testing.T) {
	answer := func(status string, headers ...string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%s\r\n\r\nv", status, strings.Join(append(headers, "Content-Length: 1"), "\r\n"))
	}
	tests := []struct {
		name   string
		answer string
		want   error
	}{
		{"no version", answer("200 OK"), reading.ErrAnswer},
		{"version not a number", answer("200 OK", "Version: new"), reading.ErrAnswer},
		{"version zero", answer("200 OK", "Version: 0"), reading.ErrAnswer},
		{"version known already", answer("200 OK", "Version: 7"), reading.ErrAnswer},
		{"garbage", "what?\r\n\r\n", reading.ErrAnswer},
		{"endless header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 1<<16), reading.ErrAnswer},
		{"client error", answer("403 Forbidden"), reading.ErrAnswer},
		{"server error", answer("500 Internal Server Error"), reading.ErrUnavailable},
		{"closed", "", reading.ErrUnavailable},
		{"torn body", "HTTP/1.1 200 OK\r\nVersion: 8\r\nContent-Length: 9\r\n\r\nv", reading.ErrUnavailable},
		{"length over the bound", "HTTP/1.1 200 OK\r\nVersion: 8\r\nContent-Length: 1048577\r\n\r\n", reading.ErrTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := reading.New(reading.Config{Address: answerRaw(t, tt.answer), Timeout: clock.Minute})
			value, changed, err := r.Watch(t.Context(), "table", 7)
			if !errors.Is(err, tt.want) || changed || value.Body != nil {
				t.Errorf("got %v, %v, error %v, want %v and no value", value, changed, err, tt.want)
			}
		})
	}
}

func TestParseInstances(t *testing.T) {
	const (
		instance = "[[instance]]\nnode = \"10.0.0.1:7000\"\ndomain = \"palermo\"\nstate = \"live\"\n"
		one      = "version = 3\n" + instance
	)
	tests := []struct {
		name, body string
		nodes      int
		err        error
	}{
		{"empty", "version = 1", 0, nil},
		{"one", one, 1, nil},
		{"unknown key", one + "rack = 7\n", 1, nil},
		{"twice", one + instance, 0, reading.ErrInstances},
		{"name for an address", strings.Replace(one, "10.0.0.1", "node-1", 1), 0, reading.ErrInstances},
		{"no domain", strings.Replace(one, "palermo", "", 1), 0, reading.ErrInstances},
		{"unknown state", strings.Replace(one, "live", "asleep", 1), 0, reading.ErrInstances},
		{"no TOML", "<html>", 0, reading.ErrInstances},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := reading.ParseInstances([]byte(tt.body))
			if !errors.Is(err, tt.err) || len(got.List) != tt.nodes {
				t.Errorf("got %+v, error %v, want %d nodes, error %v", got, err, tt.nodes, tt.err)
			}
		})
	}
}

// FuzzParseInstances holds that no list crashes a node or names a node twice.
func FuzzParseInstances(f *testing.F) {
	f.Add([]byte("version = 3\n[[instance]]\nnode = \"10.0.0.1:7000\"\ndomain = \"palermo\"\nstate = \"live\"\n"))
	f.Add([]byte("version = -1\ninstance = 7"))
	f.Add([]byte("[[instance]]\n[instance.node]\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		list, err := reading.ParseInstances(body)
		if err != nil && !errors.Is(err, reading.ErrInstances) {
			t.Errorf("got error %v, want ErrInstances", err)
		}
		seen := make(map[string]bool)
		for _, instance := range list.List {
			if seen[instance.Node] {
				t.Errorf("got %s twice, want each node once", instance.Node)
			}
			seen[instance.Node] = true
		}
	})
}
