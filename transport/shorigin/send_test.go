package shorigin_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/shorigin"
)

// received is what a stand-in got on one connection: the bodies that were whole, and
// the error that ended the connection.
type received struct {
	bodies []string
	err    error
}

// startReader starts a stand-in that calls early on each connection once it has the head
// of a request, reads the body if early returns true, and answers then. What it has read
// is sent when the connection ends.
func startReader(t *testing.T, early func(c net.Conn, r *http.Request) bool) (address string, results chan received) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	results = make(chan received, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				got := received{}
				defer func() { results <- got }()
				for reader := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						got.err = err
						return
					}
					answered := early != nil && early(c, r)
					body, err := io.ReadAll(r.Body)
					if err != nil {
						got.err = err
						return
					}
					got.bodies = append(got.bodies, string(body))
					if !answered {
						io.WriteString(c, strings.ReplaceAll(good, "{id}", r.Header.Get("Id")))
					}
				}
			}()
		}
	}()
	return l.Addr().String(), results
}

// pieces is a Rest that returns its pieces, then err. With a nil err it waits to be
// interrupted.
type pieces struct {
	next        []string
	err         error
	interrupted chan struct{}
}

func newPieces(err error, next ...string) *pieces {
	return &pieces{next: next, err: err, interrupted: make(chan struct{})}
}

func (p *pieces) Next() ([]byte, error) {
	if len(p.next) > 0 {
		piece := p.next[0]
		p.next = p.next[1:]
		return []byte(piece), nil
	}
	if p.err == nil {
		<-p.interrupted
		return nil, errors.New("interrupted")
	}
	return nil, p.err
}

func (p *pieces) Interrupt() { close(p.interrupted) }

func upload(id string, rest shorigin.Rest, length int64, held ...string) shorigin.Request {
	r := request(id, 2*time.Second)
	r.Method, r.Rest, r.Length, r.Chunked = http.MethodPost, rest, length, length < 0
	for _, h := range held {
		r.Body = append(r.Body, []byte(h))
	}
	return r
}

func receive(t *testing.T, results chan received) received {
	t.Helper()
	select {
	case got := <-results:
		return got
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the backend server stays open")
		return received{}
	}
}

// Guards against a body that changes on its way: in its framing, at the border of its
// held part, or when it is long.
func TestBodiesArriveWhole(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 128<<10)
	cases := []struct {
		name   string
		rest   []string
		length int64
		held   []string
	}{
		{"empty", nil, 0, nil},
		{"short in pieces", nil, 6, []string{"abc", "def"}},
		{"short chunked", nil, -1, []string{"abc", "def"}},
		{"empty chunked", nil, -1, nil},
		{"long held", nil, 2 << 20, []string{long}},
		{"rest", []string{"ghi", long, "x"}, int64(6 + 3 + len(long) + 1), []string{"abc", "def"}},
		{"chunked rest", []string{"ghi", long, "x"}, -1, []string{"abc", "def"}},
		{"chunked rest of nothing", []string{}, -1, []string{"abc"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			address, results := startReader(t, nil)
			client := &shorigin.Client{}
			for _, id := range []string{"1", "2"} {
				var rest shorigin.Rest
				if c.rest != nil {
					rest = newPieces(io.EOF, c.rest...)
				}
				response, err := client.Do(context.Background(), address, upload(id, rest, c.length, c.held...))
				assert.NilError(t, err)
				assert.Equal(t, response.Reused, id == "2")
			}
			// The last request on the connection closes it.
			last := request("3", time.Second)
			last.Header.Set("Connection", "close")
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, _ = client.Do(ctx, address, last)
			got := receive(t, results)
			want := strings.Join(c.held, "") + strings.Join(c.rest, "")
			assert.Assert(t, len(got.bodies) >= 2 && got.bodies[0] == want && got.bodies[1] == want)
		})
	}
}

// Guards against an early answer that is not seen because the body is still being
// written, and against other bytes where the rest of that body is due: the backend
// server of these cases reads on after its answer.
func TestEarlyAnswer(t *testing.T) {
	held := string(bytes.Repeat([]byte("x"), 16<<20))
	for name, r := range map[string]func() shorigin.Request{
		"held":             func() shorigin.Request { return upload("1", nil, 0, held) },
		"chunked and held": func() shorigin.Request { return upload("1", nil, -1, held) },
		"rest":             func() shorigin.Request { return upload("1", newPieces(nil, "more"), 1000, "begin") },
		"chunked rest":     func() shorigin.Request { return upload("1", newPieces(nil, "more"), -1, "begin") },
	} {
		t.Run(name, func(t *testing.T) {
			readOn := make(chan struct{})
			address, results := startReader(t, func(c net.Conn, r *http.Request) bool {
				io.WriteString(c, "HTTP/1.1 413 Too Large\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
				<-readOn
				return true
			})
			client := &shorigin.Client{}
			began := time.Now()
			response, err := client.Do(context.Background(), address, r())
			assert.NilError(t, err)
			assert.Equal(t, response.Status, http.StatusRequestEntityTooLarge)
			assert.Assert(t, time.Since(began) < time.Second)
			close(readOn)
			got := receive(t, results)
			assert.Equal(t, len(got.bodies), 0)
			assert.Assert(t, got.err != nil && !errors.Is(got.err, io.EOF), "the body looked whole: %v", got.err)
			response, err = client.Do(context.Background(), address, request("2", time.Second))
			assert.NilError(t, err)
			assert.Assert(t, !response.Reused)
		})
	}
}

// Guards against a connection that is closed although the backend server answered early
// and then got the whole body.
func TestEarlyAnswerToWrittenBody(t *testing.T) {
	address, _ := startReader(t, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, strings.ReplaceAll(good, "{id}", r.Header.Get("Id")))
		return true
	})
	client := &shorigin.Client{}
	for i, id := range []string{"1", "2"} {
		response, err := client.Do(context.Background(), address, upload(id, nil, 0, strings.Repeat("x", 20<<10)))
		assert.NilError(t, err)
		assert.Equal(t, response.Reused, i == 1)
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a shortened body that a backend server takes for a whole one, and
// against a wait for an answer to it.
func TestBodyCut(t *testing.T) {
	for name, length := range map[string]int64{"length": 100, "chunked": -1} {
		for _, cause := range []error{errors.New("the caller left"), io.EOF} {
			if length < 0 && errors.Is(cause, io.EOF) {
				continue // the regular end of a chunked body
			}
			t.Run(name+" "+cause.Error(), func(t *testing.T) {
				address, results := startReader(t, nil)
				began := time.Now()
				_, err := (&shorigin.Client{}).Do(context.Background(), address, upload("1", newPieces(cause, "some"), length, "begin"))
				assert.Equal(t, shorigin.KindOf(err), shorigin.KindBodyCut)
				assert.Assert(t, time.Since(began) < time.Second)
				got := receive(t, results)
				assert.Equal(t, len(got.bodies), 0)
				assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
			})
		}
	}
}

// Guards against a backend server that waits for a slot before it reads a long body, and
// counts as crashed after maxUnacknowledged: the operating system ends a connection
// whose peer takes no data for that long.
func TestBodyReadLate(t *testing.T) {
	address, _ := startReader(t, func(net.Conn, *http.Request) bool {
		time.Sleep(2500 * time.Millisecond)
		return false
	})
	r := upload("1", nil, 0, strings.Repeat("x", 16<<20))
	r.Deadline = time.Now().Add(10 * time.Second)
	_, err := (&shorigin.Client{}).Do(context.Background(), address, r)
	assert.NilError(t, err)
}

// Guards against a backend server that stops reading and holds a request beyond its
// deadline, or one that closes midway and is not seen.
func TestBodyNotRead(t *testing.T) {
	for name, c := range map[string]struct {
		early func(net.Conn, *http.Request) bool
		kind  shorigin.Kind
	}{
		"silent": {func(c net.Conn, _ *http.Request) bool { time.Sleep(time.Second); return true }, shorigin.KindTimeout},
		"closes": {func(c net.Conn, _ *http.Request) bool { c.Close(); return true }, shorigin.KindBroken},
		"ends its side": {func(c net.Conn, _ *http.Request) bool {
			c.(*net.TCPConn).CloseWrite()
			time.Sleep(time.Second)
			return true
		}, shorigin.KindBroken},
	} {
		for _, rest := range []shorigin.Rest{nil, newPieces(nil)} {
			t.Run(name, func(t *testing.T) {
				address, _ := startReader(t, c.early)
				r := upload("1", rest, 64<<20, strings.Repeat("x", 16<<20))
				r.Deadline = time.Now().Add(400 * time.Millisecond)
				_, err := (&shorigin.Client{}).Do(context.Background(), address, r)
				assert.Equal(t, shorigin.KindOf(err), c.kind)
				assert.Assert(t, time.Now().Before(r.Deadline.Add(500*time.Millisecond)))
			})
		}
	}
}
