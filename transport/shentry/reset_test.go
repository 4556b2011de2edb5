package shentry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/transport/shloopback"
)

// resetServer sends answer on each connection once the first bytes of a request have
// arrived, and resets the connection.
func resetServer(t *testing.T, answer string) (address string) {
	t.Helper()
	l := shloopback.Listen(t)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Read(make([]byte, 4096))
				_, _ = io.WriteString(c, answer)
				time.Sleep(2 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against a backend server that ends its side while the body of a request is still
// being written, and counts as slow.
func TestSendEndDuringUpload(t *testing.T) {
	l := shloopback.Listen(t)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			_ = c.(*net.TCPConn).CloseWrite()
			t.Cleanup(func() { _ = c.Close() })
		}
	}()
	for _, once := range []bool{false, true} {
		o := newRequest(l.Addr().String())
		o.Method, o.Body, o.NewConnection, o.FirstByteTimeout = http.MethodPost, make([]byte, 64<<20), once, 10*time.Second
		_, fault := NewDispatcher().Send(context.Background(), o)
		assert.Equal(t, fault, FaultBroken)
	}
}

// Guards against a part of an answer without a length that is taken for the whole because
// the connection was reset while the body of the request was still being written. The
// error of the connection goes either to the write or to the read, so rounds repeat it.
func TestSendResetDuringUpload(t *testing.T) {
	const rounds = 60
	body := make([]byte, 8<<20)
	for name, size := range map[string]int{"short": 6, "longer than the buffer": bufferLimit + 10} {
		for _, once := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				head := "HTTP/1.1 200 OK\r\n" + shwire.HeaderRequestID + ": " + testID.String() + "\r\n\r\n"
				o := newRequest(resetServer(t, head+strings.Repeat("x", size)))
				o.Method, o.Body, o.NewConnection, o.FirstByteTimeout = http.MethodPost, body, once, 10*time.Second
				whole := 0
				for range rounds {
					in, fault := NewDispatcher().Send(context.Background(), o)
					if fault == "" && in.Rest != nil {
						_, err := io.Copy(io.Discard, in.Rest)
						_ = in.Rest.Close()
						if err != nil {
							continue
						}
					}
					if fault == "" {
						whole++
						continue
					}
					assert.Equal(t, fault, FaultBroken)
				}
				assert.Equal(t, whole, 0, "parts that were taken for whole answers, of %d", rounds)
			})
		}
	}
}
