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
	// relayPortOffset is added to the port of a relay to get the port of the
	// process behind it.
	relayPortOffset = 1000
	relayBuffer     = 64 << 10
	// relayQueue bounds the delayed chunks of a connection in one direction.
	relayQueue = 1024
	// handshakeDelays is the delay of the first data of a connection, in one-way
	// delays: one for the data, and two for the round trip of the TCP handshake
	// before it, which the relay completes at once.
	handshakeDelays = 3
)

// behindRelay returns the address at which a process listens whose advertised
// address is that of a relay.
func behindRelay(address string) string {
	host, port, err := net.SplitHostPort(address)
	n, _ := strconv.Atoi(port)
	if err != nil {
		return address
	}
	return net.JoinHostPort(host, strconv.Itoa(n+relayPortOffset))
}

// route is the one-way delay of a connection and the daemons at its ends that
// count its bytes.
type route struct {
	delay   time.Duration
	daemons []*vm
}

// routeFinder finds the route of a connection from its first data. It returns the
// data that it has read, which must be passed on.
type routeFinder func(net.Conn) (head []byte, r route)

// relay forwards connections to address to the process behind it, with a delay
// in both directions. It accepts connections until the listener is closed.
func relay(address string, findRoute routeFinder) (net.Listener, error) {
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
			go relayConnection(c, behindRelay(address), findRoute)
		}
	}()
	return l, nil
}

func relayConnection(client net.Conn, address string, findRoute routeFinder) {
	accepted := time.Now()
	server, err := net.Dial("tcp", address)
	if err != nil {
		_ = client.Close()
		return
	}
	head, r := findRoute(client)
	go copyDelayed(client, server, r, time.Time{})
	copyDelayed(server, io.MultiReader(bytes.NewReader(head), client), r, accepted.Add(handshakeDelays*r.delay))
}

// chunk is data to write at the time due. Nil data closes the connection.
type chunk struct {
	data []byte
	due  time.Time
}

// copyDelayed copies data to target until from ends, with the delay of the route.
// No data is written before earliest.
func copyDelayed(target net.Conn, from io.Reader, r route, earliest time.Time) {
	queue := make(chan chunk, relayQueue)
	go writeDelayed(target, queue)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		due := time.Now().Add(r.delay)
		for _, v := range r.daemons {
			v.peerBytes.Add(int64(n))
		}
		if due.Before(earliest) {
			due = earliest
		}
		if n > 0 {
			queue <- chunk{bytes.Clone(buffer[:n]), due}
		}
		if err != nil {
			queue <- chunk{nil, due}
			return
		}
	}
}

func writeDelayed(target net.Conn, queue chan chunk) {
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

// fixedDelay returns a routeFinder that gives all connections the same delay.
func fixedDelay(delay time.Duration) routeFinder {
	return func(net.Conn) ([]byte, route) { return nil, route{delay: delay} }
}

// findPeerRoute reads up to the ping in which a jsonrpc2 client states its
// address.
func (d *deployment) findPeerRoute(to *vm) routeFinder {
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

// findServerRoute reads the region that a forwarded request comes from. The
// failure domain of the sending VM is not known and assumed to differ from that
// of the receiving VM. Other connections carry announcements and have no delay:
// backend servers announce to an owner in their own failure domain.
func (d *deployment) findServerRoute(to *vm) routeFinder {
	return func(c net.Conn) ([]byte, route) {
		head, err := readHead(c)
		x := forwardHeader.FindSubmatch(head)
		if err != nil || x == nil {
			return head, route{daemons: []*vm{to}}
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
