package cmd_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/valyala/fasthttp"
)

const (
	// dripInterval is the time between two bytes of an endless answer that is dripped.
	dripInterval = 20 * time.Millisecond
	// endlessPiece is the size in bytes of one write of an endless answer at full speed.
	endlessPiece = 64 << 10
)

// endlessAnswer begins with a text, and goes on with another one until its connection ends.
type endlessAnswer struct {
	begin, repeat string
}

// endlessAnswers returns the answers by the place that has no end.
func endlessAnswers() map[string]endlessAnswer {
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	return map[string]endlessAnswer{
		"noise":     {"", "\x00"},
		"head":      {"HTTP/1.1 200 OK\r\nX: ", "v"},
		"fields":    {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"interim":   {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"size":      {chunks, "0"},
		"extension": {chunks + "1;x=", "y"},
		"chunks":    {chunks, "40\r\n" + strings.Repeat("v", 0x40) + "\r\n"},
		"chunk":     {chunks + "7fffffff\r\n", "v"},
		"trailer":   {chunks + "0\r\nX: ", "v"},
		"body":      {"HTTP/1.1 200 OK\r\n\r\n", "v"},
	}
}

// serveEndless implements "endless ADDRESS": it starts a backend server there that answers requests for
// /SERVICE/PLACE-full/... and /SERVICE/PLACE-drip/... without end, at full speed or byte by byte.
func serveEndless(ts *testscript.TestScript, _ bool, args []string) {
	l, err := net.Listen("tcp", args[0])
	ts.Check(err)
	ts.Defer(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go writeEndless(conn)
		}
	}()
}

func writeEndless(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	place, pace, _ := strings.Cut(strings.Split(request.URL.Path, "/")[2], "-")
	answer, ok := endlessAnswers()[place]
	if !ok {
		return
	}
	if pace == "full" {
		piece := []byte(strings.Repeat(answer.repeat, endlessPiece/len(answer.repeat)))
		for _, err = conn.Write([]byte(answer.begin)); err == nil; {
			_, err = conn.Write(piece)
		}
		return
	}
	ticker := time.NewTicker(dripInterval)
	defer ticker.Stop()
	text := answer.begin + answer.repeat
	for i := 0; err == nil; i++ {
		if i == len(text) {
			i -= len(answer.repeat)
		}
		_, err = conn.Write([]byte{text[i]})
		<-ticker.C
	}
}

// beginEndless implements "flow NAME COUNT METHOD PACE URL...": it sends, in the background, requests for each
// kind of endless answer at each URL, COUNT at a time of each.
func beginEndless(ts *testscript.TestScript, neg bool, args []string) {
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	urls := make([]string, 0, len(endlessAnswers())*len(args[4:]))
	for place := range endlessAnswers() {
		for _, url := range args[4:] {
			urls = append(urls, url+"/"+place+"-"+args[3])
		}
	}
	beginLoad(ts, neg, append([]string{args[0], strconv.Itoa(count * len(urls)), args[2]}, urls...))
}

// sysBytes is the memory that the Go runtime of a node has taken from the system, most of which it keeps. It
// leaves out what the race detector adds.
var sysBytes = regexp.MustCompile(`(?m)^go_memstats_sys_bytes (\S+)$`)

// checkPeak implements "peak BYTES NODE...": it fails if a node has ever had more memory than that.
func checkPeak(ts *testscript.TestScript, _ bool, args []string) {
	bound, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	for _, name := range args[1:] {
		_, body, err := fasthttp.GetTimeout(nil, "http://"+ts.Getenv("A_"+name)+"/metrics", waitTimeout)
		ts.Check(err)
		match := sysBytes.FindSubmatch(body)
		if match == nil {
			ts.Fatalf("%s: got no metric of its memory", name)
		}
		peak, err := strconv.ParseFloat(string(match[1]), 64)
		ts.Check(err)
		fmt.Fprintf(ts.Stdout(), "%s peak=%.0f\n", name, peak)
		if peak > bound {
			ts.Fatalf("%s: got %.0f bytes of memory, want at most %.0f", name, peak, bound)
		}
	}
}
