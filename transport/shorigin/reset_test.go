package shorigin_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/shorigin"
)

// resetRounds is how often a reset is repeated: the error of the connection goes either to
// the write or to the read that is in progress.
const resetRounds = 60

// endless is a Rest that never ends.
type endless struct{ stopped chan struct{} }

func (e *endless) Next() ([]byte, error) {
	select {
	case <-e.stopped:
		return nil, io.ErrClosedPipe
	default:
		return make([]byte, 8<<10), nil
	}
}

func (e *endless) Interrupt() { close(e.stopped) }

// Guards against a part of an answer without a length that is taken for the whole because
// the connection was reset while the body of the request was still being written.
func TestResetDuringUpload(t *testing.T) {
	held := strings.Repeat("x", 8<<20)
	for name, r := range map[string]func() shorigin.Request{
		"no body":          func() shorigin.Request { return request("1", 2*time.Second) },
		"held":             func() shorigin.Request { return upload("1", nil, 0, held) },
		"chunked and held": func() shorigin.Request { return upload("1", nil, -1, held) },
		"rest":             func() shorigin.Request { return upload("1", &endless{make(chan struct{})}, 1<<30, "begin") },
		"chunked rest":     func() shorigin.Request { return upload("1", &endless{make(chan struct{})}, -1, "begin") },
	} {
		for version, head := range map[string]string{
			"1.1":     "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
			"1.0":     "HTTP/1.0 200 OK\r\nId: 1\r\n\r\n",
			"failure": "HTTP/1.1 500 Failed\r\nId: 1\r\n\r\n",
		} {
			t.Run(name+" "+version, func(t *testing.T) {
				address, _ := startReader(t, func(c net.Conn, _ *http.Request) bool {
					io.WriteString(c, head+"a part")
					time.Sleep(2 * time.Millisecond)
					c.(*net.TCPConn).SetLinger(0)
					c.Close()
					return true
				})
				whole := 0
				for range resetRounds {
					response, err := (&shorigin.Client{}).Do(context.Background(), address, r())
					if err == nil {
						whole++
						continue
					}
					assert.Equal(t, shorigin.KindOf(err), shorigin.KindBroken, "%v", err)
					assert.Equal(t, len(response.Body), 0)
				}
				assert.Equal(t, whole, 0, "parts that were taken for whole answers, of %d", resetRounds)
			})
		}
	}
}

// Guards against a whole answer that is taken for a broken one: the backend server ends its
// side of the connection behind it and closes without having read the rest of the body.
func TestEndDuringUpload(t *testing.T) {
	held := strings.Repeat("x", 8<<20)
	for name, pause := range map[string]time.Duration{"reset at once": 0, "reset later": 5 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			address, _ := startReader(t, func(c net.Conn, _ *http.Request) bool {
				io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it")
				c.(*net.TCPConn).CloseWrite()
				time.Sleep(pause)
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				return true
			})
			for range resetRounds {
				response, err := (&shorigin.Client{}).Do(context.Background(), address, upload("1", nil, 0, held))
				assert.NilError(t, err)
				assert.Equal(t, string(response.Body), "all of it")
			}
		})
	}
}
