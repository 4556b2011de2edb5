package shentry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shloopback"
)

const testID = shmodel.RequestID(7)

// rawServer answers the first perConnection requests of each connection with a
// fixed text, closes the connection at the next request (if perConnection is 1,
// after the answer), and counts all requests. Without a text it never answers.
func rawServer(t *testing.T, answer string, perConnection int) (address string, requests *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	requests = new(atomic.Int32)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, answer, perConnection, requests)
		}
	}()
	return l.Addr().String(), requests
}

func serveRaw(c net.Conn, answer string, perConnection int, requests *atomic.Int32) {
	defer func() { _ = c.Close() }()
	buffer := make([]byte, 4096)
	for n := 0; ; n++ {
		if _, err := c.Read(buffer); err != nil {
			return
		}
		requests.Add(1)
		if n == perConnection {
			return
		}
		if answer == "" {
			_, _ = c.Read(buffer)
			return
		}
		_, _ = io.WriteString(c, answer)
		if perConnection == 1 {
			return
		}
	}
}

func newRequest(address string) OutgoingRequest {
	return OutgoingRequest{Address: address, Method: http.MethodGet, URI: "/", Header: http.Header{}, RequestID: testID, FirstByteTimeout: 200 * time.Millisecond, NewConnection: true}
}

func responseText(status, header, body string, length int) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, length, body)
}

// Guards against a wrong classification of a failed attempt: only a refused
// connection and a shed answer prove that the request was not run.
func TestSendFaults(t *testing.T) {
	id := shwire.HeaderRequestID + ": " + testID.String() + "\r\n"
	other := shwire.HeaderRequestID + ": " + (testID + 1).String() + "\r\n"
	shed := shwire.HeaderOutcome + ": not-run\r\n"
	for _, c := range []struct {
		name, answer string
		fault        Fault
		provesNotRun bool
	}{
		{"whole", responseText("200 OK", id, "body", 4), "", false},
		{"broken in the body", responseText("200 OK", id, "bo", 4), FaultBroken, false},
		{"broken in the header", "HTTP/1.1 200 OK\r\nConte", FaultBroken, false},
		{"no HTTP", "hello\r\n\r\n", FaultBroken, false},
		{"other request", responseText("200 OK", other, "body", 4), FaultMismatch, false},
		{"no request ID", responseText("200 OK", "", "body", 4), FaultMismatch, false},
		{"shed", responseText("503 Service Unavailable", id+shed, "", 0), FaultShed, true},
		{"shed for another request", responseText("503 Service Unavailable", other+shed, "", 0), FaultMismatch, false},
		{"own 503", responseText("503 Service Unavailable", id, "", 0), "", false},
		{"silent", "", FaultTimeout, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, _ := rawServer(t, c.answer, 1)
			_, fault := NewDispatcher().Send(context.Background(), newRequest(address))
			assert.Equal(t, fault, c.fault)
			assert.Equal(t, fault.ProvesNotRun(), c.provesNotRun)
		})
	}
	t.Run("connection refused", func(t *testing.T) {
		_, fault := NewDispatcher().Send(context.Background(), newRequest(shloopback.Free(t)))
		assert.Equal(t, fault, FaultRefused)
		assert.Assert(t, fault.ProvesNotRun())
	})
}

// Guards against net/http retrying a request with an idempotency key on its own
// when a kept-alive connection breaks.
func TestSendOnce(t *testing.T) {
	answer := responseText("200 OK", shwire.HeaderRequestID+": "+testID.String()+"\r\n", "", 0)
	for _, key := range []string{"", "k"} {
		address, requests := rawServer(t, answer, 2)
		d := NewDispatcher()
		o := newRequest(address)
		o.NewConnection = false
		if key != "" {
			o.Header.Set(shwire.HeaderKey, key)
		}
		for _, want := range []Fault{"", "", FaultBroken} {
			_, fault := d.Send(context.Background(), o)
			assert.Equal(t, fault, want)
		}
		assert.Equal(t, requests.Load(), int32(3))
	}
}

// Guards against a truncated answer that a caller takes for a complete one.
func TestBrokenAnswerIsVisible(t *testing.T) {
	for _, length := range []int64{-1, 200_000} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				in := IncomingAnswer{Status: http.StatusOK, Body: []byte("start"), Length: length}
				in.Rest = io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat("x", 100_000)), brokenReader{}))
				if _, err := copyAnswer(w, in, testID, shmodel.Answered, nil); err != nil {
					panic(http.ErrAbortHandler)
				}
			}))
			defer s.Close()
			r, err := http.Get(s.URL)
			assert.NilError(t, err)
			defer func() { _ = r.Body.Close() }()
			_, err = io.ReadAll(r.Body)
			assert.ErrorContains(t, err, "unexpected EOF")
		})
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
