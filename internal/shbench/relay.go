package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"regexp"
	"strconv"
	"time"

	"sequoiahollow/state/shmodel"
)

const (
	// relayedPorts is the distance from the port of a relay to that of what it
	// relays to.
	relayedPorts = 1000
	relayBuffer  = 64 << 10
	// relayQueue bounds the pieces of data on their way, in one direction.
	relayQueue = 1024
	// handshakes is the one-way delays that the first data of a connection is
	// late by: the handshake of TCP takes a round trip before it, which the
	// relay completes at once.
	handshakes = 3
)

// behindRelay returns where a process listens whose advertised address is that
// of a relay.
func behindRelay(address string) string {
	host, port, err := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(n+relayedPorts))
}

// route is the one-way delay of a connection and the daemons at its ends, whose
// bytes are counted.
type route struct {
	delay time.Duration
	ends  []*vm
}

// source finds out where a connection comes from. It returns what it has read.
type source func(net.Conn) (head []byte, r route)

// relay passes connections to address on to the process behind it, with a
// delay in both directions. It ends with the listener.
func relay(address string, from source) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go passOn(c, behindRelay(address), from)
		}
	}()
	return l, nil
}

func passOn(client net.Conn, address string, from source) {
	accepted := time.Now()
	server, err := net.Dial("tcp", address)
	if err != nil {
		_ = client.Close()
		return
	}
	head, r := from(client)
	go pump(client, server, r, time.Time{})
	pump(server, io.MultiReader(bytes.NewReader(head), client), r, accepted.Add(handshakes*r.delay))
}

// piece is data that is due at a time. Nil data ends the connection.
type piece struct {
	data []byte
	due  time.Time
}

// pump copies until the source ends; nothing arrives before first.
func pump(target net.Conn, from io.Reader, r route, first time.Time) {
	queue := make(chan piece, relayQueue)
	go deliver(target, queue)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		due := time.Now().Add(r.delay)
		for _, v := range r.ends {
			v.bytes.Add(int64(n))
		}
		if due.Before(first) {
			due = first
		}
		if n > 0 {
			queue <- piece{bytes.Clone(buffer[:n]), due}
		}
		if err != nil {
			queue <- piece{nil, due}
			return
		}
	}
}

func deliver(target net.Conn, queue chan piece) {
	failed := false
	for p := range queue {
		time.Sleep(time.Until(p.due))
		if p.data == nil {
			_ = target.Close()
			return
		}
		if failed {
			continue
		}
		_, err := target.Write(p.data)
		failed = err != nil
	}
}

// fixed is the source of connections that all have one delay.
func fixed(delay time.Duration) source {
	return func(net.Conn) ([]byte, route) { return nil, route{delay: delay} }
}

// peerSource reads up to the ping in which a jsonrpc2 client states its address.
func (d *deployment) peerSource(to *vm) source {
	return func(c net.Conn) ([]byte, route) {
		var head []byte
		for {
			frame := make([]byte, 4)
			if _, err := io.ReadFull(c, frame); err != nil {
				return head, route{}
			}
			size := binary.BigEndian.Uint32(frame)
			frame = append(frame, make([]byte, size)...)
			if _, err := io.ReadFull(c, frame[4:]); err != nil {
				return head, route{}
			}
			head = append(head, frame...)
			var m struct {
				Method string
				Params struct{ Address string }
			}
			if json.Unmarshal(frame[4:], &m) == nil && m.Method == "peer.ping" {
				from := d.byAddress[m.Params.Address]
				if from == nil || from == to {
					return head, route{}
				}
				return head, route{d.delay(from.settings.Place(), to.settings.Place()), []*vm{from, to}}
			}
		}
	}
}

var forwardHeader = regexp.MustCompile(`(?i)Sequoiahollow-Forward: (\S+)\r\n`)

// serverSource reads the region of a forwarded request, of which the failure
// domain is not known; it is taken for another one. Backend servers announce to
// an owner in their own failure domain.
func (d *deployment) serverSource(to *vm) source {
	return func(c net.Conn) ([]byte, route) {
		head, err := readHead(c)
		x := forwardHeader.FindSubmatch(head)
		if err != nil || x == nil {
			return head, route{ends: []*vm{to}}
		}
		var f struct {
			From shmodel.Region `json:"from"`
		}
		data, _ := base64.StdEncoding.DecodeString(string(x[1]))
		if json.Unmarshal(data, &f) != nil {
			return head, route{}
		}
		return head, route{delay: d.delay(shmodel.Place{Region: f.From}, to.settings.Place())}
	}
}

// readHead reads up to the end of the header of an HTTP request.
func readHead(c net.Conn) ([]byte, error) {
	head := make([]byte, 0, relayBuffer)
	for !bytes.Contains(head, []byte("\r\n\r\n")) {
		if len(head) == cap(head) {
			return head, errors.New("header too long")
		}
		n, err := c.Read(head[len(head):cap(head)])
		head = head[:len(head)+n]
		if err != nil {
			return head, err
		}
	}
	return head, nil
}
