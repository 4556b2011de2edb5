package shorigin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// AnswerHold is the memory that answers to one request take until the request has ended.
type AnswerHold interface {
	// Reserve takes n bytes before they are allocated.
	Reserve(n int64) error
	// Release returns n of the reserved bytes.
	Release(n int64)
}

// sharedHold is the hold of an answer without a Request.Hold: what all answers that are
// being read take beyond their first step.
type sharedHold struct {
	held     *atomic.Int64
	first    bool
	reserved int64
}

// Reserve implements AnswerHold.
func (h *sharedHold) Reserve(n int64) error {
	if !h.first {
		h.first = true
		return nil
	}
	// The memory for joining the steps is not part of this bound.
	n /= 2
	h.reserved += n
	if h.held.Add(n) > maxHeldBytes {
		return errors.New("too many large answers")
	}
	return nil
}

// Release implements AnswerHold. All is released together.
func (h *sharedHold) Release(int64) {}

func (h *sharedHold) release() { h.held.Add(-h.reserved) }

// headRoom is the memory that the heads of the answers to one request take.
type headRoom struct {
	own    AnswerHold  // of the request, may be nil
	shared *sharedHold // in place of a nil own
	taken  int64
}

func (r Request) headRoom(held *atomic.Int64) *headRoom {
	return &headRoom{own: r.HeadHold, shared: &sharedHold{held: held, first: true}}
}

func (h *headRoom) hold() AnswerHold {
	if h.own != nil {
		return h.own
	}
	return h.shared
}

func (h *headRoom) reserve(n int64) error {
	if err := h.hold().Reserve(n); err != nil {
		return noMemory("a head", h.taken, h.own, err)
	}
	h.taken += n
	return nil
}

// release returns the memory of a head that is not needed.
func (h *headRoom) release() {
	h.hold().Release(h.taken)
	h.taken = 0
}

// end says that no further head is read. What HeadHold holds stays reserved until the
// request has ended.
func (h *headRoom) end() { h.shared.release() }

// dial opens a connection within MaxConnections.
func (c *Client) dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	if c.open.Add(1) > int64(c.MaxConnections) && c.MaxConnections > 0 && !c.closeIdle() {
		c.open.Add(-1)
		return nil, &Error{Op: "dial", Kind: KindWithheld, Err: errors.New("too many connections to backend servers")}
	}
	x, err := dial(ctx, address, timeout)
	if err != nil {
		c.open.Add(-1)
		if ctx.Err() != nil {
			err = &Error{Op: "dial", Kind: KindCanceled, Err: context.Cause(ctx)}
		}
		return nil, err
	}
	x.held = &c.held
	x.Conn = &countedConn{Conn: x.Conn, open: &c.open}
	return x, nil
}

// closeIdle closes the idle connection that was used longest ago. It returns false if
// there is none.
func (c *Client) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var oldest string
	for address, list := range c.idle {
		if oldest == "" || list[0].usedAt.Before(c.idle[oldest][0].usedAt) {
			oldest = address
		}
	}
	list := c.idle[oldest]
	if len(list) == 0 {
		return false
	}
	list[0].Close()
	c.idleCount--
	if c.idle[oldest] = list[1:]; len(list) == 1 {
		delete(c.idle, oldest)
	}
	return true
}

// countedConn counts itself until it is closed.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("no descriptor")
	}
	return raw.SyscallConn()
}

// noMemoryError is an error of AnswerHold.Reserve.
type noMemoryError struct{ error }

// Unwrap returns the cause.
func (e noMemoryError) Unwrap() error { return e.error }

// noMemory returns the error for a part of an answer, of size bytes or more, that does not
// fit. With the bound that answers share, it counts against the backend server.
func noMemory(part string, size int64, own AnswerHold, err error) error {
	err = fmt.Errorf("no memory for %s of %d bytes or more: %w", part, size, err)
	if own == nil {
		return err
	}
	return noMemoryError{err}
}
