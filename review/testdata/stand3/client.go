package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the ID of a new client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2000000+lastID.Add(1)) }

// reply is what a client has seen. Status is 0 without a complete answer.
type reply struct {
	id         string
	status     int
	signature  string
	retryAfter string
	body       string
	err        error
}

// ask sends one request on a connection of its own.
func ask(address, host, method, path, id, body string, timeout time.Duration) reply {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{id: id, err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeout))
	length := ""
	if body != "" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n%s", method, path, host, id, timeout.Milliseconds(), length, body)
	return readReply(bufio.NewReader(c), id, method)
}

func readReply(r *bufio.Reader, id, method string) reply {
	a, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return reply{id: id, err: err}
	}
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return reply{id: id, err: err}
	}
	return reply{id: id, status: a.StatusCode, signature: a.Header.Get("X-Server-Signature"), retryAfter: a.Header.Get("Retry-After"), body: string(text)}
}
