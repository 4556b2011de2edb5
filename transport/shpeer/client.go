package shpeer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// Client calls peers through pooled connections. NewClient returns one.
type Client struct {
	config Config
	slots  chan struct{}
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	pools map[string]*pool
}

// pool holds the connections to one address.
type pool struct {
	next  atomic.Uint32
	conns []*pooledConn
}

// pooledConn is one connection of a pool. It is dialled when a call needs it and
// it is not open.
type pooledConn struct {
	client  *Client
	address string
	// dialing is a mutex in the form of a channel, so that waiting for it ends with
	// the context.
	dialing chan struct{}
	conn    atomic.Pointer[jsonrpc2.Conn]
}

// NewClient returns a client without connections.
func NewClient(config Config) *Client {
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		config: config,
		slots:  make(chan struct{}, config.MaxCalls),
		ctx:    ctx,
		cancel: cancel,
		pools:  make(map[string]*pool),
	}
}

// Close closes all connections. Calls in progress end with KindClosed.
func (c *Client) Close() error {
	c.cancel()
	return nil
}

// Call calls a method of the peer at address and decodes the answer. It returns
// by the deadline of ctx, or after Config.CallTimeout if ctx has none. All errors
// are of type *Error.
func Call[Resp any](ctx context.Context, c *Client, address, method string, req any) (Resp, error) {
	var resp Resp
	err := c.call(ctx, address, method, req, &resp)
	return resp, err
}

// Notify sends a notification to the peer at address. It returns once the message
// was written to the connection or the write failed; delivery is not confirmed.
func Notify(ctx context.Context, c *Client, address, method string, req any) error {
	params, err := c.encode(method, req)
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	// Notifications always use the first connection, which keeps their order.
	conn, err := c.pool(address).conns[0].get(ctx)
	if err != nil {
		return newError(method, KindUnreachable, err)
	}
	sent := make(chan error, 1)
	go func() { sent <- conn.Notify(ctx, method, params) }()
	select {
	case err := <-sent:
		if err != nil {
			return newError(method, KindClosed, err)
		}
		return nil
	case <-ctx.Done():
		return newError(method, KindTimeout, ctx.Err())
	}
}

func (c *Client) encode(method string, req any) (json.RawMessage, error) {
	params, err := json.Marshal(req)
	if err != nil {
		return nil, newError(method, KindInvalid, err)
	}
	if len(params) > c.config.MaxMessageBytes {
		return nil, newError(method, KindTooLarge, fmt.Errorf("request of %d bytes exceeds %d", len(params), c.config.MaxMessageBytes))
	}
	return params, nil
}

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.config.CallTimeout)
}

func (c *Client) call(ctx context.Context, address, method string, req, resp any) error {
	params, err := c.encode(method, req)
	if err != nil {
		return err
	}
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	default:
		return newError(method, KindBusy, errors.New("too many calls in progress"))
	}
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	p := c.pool(address)
	pooled := p.conns[int(p.next.Add(1))%len(p.conns)]
	conn, err := pooled.get(ctx)
	if err != nil {
		return newError(method, KindUnreachable, err)
	}
	raw, err := exchange(ctx, conn, method, params)
	if err != nil {
		return fromWire(method, err)
	}
	if err := json.Unmarshal(raw, resp); err != nil {
		return newError(method, KindInvalid, err)
	}
	return nil
}

// exchange sends one request and waits for the answer or the end of the context.
// The call runs in its own goroutine, because jsonrpc2 ignores the context during
// the write.
func exchange(ctx context.Context, conn *jsonrpc2.Conn, method string, params json.RawMessage) (json.RawMessage, error) {
	type answer struct {
		raw json.RawMessage
		err error
	}
	done := make(chan answer, 1)
	go func() {
		var a answer
		var options []jsonrpc2.CallOption
		if deadline, ok := ctx.Deadline(); ok {
			left := max(time.Until(deadline).Milliseconds(), 1)
			options = append(options, jsonrpc2.Meta(meta{TimeoutMS: left}))
		}
		a.err = conn.Call(ctx, method, params, &a.raw, options...)
		done <- a
	}()
	select {
	case a := <-done:
		return a.raw, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// fromWire converts an error of jsonrpc2 to an *Error.
func fromWire(method string, err error) error {
	var wire *jsonrpc2.Error
	switch {
	case errors.As(err, &wire):
		data := wireData{Kind: KindFailed}
		if wire.Data != nil {
			// If the data cannot be decoded, the kind stays KindFailed.
			_ = json.Unmarshal(*wire.Data, &data)
		}
		return &Error{Op: method, Kind: data.Kind, Err: errors.New(wire.Message), Data: data.Data}
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return newError(method, KindTimeout, err)
	default:
		return newError(method, KindClosed, err)
	}
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = new(pool)
		for range c.config.Connections {
			p.conns = append(p.conns, &pooledConn{client: c, address: address, dialing: make(chan struct{}, 1)})
		}
		c.pools[address] = p
	}
	return p
}

func (p *pooledConn) current() *jsonrpc2.Conn {
	conn := p.conn.Load()
	if conn == nil {
		return nil
	}
	select {
	case <-conn.DisconnectNotify():
		return nil
	default:
		return conn
	}
}

// get returns the open connection, or dials a new one.
func (p *pooledConn) get(ctx context.Context) (*jsonrpc2.Conn, error) {
	if conn := p.current(); conn != nil {
		return conn, nil
	}
	select {
	case p.dialing <- struct{}{}:
		defer func() { <-p.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if conn := p.current(); conn != nil {
		return conn, nil
	}
	if err := p.client.ctx.Err(); err != nil {
		return nil, errors.New("client is closed")
	}
	config := p.client.config
	// Bounded, so that a dial to an unreachable address does not block other calls,
	// which wait for dialing, until the deadline of this one.
	dialCtx, cancel := context.WithTimeout(ctx, config.SilenceTimeout)
	defer cancel()
	raw, err := dial(dialCtx, p.address, (&net.Dialer{}).DialContext)
	if err != nil {
		return nil, err
	}
	counted := newCountedConn(raw, config.SilenceTimeout, config.Traffic.counter(p.address))
	stream := jsonrpc2.NewBufferedStream(counted, boundedCodec{config.MaxMessageBytes})
	conn := jsonrpc2.NewConn(p.client.ctx, stream, refuseRequests{}, jsonrpc2.SetLogger(discardLogger))
	p.conn.Store(conn)
	go p.client.ping(conn)
	return conn, nil
}

// dialAttemptTimeout bounds one attempt to connect: about four round trips on the
// slowest link (35 ms one way). TCP retransmits a lost SYN only after 1 s.
const dialAttemptTimeout = 300 * time.Millisecond

// dial connects to address. It retries at once after each attempt that timed out:
// a VM that has started in the meantime answers the next SYN.
func dial(ctx context.Context, address string, connect func(context.Context, string, string) (net.Conn, error)) (net.Conn, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, dialAttemptTimeout)
		conn, err := connect(attempt, "tcp", address)
		timedOut := attempt.Err() != nil
		cancel()
		if err == nil || !timedOut || ctx.Err() != nil {
			return conn, err
		}
	}
}

// ping sends pings until the connection ends. The answers extend the read deadline
// of the client, the pings that of the server.
func (c *Client) ping(conn *jsonrpc2.Conn) {
	ticker := time.NewTicker(c.config.PingInterval)
	defer ticker.Stop()
	for {
		if _, err := conn.DispatchCall(c.ctx, methodPing, ping{Address: c.config.Self}); err != nil {
			// The connection may still be open after a failed write.
			_ = conn.Close()
			return
		}
		select {
		case <-ticker.C:
		case <-conn.DisconnectNotify():
			return
		}
	}
}

// refuseRequests is the request handler of a client. It closes the connection,
// since servers send no requests.
type refuseRequests struct{}

// Handle implements jsonrpc2.Handler.
func (refuseRequests) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	_ = conn.Close()
}
