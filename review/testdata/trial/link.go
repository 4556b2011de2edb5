package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// link is a network path to one address. While it is cut, what is sent on it in either
// direction is held up, and it arrives when the cut has ended: the end of a stream
// follows the bytes before it one round trip later.
type link struct {
	to      string
	address string
	delay   time.Duration // one way

	mu     sync.Mutex
	cut    bool
	healed chan struct{} // closed when a cut ends
}

// newLink listens at an address and passes connections on to another one.
func newLink(ctx context.Context, address, to string, delay time.Duration) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	k := &link{to: to, address: l.Addr().String(), delay: delay, healed: make(chan struct{})}
	close(k.healed)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(ctx, c.(*net.TCPConn))
		}
	}()
	return k, nil
}

// setCut begins or ends a cut.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case cut && !k.cut:
		k.healed = make(chan struct{})
	case !cut && k.cut:
		close(k.healed)
	}
	k.cut = cut
}

// pass waits for the delay of the link and the end of a cut.
func (k *link) pass(ctx context.Context, delay time.Duration) {
	_ = pause(ctx, delay)
	for {
		k.mu.Lock()
		cut, healed := k.cut, k.healed
		k.mu.Unlock()
		if !cut {
			return
		}
		select {
		case <-healed:
			_ = pause(ctx, k.delay)
		case <-ctx.Done():
			return
		}
	}
}

func (k *link) serve(ctx context.Context, from *net.TCPConn) {
	k.pass(ctx, k.delay)
	c, err := net.DialTimeout("tcp", k.to, time.Second)
	if err != nil {
		_ = from.Close()
		return
	}
	to := c.(*net.TCPConn)
	var both sync.WaitGroup
	both.Go(func() { k.copy(ctx, to, from) })
	both.Go(func() { k.copy(ctx, from, to) })
	both.Wait()
	_ = from.Close()
	_ = to.Close()
}

// copy passes one direction on.
func (k *link) copy(ctx context.Context, to, from *net.TCPConn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			k.pass(ctx, k.delay)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				k.pass(ctx, 2*k.delay)
			}
			_ = to.CloseWrite()
			return
		}
	}
}
