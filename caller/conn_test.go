package caller_test

import (
	"io"
	"net"
	"testing"
	"time"

	"fuchsiapick.example/fuchsiapick/caller"
)

// pair returns both ends of a connection over loopback, the accepted one watched.
func pair(t *testing.T) (*caller.Conn, net.Conn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := caller.Listener{Listener: inner}
	t.Cleanup(func() { _ = listener.Close() })
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	conn, ok := accepted.(*caller.Conn)
	if !ok {
		t.Fatalf("got %T, want a watched connection", accepted)
	}
	return conn, client
}

// A site manager closes the page while the roster is being made. Nobody waits
// for it any more, and it holds one of three slots for another second.
func TestWatchTellsOfACallerThatLeaves(t *testing.T) {
	conn, client := pair(t)
	gone := make(chan struct{})
	stop := conn.Watch(func() { close(gone) })
	_ = client.Close()
	<-gone
	stop()
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("got no error of a read after the caller left, want one")
	}
}

// A roster of a whole season takes longer to make than a caller may take to send a
// request. The library's bound on that ended the watch, and the roster was made to the
// end though the site manager had closed the page.
func TestWatchOutlastsTheBoundOnReads(t *testing.T) {
	conn, client := pair(t)
	if err := conn.SetReadDeadline(time.Now()); err != nil {
		t.Fatal(err)
	}
	gone := make(chan struct{})
	stop := conn.Watch(func() { close(gone) })
	defer stop()
	_ = client.Close()
	<-gone
}

// A caller sends its next requests before the first is answered. What the watch
// reads of them must reach the reader whole and in order, or one caller's
// request is taken for the rest of another.
func TestWatchKeepsWhatComesAhead(t *testing.T) {
	conn, client := pair(t)
	for round := range 3 {
		stop := conn.Watch(func() { t.Error("got a caller that left, want none") })
		if _, err := client.Write([]byte("GET /second")); err != nil {
			t.Fatal(err)
		}
		stop()
		if _, err := client.Write([]byte(" and third")); err != nil {
			t.Fatal(err)
		}
		got := make([]byte, len("GET /second and third"))
		if _, err := io.ReadFull(conn, got); err != nil || string(got) != "GET /second and third" {
			t.Fatalf("round %d: got %q and %v, want both parts", round, got, err)
		}
	}
}

// A watch that ends must leave the connection fit for the next request.
func TestStoppedWatchLeavesNoDeadline(t *testing.T) {
	conn, client := pair(t)
	conn.Watch(func() {})()
	done := make(chan error, 1)
	go func() {
		_, err := conn.Read(make([]byte, 4))
		done <- err
	}()
	if _, err := client.Write([]byte("next")); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Errorf("got %v, want the next request read", err)
	}
}

// A caller sends two requests, and closes the connection while the first is handled.
// The second is read from what came ahead; nobody waits for it either, and it must
// not be sent to an upstream.
func TestWatchTellsOfACallerThatLeftBefore(t *testing.T) {
	conn, client := pair(t)
	gone := make(chan struct{})
	stop := conn.Watch(func() { close(gone) })
	if _, err := client.Write([]byte("second")); err != nil {
		t.Fatal(err)
	}
	_ = client.Close()
	<-gone
	stop()
	if _, err := io.ReadFull(conn, make([]byte, len("second"))); err != nil {
		t.Fatal(err)
	}
	again := false
	conn.Watch(func() { again = true })()
	if !again {
		t.Error("got no word of a caller that had left, want it at once")
	}
}
