package cmd_test

import (
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// strangerTexts are what programs that take a node's port for another service may send.
func strangerTexts() []string {
	return []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /conferme/x HTTP/1.1\r\nHost: a\r\nContent-Length: 9223372036854775807\r\n\r\nxyz",
		"POST /conferme/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nabc\r\n0\r\n\r\n",
		"POST /conferme/x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
		"GET /link HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nFuchsiapick-Last-Kind: 255\r\n\r\n\x82\xff\x7f\xff\xff\xff\xff\xff\xff\xff\x00\x00\x00\x00\x02\xa0",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x06\x04\x00\x00\x00\x00\x00\x00\x02\x00\x00\x00\x00",
		"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
		"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", "GET /report?service=%00 HTTP/1.1\r\nHost: a\r\n\r\n", "GET /quarantine HTTP/1.0\r\n\r\n",
	}
}

const (
	// maxGarbage is the maximum number of random bytes that replace a text or follow it.
	maxGarbage = 2000
	// garbageTimeout bounds the writing of one text.
	garbageTimeout = time.Second
)

// sendGarbage implements "garbage SEED COUNT ADDRESS...": it opens COUNT connections to each
// address, and sends a text of a stranger on each: changed, cut, or random bytes.
func sendGarbage(ts *testscript.TestScript, _ bool, args []string) {
	seed, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	random := rand.New(rand.NewPCG(seed, 11))
	for range count {
		for _, address := range args[2:] {
			conn, err := net.DialTimeout("tcp", address, waitTimeout)
			ts.Check(err)
			ts.Check(conn.SetDeadline(time.Now().Add(garbageTimeout)))
			_, _ = conn.Write(drawGarbage(random)) // the node may have closed the connection
			if tcp, ok := conn.(*net.TCPConn); ok && random.IntN(2) == 0 {
				ts.Check(tcp.SetLinger(0))
			}
			ts.Check(conn.Close())
		}
	}
}

func drawGarbage(random *rand.Rand) []byte {
	texts := strangerTexts()
	text := []byte(texts[random.IntN(len(texts))])
	switch random.IntN(5) {
	case 0:
		text = randomBytes(random)
	case 1:
		text = append(text, randomBytes(random)...)
	case 2:
		text = text[:random.IntN(len(text))]
	case 3:
		for range 1 + random.IntN(4) {
			text[random.IntN(len(text))] = byte(random.Uint32())
		}
	}
	return text
}

func randomBytes(random *rand.Rand) []byte {
	b := make([]byte, random.IntN(maxGarbage))
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}
