package shorigin_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"sequoiahollow/transport/shorigin"
)

// FuzzAnswer guards against bytes of a backend server that end the process or are
// taken for the answer to another request.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 204 No Content\r\nId: 1\r\nContent-Length: 5\r\n\r\nextra"))
	f.Add([]byte("HTTP/1.1 304 Not Modified\r\nId: 1\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n\r\nx"))
	f.Fuzz(func(t *testing.T, reply []byte) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			head := make([]byte, 16)
			if _, err := io.ReadFull(c, head); err == nil {
				_, _ = c.Write(reply)
			}
		}()
		client := &shorigin.Client{}
		r := request("1", 500*time.Millisecond)
		r.StreamFrom = 1 << 10
		response, err := client.Do(context.Background(), l.Addr().String(), r)
		if err != nil {
			if shorigin.KindOf(err) == "" {
				t.Fatalf("error %v has no kind", err)
			}
			return
		}
		if response.Stream != nil {
			_, _ = io.Copy(io.Discard, response.Stream)
			_ = response.Stream.Close()
		}
		if response.Header.Get("Id") != "1" {
			t.Fatalf("answer to request %q accepted for request 1", response.Header.Get("Id"))
		}
	})
}
