package caller_test

import (
	"io"
	"testing"
	"time"
)

// Guards against an answer that a caller never sees: the connection is closed while the caller still
// sends, and the reset for the unread bytes overtakes the answer.
func TestAnswerSurvivesTheCloseOfALingeringConnection(t *testing.T) {
	conn, client := connPair(t)
	const unread = 1 << 20
	if err := client.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Write(make([]byte, unread/16)); err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write([]byte("refused")); err != nil {
		t.Fatal(err)
	}
	conn.Linger()
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Write(make([]byte, unread)); err != nil {
		t.Fatalf("got %v after the close, want the rest of the request taken", err)
	}
	got, err := io.ReadAll(client)
	if err != nil || string(got) != "refused" {
		t.Errorf("got %q and %v, want the whole answer and the end of the connection", got, err)
	}
}
