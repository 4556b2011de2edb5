package main

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a relay that adds less than the configured delay, which would
// understate the latency of direct calls or of the system.
func TestRelayDelays(t *testing.T) {
	const delay = 20 * time.Millisecond
	var address string
	var server net.Listener
	// The port behind the relay may be in use.
	for range 20 {
		free, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address = free.Addr().String()
		assert.NilError(t, free.Close())
		server, err = net.Listen("tcp", behindRelay(address))
		if err == nil {
			break
		}
	}
	assert.Assert(t, server != nil)
	defer func() { _ = server.Close() }()
	go func() {
		c, err := server.Accept()
		if err == nil {
			_, _ = io.Copy(c, c)
		}
	}()
	l, err := relay(address, fixedDelay(delay))
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	begin := time.Now()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	for _, least := range []time.Duration{(handshakeDelays + 1) * delay, 2 * delay} {
		_, err = c.Write([]byte("x"))
		assert.NilError(t, err)
		_, err = io.ReadFull(c, make([]byte, 1))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(begin) >= least, "%v after %v", least, time.Since(begin))
		begin = time.Now()
	}
}
