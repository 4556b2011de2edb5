package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	linkDelay  = 3 * time.Millisecond // to clients, at leadlight-gslb
	linkWindow = 4096                 // bytes
)

// pipelineCase stops an entry daemon by SIGTERM while clients keep lookups in
// progress on kept connections, some sent before the one ahead is answered.
func pipelineCase(x *run) int {
	f := x.startFleet(3, 2)
	routes := []route{{"view", "shop.example", "/view/", "safe", "proofroom", 0.4, 1.5, 2, false}}
	if !f.order(0, 15*time.Second, http.MethodPut, "/config", desiredState(1, 0, []string{"proofroom"}, routes)) {
		return couldNot
	}
	var backends []*backend
	for i, zone := range zoneOrder {
		backends = append(backends, f.startBackend("proofroom", fmt.Sprintf("i-%d", i+1), zone, 9, 9000, 150*time.Millisecond))
	}
	f.waitReady()
	stopped := f.entries[0]
	link := f.startLink(stopped.address(frontPort))
	var ended, lost atomic.Int32
	var termAt atomic.Pointer[time.Time]
	var clients sync.WaitGroup
	for i := range 8 {
		clients.Go(func() {
			c := pipelineClient{run: x, address: link, backends: backends, name: fmt.Sprint("client ", i), pause: time.Duration(40+5*i) * time.Millisecond}
			c.play(func() bool { return termAt.Load() != nil }, &ended, &lost)
		})
		time.Sleep(13 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if x.trouble {
		now := time.Now()
		x.say("platform sends SIGTERM to %s", stopped.name)
		termAt.Store(&now)
		stopped.terminate(f.grace)
		<-stopped.done()
		x.say("%s has ended", stopped.name)
	} else {
		time.Sleep(3 * time.Second)
		now := time.Now()
		termAt.Store(&now)
	}
	clients.Wait()
	x.say("complete answers: %d; requests that a backend server ran, whose answer was cut off: %d", ended.Load(), lost.Load())
	switch {
	case lost.Load() > 0:
		return broken
	case ended.Load() < 20:
		return couldNot
	}
	return held
}

// pipelineClient sends two lookups at a time on a kept connection, the second one
// before the first is answered.
type pipelineClient struct {
	run      *run
	address  string
	backends []*backend
	name     string
	// pause is the time between the two.
	pause time.Duration
}

// play sends lookups until the daemon closes the connection, or until the end of
// the time that a client keeps an address after the last answer of the directory.
func (c *pipelineClient) play(stopping func() bool, ended, lost *atomic.Int32) {
	conn, err := net.Dial("tcp", c.address)
	must(err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for rounds := 0; rounds < 3; {
		if stopping() {
			rounds++
		}
		first, second := newRequestID(), newRequestID()
		if c.send(conn, first) != nil {
			return
		}
		time.Sleep(c.pause)
		sent := c.send(conn, second) == nil
		for i, id := range []string{first, second} {
			closing, err := c.read(reader, id)
			if err != nil {
				if i == 0 && c.ran(id) {
					lost.Add(1)
					c.run.say("%s: LOST %s: a backend server ran it, its answer was cut off: %v", c.name, id, err)
				} else {
					c.run.say("%s: %s without an answer: %v", c.name, id, err)
				}
				return
			}
			ended.Add(1)
			if closing || !sent {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *pipelineClient) ran(id string) bool {
	for _, b := range c.backends {
		if _, ok := b.runs.Load(id); ok {
			return true
		}
	}
	return false
}

func (c *pipelineClient) send(conn net.Conn, id string) error {
	c.run.say("%s sends %s", c.name, id)
	_, err := fmt.Fprintf(conn, "GET /view/%s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2500\r\n\r\n", id, id)
	return err
}

// read reads one answer. It reports whether the daemon closes the connection after
// it.
func (c *pipelineClient) read(reader *bufio.Reader, id string) (closing bool, err error) {
	answer, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, err
	}
	defer func() { _ = answer.Body.Close() }()
	n, err := io.Copy(io.Discard, answer.Body)
	if err != nil {
		return false, fmt.Errorf("status %d, %d of %d bytes: %w", answer.StatusCode, n, answer.ContentLength, err)
	}
	c.run.say("%s: %s gets %d, %d bytes, close %v", c.name, id, answer.StatusCode, n, answer.Close)
	return answer.Close, nil
}

// startLink starts a proxy that acts as the link between clients and a daemon: it
// has a delay and a small window. It returns its address.
func (f *fleet) startLink(target string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go func() {
		<-f.stopping
		_ = l.Close()
	}()
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
				var optionErr error
				err := raw.Control(func(fd uintptr) {
					optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindow)
				})
				return errors.Join(err, optionErr)
			}}
			server, err := d.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			go carry(server.(*net.TCPConn), client.(*net.TCPConn))
			go carry(client.(*net.TCPConn), server.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// carry moves bytes one way, linkDelay after they came. It passes on the end of the
// stream or a reset.
func carry(to, from *net.TCPConn) {
	piece := make([]byte, linkWindow)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			time.Sleep(linkDelay)
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
