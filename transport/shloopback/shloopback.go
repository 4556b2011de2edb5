// Package shloopback gives tests loopback addresses that belong to their process
// alone.
//
// Outgoing connections of all processes take ports of 127.0.0.1, and so do their
// listeners. A test that frees such a port and listens there again, or expects it to
// refuse connections, fails if another process has taken it meanwhile.
package shloopback

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
)

// Host returns a loopback address of this process, without a port, for n from 1 to 254.
func Host(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 220+os.Getpid()/256%32, os.Getpid()%256, n)
}

// Listen listens at a free port of Host(1).
func Listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(Host(1), "0"))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// chosen has the ports that Free and FreePort have returned.
var chosen sync.Map

// FreePort returns a port at which nobody listens at Host(1). The operating system gives
// out some of them over and over; no call in this process returns the same port as another.
func FreePort(t testing.TB) int {
	t.Helper()
	for {
		l := Listen(t)
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		if _, again := chosen.LoadOrStore(port, true); !again {
			return port
		}
	}
}

// Free returns an address of Host(1) at which nobody listens, with a port of FreePort.
func Free(t testing.TB) string {
	t.Helper()
	return net.JoinHostPort(Host(1), strconv.Itoa(FreePort(t)))
}
