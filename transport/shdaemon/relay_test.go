package shdaemon

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"regexp"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
)

// endpoint is one end of a relayed connection. The vm is empty for HTTP
// clients, of which only the region is known.
type endpoint struct {
	vm     shmodel.VM
	region shmodel.Region
}

// network is the relays of a deployment. Connections in a blocked direction
// stay open, and what was sent on them is delivered when the fault is removed.
type network struct {
	// endpoints has the VM of each peer address.
	endpoints map[string]endpoint
	done      chan struct{}

	mu      sync.Mutex
	blocked func(from, to endpoint) bool
	delay   time.Duration
	// opened is the number of connections so far. Connections are numbered from 1;
	// those numbered up to silent deliver nothing any more.
	opened, silent int
	// forwarded and control count the bytes of HTTP and of peer messages from one
	// region to another.
	forwarded, control map[[2]shmodel.Region]int64
}

// count adds to the bytes between two regions. Both VMs are known for peer
// messages only.
func (n *network) count(from, to endpoint, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := [2]shmodel.Region{from.region, to.region}
	if n.forwarded == nil {
		n.forwarded, n.control = map[[2]shmodel.Region]int64{}, map[[2]shmodel.Region]int64{}
	}
	if from.vm == "" || to.vm == "" {
		n.forwarded[link] += int64(bytes)
		return
	}
	n.control[link] += int64(bytes)
}

// resetCounts sets the counts to 0.
func (n *network) resetCounts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forwarded, n.control = nil, nil
}

// counts returns the bytes from one region to another since the last reset.
func (n *network) counts(from, to shmodel.Region) (forwarded, control int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := [2]shmodel.Region{from, to}
	return n.forwarded[link], n.control[link]
}

// block sets the directions that are blocked; nil unblocks all.
func (n *network) block(blocked func(from, to endpoint) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = blocked
}

// across selects the directions into and out of a set of endpoints.
func across(inside func(endpoint) bool) func(from, to endpoint) bool {
	return func(from, to endpoint) bool { return inside(from) != inside(to) }
}

// setDelay delays each piece of data.
func (n *network) setDelay(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = d
}

// silenceOpenConnections makes the connections that are open now deliver
// nothing any more. They stay open.
func (n *network) silenceOpenConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = n.opened
}

// awaitDelivery waits until a piece of data may be delivered. It returns false
// at the end of the test.
func (n *network) awaitDelivery(connection int, from, to endpoint) bool {
	n.mu.Lock()
	pause := n.delay
	n.mu.Unlock()
	for {
		select {
		case <-n.done:
			return false
		case <-time.After(pause):
		}
		n.mu.Lock()
		blocked := connection <= n.silent || n.blocked != nil && n.blocked(from, to)
		n.mu.Unlock()
		if !blocked {
			return true
		}
		pause = 5 * time.Millisecond
	}
}

// relay accepts connections at the advertised address of a VM until the test
// ends. The source function reads from a connection until it knows the other
// end, and returns what it read.
func (n *network) relay(t *testing.T, address string, to endpoint, source func(net.Conn) ([]byte, endpoint)) {
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				head, from := source(client)
				server, err := net.Dial("tcp", addressBehindRelay(address))
				if err != nil {
					_ = client.Close()
					return
				}
				n.mu.Lock()
				n.opened++
				number := n.opened
				n.mu.Unlock()
				go n.pump(number, client, server, to, from)
				n.pump(number, server, io.MultiReader(bytes.NewReader(head), client), from, to)
			}()
		}
	}()
}

func (n *network) pump(number int, target net.Conn, source io.Reader, from, to endpoint) {
	buffer := make([]byte, 64<<10)
	for {
		count, err := source.Read(buffer)
		if !n.awaitDelivery(number, from, to) || err != nil {
			_ = target.Close()
			return
		}
		n.count(from, to, count)
		if _, err := target.Write(buffer[:count]); err != nil {
			return
		}
	}
}

// peerSource identifies a jsonrpc2 client by the ping in which it sends its
// address, and returns the bytes that it read.
func (n *network) peerSource(c net.Conn) ([]byte, endpoint) {
	var head []byte
	for {
		frame := make([]byte, 4)
		if _, err := io.ReadFull(c, frame); err != nil {
			return head, endpoint{}
		}
		// The highest bit is not part of the length. It marks a compressed
		// message, which cannot be a ping.
		frame = append(frame, make([]byte, binary.BigEndian.Uint32(frame)&^(1<<31))...)
		if _, err := io.ReadFull(c, frame[4:]); err != nil {
			return head, endpoint{}
		}
		head = append(head, frame...)
		var m struct {
			Method string
			Params struct{ Address string }
		}
		if json.Unmarshal(frame[4:], &m) == nil && m.Method == "peer.ping" {
			return head, n.endpoints[m.Params.Address]
		}
	}
}

var forwardHeader = regexp.MustCompile(`(?i)` + headerForward + `: (\S+)\r\n`)

// httpSource identifies the region of an HTTP client by the header of a
// forwarded request. A client without the header is a backend server, which
// announces itself in its own region only.
func httpSource(own shmodel.Region) func(net.Conn) ([]byte, endpoint) {
	return func(c net.Conn) ([]byte, endpoint) {
		head := make([]byte, 0, 64<<10)
		for !bytes.Contains(head, []byte("\r\n\r\n")) && len(head) < cap(head) {
			count, err := c.Read(head[len(head):cap(head)])
			head = head[:len(head)+count]
			if err != nil {
				break
			}
		}
		if x := forwardHeader.FindSubmatch(head); x != nil {
			var f forwardedFrom
			data, _ := base64.StdEncoding.DecodeString(string(x[1]))
			if json.Unmarshal(data, &f) == nil {
				return head, endpoint{region: f.From}
			}
		}
		return head, endpoint{region: own}
	}
}

// headerForward and forwardedFrom are the header of forwarded requests between
// entry VMs and the part of its value that tests read.
const headerForward = "Sequoiahollow-Forward"

type forwardedFrom struct {
	From shmodel.Region `json:"from"`
}
