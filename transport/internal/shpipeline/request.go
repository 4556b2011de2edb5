package shpipeline

import (
	"net"
	"sync"
	"sync/atomic"
)

// request is one request of a stream, as a connection of the server.
type request struct {
	// Conn is the server's end of a pipe whose other end is only closed: reads after
	// the head wait until the client has left or the answer is complete.
	net.Conn
	stream *stream
	end    net.Conn
	head   []byte

	once     sync.Once
	complete atomic.Bool
}

func newRequest(s *stream, head []byte) *request {
	server, end := net.Pipe()
	return &request{Conn: server, stream: s, end: end, head: head}
}

// Read implements net.Conn.
func (r *request) Read(p []byte) (int, error) {
	if len(r.head) > 0 {
		n := copy(p, r.head)
		r.head = r.head[n:]
		return n, nil
	}
	return r.Conn.Read(p)
}

// Write implements net.Conn. It waits for its turn.
func (r *request) Write(p []byte) (int, error) {
	if !r.stream.awaitTurn(r) {
		return 0, net.ErrClosed
	}
	return r.stream.conn.Write(p)
}

// answered is called when the answer has been written.
func (r *request) answered() {
	r.complete.Store(true)
	r.cancel()
	r.stream.remove(r)
}

// cancel makes the server see the end of its input.
func (r *request) cancel() {
	// Closing a pipe does not fail.
	r.once.Do(func() { _ = r.end.Close() })
}

// Close implements net.Conn. If the server closes before the end of an answer, or
// after one that says so, the connection of the client ends with it.
func (r *request) Close() error {
	r.cancel()
	err := r.Conn.Close()
	if !r.complete.Load() && r.stream.awaitTurn(r) {
		r.stream.close()
	}
	return err
}

// CloseWrite closes the sending side of the connection of the client, after an answer
// that closes it.
func (r *request) CloseWrite() error {
	if !r.stream.awaitTurn(r) {
		return net.ErrClosed
	}
	return closeWrite(r.stream.conn)
}

// LocalAddr implements net.Conn.
func (r *request) LocalAddr() net.Addr { return r.stream.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (r *request) RemoteAddr() net.Addr { return r.stream.conn.RemoteAddr() }

// NetConn returns the connection of the client.
func (r *request) NetConn() net.Conn { return r.stream.conn }
