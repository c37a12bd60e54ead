package standin_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/standin"
)

// startEcho starts a server that sends back each line it reads, and returns its address.
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

// relayClient is a connection through a relay to the echo server.
type relayClient struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func dial(t *testing.T, r *standin.Relay) *relayClient {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &relayClient{t: t, conn: conn, r: bufio.NewReader(conn)}
}

func (l *relayClient) sendLine(text string) {
	l.t.Helper()
	if _, err := l.conn.Write([]byte(text + "\n")); err != nil {
		l.t.Fatal(err)
	}
}

func (l *relayClient) expectLine(want string) {
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

// A connection that has lost bytes must stay silent after the mode is Pass again, while new
// connections work. TCP never delivers a stream with a gap: if the relay did, tests would
// see a corruption that can't happen in a real network.
func TestRelayNeverResumesAfterLoss(t *testing.T) {
	for _, mode := range []standin.RelayMode{standin.DropToTarget, standin.DropFromTarget, standin.BlackholeOpen} {
		t.Run(string(mode), func(t *testing.T) {
			r := startRelay(t)
			old := dial(t, r)
			old.sendLine("one")
			old.expectLine("one")
			r.SetMode(mode)
			old.sendLine("gone")
			awaitRelay(t, r, func(s standin.RelayStats) bool { return s.Lost == 5 })
			if mode != standin.BlackholeOpen {
				r.SetMode(standin.Pass)
			}
			fresh := dial(t, r)
			fresh.sendLine("two")
			fresh.expectLine("two")
			r.SetMode(standin.Pass)
			old.sendLine("gone")
			awaitRelay(t, r, func(s standin.RelayStats) bool { return s.Lost == 10 })
		})
	}
}

// Bytes in transit when the relay freezes must arrive once it passes again, complete and in
// order. Tests of late messages depend on this.
func TestRelayFreezeDeliversLate(t *testing.T) {
	r := startRelay(t)
	l := dial(t, r)
	l.sendLine("one")
	l.expectLine("one")
	awaitRelay(t, r, func(s standin.RelayStats) bool { return s.Passed == 8 })
	r.SetMode(standin.Freeze)
	l.sendLine("late")
	awaitRelay(t, r, func(s standin.RelayStats) bool { return s.Held == 1 })
	waiting := dial(t, r)
	waiting.sendLine("held")
	if got := r.Stats(); got.Passed != 8 || got.Lost != 0 || got.Opened != 1 {
		t.Errorf("got %+v while frozen, want 8 bytes passed on one connection", got)
	}
	r.SetMode(standin.Pass)
	l.expectLine("late")
	waiting.expectLine("held")
}

func TestRelayRefuseResetsOldAndNew(t *testing.T) {
	r := startRelay(t)
	old := dial(t, r)
	old.sendLine("one")
	old.expectLine("one")
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
	fresh.sendLine("two")
	fresh.expectLine("two")
}

func TestRelayForwardsClose(t *testing.T) {
	r := startRelay(t)
	l := dial(t, r)
	l.sendLine("one")
	if err := l.conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	l.expectLine("one")
	if _, err := l.r.ReadByte(); err == nil {
		t.Error("got a byte, want the end")
	}
}

// Guards against tests of late messages that test nothing: bytes must arrive, in order, and not
// before their delay, also those that were sent when the mode had ended.
func TestLateRelayDelaysAndKeepsOrder(t *testing.T) {
	r := startRelay(t)
	client := dial(t, r)
	client.sendLine("first")
	client.expectLine("first")
	r.SetMode(standin.Late)
	began := time.Now()
	client.sendLine("second")
	awaitRelay(t, r, func(s standin.RelayStats) bool { return s.Held == 1 })
	r.SetMode(standin.Pass)
	client.sendLine("third")
	client.expectLine("second")
	if got := time.Since(began); got < standin.LateDelay {
		t.Errorf("got the answer after %v, want %v at least", got, standin.LateDelay)
	}
	client.expectLine("third")
}
