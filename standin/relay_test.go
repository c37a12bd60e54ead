package standin_test

import (
	"bufio"
	"net"
	"testing"

	"fuchsiapick.example/fuchsiapick/standin"
)

// startEcho accepts connections and sends back each line that it reads.
func startEcho(t *testing.T) string {
	t.Helper()
	var config net.ListenConfig
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go echo(conn)
		}
	}()
	return ln.Addr().String()
}

func echo(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := conn.Write([]byte(line)); err != nil {
			return
		}
	}
}

func startRelay(t *testing.T) *standin.Relay {
	t.Helper()
	r, err := standin.StartRelay(t.Context(), standin.RelayConfig{Address: "127.0.0.1:0", Target: startEcho(t)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// line is one connection through a relay to the echo.
type line struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func dial(t *testing.T, r *standin.Relay) *line {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &line{t: t, conn: conn, r: bufio.NewReader(conn)}
}

func (l *line) send(text string) {
	l.t.Helper()
	if _, err := l.conn.Write([]byte(text + "\n")); err != nil {
		l.t.Fatal(err)
	}
}

func (l *line) hear(want string) {
	l.t.Helper()
	got, err := l.r.ReadString('\n')
	if err != nil || got != want+"\n" {
		l.t.Errorf("got %q and error %v, want %q", got, err, want)
	}
}

func awaitRelay(t *testing.T, r *standin.Relay, reached func(standin.RelayStats) bool) {
	t.Helper()
	if err := r.Await(t.Context(), reached); err != nil {
		t.Fatal(err)
	}
}

// One direction of a link is cut, or what lies between forgets the connection,
// and then all is well again. Bytes that were lost leave a gap, so that the old
// connection must stay silent for good while new ones work: TCP hands on no
// stream with a gap, and a test would chase a corruption that can't happen.
func TestRelayLosesForGood(t *testing.T) {
	for _, mode := range []standin.RelayMode{standin.DropToTarget, standin.DropFromTarget, standin.BlackholeOpen} {
		t.Run(string(mode), func(t *testing.T) {
			r := startRelay(t)
			old := dial(t, r)
			old.send("one")
			old.hear("one")
			r.SetMode(mode)
			old.send("gone")
			awaitRelay(t, r, func(s standin.RelayStats) bool { return s.Lost == 5 })
			if mode != standin.BlackholeOpen {
				r.SetMode(standin.Pass)
			}
			fresh := dial(t, r)
			fresh.send("two")
			fresh.hear("two")
			r.SetMode(standin.Pass)
			old.send("gone")
			awaitRelay(t, r, func(s standin.RelayStats) bool { return s.Lost == 10 })
		})
	}
}

// A link freezes with a frame in it and thaws: the frame arrives late, whole,
// and in order. This is what wakes stragglers.
func TestRelayFreezeDeliversLate(t *testing.T) {
	r := startRelay(t)
	l := dial(t, r)
	l.send("one")
	l.hear("one")
	awaitRelay(t, r, func(s standin.RelayStats) bool { return s.Passed == 8 })
	r.SetMode(standin.Freeze)
	l.send("late")
	awaitRelay(t, r, func(s standin.RelayStats) bool { return s.Held == 1 })
	waiting := dial(t, r)
	waiting.send("held")
	if got := r.Stats(); got.Passed != 8 || got.Lost != 0 || got.Opened != 1 {
		t.Errorf("got %+v while frozen, want 8 bytes passed on one connection", got)
	}
	r.SetMode(standin.Pass)
	l.hear("late")
	waiting.hear("held")
}

func TestRelayRefuseResetsOldAndNew(t *testing.T) {
	r := startRelay(t)
	old := dial(t, r)
	old.send("one")
	old.hear("one")
	r.SetMode(standin.Refuse)
	if _, err := old.r.ReadByte(); err == nil {
		t.Error("got a byte on the old connection, want an error")
	}
	var dialer net.Dialer
	if conn, err := dialer.DialContext(t.Context(), "tcp", r.Address()); err == nil {
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("got a byte on a new connection, want an error")
		}
	}
	r.SetMode(standin.Pass)
	fresh := dial(t, r)
	fresh.send("two")
	fresh.hear("two")
}

func TestRelayHandsOnAClose(t *testing.T) {
	r := startRelay(t)
	l := dial(t, r)
	l.send("one")
	if err := l.conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	l.hear("one")
	if _, err := l.r.ReadByte(); err == nil {
		t.Error("got a byte, want the end")
	}
}
