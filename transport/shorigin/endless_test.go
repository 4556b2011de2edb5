package shorigin_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/shorigin"
)

// startEndless starts a stand-in backend server that answers with head and then
// repeats piece until its peer closes. It counts the bytes that it could write.
func startEndless(t *testing.T, head, piece string) (address string, closed chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	closed = make(chan struct{}, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { c.Close(); closed <- struct{}{} }()
				io.WriteString(c, head)
				for block := strings.Repeat(piece, 1+4096/len(piece)); ; {
					if _, err := io.WriteString(c, block); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), closed
}

// Guards against a backend server that sends bytes without end and so takes the
// memory of the process, or holds a request until its deadline. Pattern: bytes that
// are no answer, in a head or a body.
func TestEndlessBytes(t *testing.T) {
	const (
		requests = 20
		// limit is the deadline of the requests: they must end by the bounds on what is
		// read, also under the race detector on a busy machine.
		limit = 15 * time.Second
	)
	unframed := "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"
	for name, c := range map[string][2]string{
		"no HTTP":               {"", "garbage"},
		"status line":           {"HTTP/1.1 200 ", "x"},
		"header lines":          {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"one header line":       {"HTTP/1.1 200 OK\r\nA: ", "b"},
		"interim answers":       {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"body without length":   {unframed, "x"},
		"chunks":                {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"chunk extension":       {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailers":              {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
		"answer to another one": {"HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			address, closed := startEndless(t, c[0], c[1])
			client := &shorigin.Client{}
			done := make(chan struct{})
			most := watchHeap(done)
			began := time.Now()
			var calls sync.WaitGroup
			for range requests {
				calls.Go(func() {
					r := request("1", limit)
					r.Method = http.MethodGet
					_, err := doConnected(client, address, r)
					if shorigin.KindOf(err) != shorigin.KindGarbled {
						t.Errorf("error %v, want one of kind %s", err, shorigin.KindGarbled)
					}
				})
			}
			calls.Wait()
			close(done)
			for range requests {
				<-closed
			}
			assert.Assert(t, time.Since(began) < limit, "the requests were held for %s", time.Since(began))
			// Half of the memory of the smallest entry VM.
			heap := <-most
			assert.Assert(t, heap < 142<<20, "the heap grew to %d MiB", heap>>20)
		})
	}
}

// watchHeap sends the largest size of the heap until done is closed.
func watchHeap(done <-chan struct{}) <-chan uint64 {
	runtime.GC()
	result := make(chan uint64, 1)
	go func() {
		most := uint64(0)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			most = max(most, m.HeapAlloc)
			select {
			case <-done:
				result <- most
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return result
}

// Guards against large answers without a length that are refused because a few
// others are being read.
func TestLargeBodiesAtOnce(t *testing.T) {
	const requests, size = 40, 540 << 10
	s := newStub(t, "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\n"+strings.Repeat("x", size))
	client := &shorigin.Client{}
	var calls sync.WaitGroup
	for range requests {
		calls.Go(func() {
			response, err := doConnected(client, s.address(), request("1", 10*time.Second))
			if err != nil || len(response.Body) != size {
				t.Errorf("body of %d bytes, error %v", len(response.Body), err)
			}
		})
	}
	calls.Wait()
}

// doConnected sends a request and dials again if no connection could be made: on a
// busy machine many dials at once can pass the dial timeout, which is not tested
// here.
func doConnected(c *shorigin.Client, address string, r shorigin.Request) (shorigin.Response, error) {
	for {
		response, err := c.Do(context.Background(), address, r)
		if shorigin.KindOf(err) != shorigin.KindNotSent || !time.Now().Before(r.Deadline) {
			return response, err
		}
	}
}
