package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// result is what a client got for one request.
type result struct {
	ID, Node, Method, Path string
	Sent, Answered         time.Time
	// Status is 0 if the connection ended without a complete answer; Problem says how.
	Status  int
	Body    string
	Seal    string
	EchoID  string
	Problem string
}

// results collects the results of all clients.
type results struct {
	mu  sync.Mutex
	all []result
}

func (r *results) add(one result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, one)
}

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// client keeps a connection open for many requests, as PROTOCOL.md tells.
type client struct {
	node   *node
	conn   net.Conn
	reader *bufio.Reader
}

// send sends one request and waits for the answer. A new connection is opened where the last one
// has ended.
func (c *client) send(method, host, path string, body []byte, limit time.Duration) result {
	one := result{ID: newID(), Node: c.node.name, Method: method, Path: path}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.node.caller, time.Second)
		if err != nil {
			one.Problem = "not connected"
			return one
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nFuchsiapick-Request-Id: %s\r\nFuchsiapick-Deadline-Ms: %d\r\n", method, path, host, one.ID, limit.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	one.Sent = time.Now()
	_ = c.conn.SetDeadline(one.Sent.Add(limit))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		return c.fail(one, err)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return c.fail(one, err)
	}
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return c.fail(one, err)
	}
	one.Answered, one.Status, one.Body = time.Now(), response.StatusCode, string(text)
	one.Seal, one.EchoID = response.Header.Get("Fuchsiapick-Response-Seal"), response.Header.Get("Fuchsiapick-Request-Id")
	if response.Close {
		c.close()
	}
	return one
}

func (c *client) fail(one result, err error) result {
	one.Answered, one.Problem = time.Now(), err.Error()
	c.close()
	return one
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
