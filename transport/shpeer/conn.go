package shpeer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sequoiahollow/coordination/shmemory"
)

// Bytes counts the bytes sent and received on connections, without TCP and IP
// headers.
type Bytes struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
}

const (
	// maxCounters bounds the addresses with counts of their own. The design has 5,400
	// VMs, each of which may be known by its IP address as well.
	maxCounters = 16384
	// otherAddresses is under which the traffic of further addresses is counted.
	otherAddresses = "other"
)

// Traffic counts the bytes exchanged with each peer. Its zero value is ready.
// Connections of a client count under the address that was dialled. Accepted
// connections count under the Config.Self that the client sent with its pings, and
// before the first ping under the remote IP address.
type Traffic struct {
	mu     sync.Mutex
	counts map[string]*counter
}

type counter struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Snapshot returns the counts by address since the start of the process.
func (t *Traffic) Snapshot() map[string]Bytes {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]Bytes, len(t.counts))
	for address, c := range t.counts {
		counts[address] = Bytes{Sent: c.sent.Load(), Received: c.received.Load()}
	}
	return counts
}

func (t *Traffic) counter(address string) *counter {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts[address]
	if c == nil && len(t.counts) >= maxCounters {
		address = otherAddresses
		c = t.counts[address]
	}
	if c == nil {
		if t.counts == nil {
			t.counts = make(map[string]*counter)
		}
		c = new(counter)
		t.counts[address] = c
	}
	return c
}

// countedConn counts bytes and fails reads and writes that make no progress for
// the timeout.
type countedConn struct {
	net.Conn
	timeout time.Duration
	count   atomic.Pointer[counter]
	// hold is what is held for an accepted connection, nil for others.
	hold *shmemory.Hold
	// messageEnd is the time, in nanoseconds of Unix time, by which a message must
	// have arrived, or zero.
	messageEnd atomic.Int64
}

func newCountedConn(c net.Conn, timeout time.Duration, count *counter) *countedConn {
	cc := &countedConn{Conn: c, timeout: timeout}
	cc.count.Store(count)
	return cc
}

// Read implements io.Reader.
func (c *countedConn) Read(p []byte) (int, error) {
	limit := time.Now().Add(c.timeout)
	if end := c.messageEnd.Load(); end != 0 && end < limit.UnixNano() {
		limit = time.Unix(0, end)
	}
	if err := c.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.hold != nil {
		c.hold.Progress(time.Now(), n)
	}
	c.count.Load().received.Add(uint64(n))
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.hold != nil {
		c.hold.Close()
	}
	return c.Conn.Close()
}

// Write implements io.Writer.
func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.count.Load().sent.Add(uint64(n))
	return n, err
}
