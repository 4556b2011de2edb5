package shpeer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

type handlerFunc func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers calls of peers. NewServer returns one.
type Server struct {
	config Config
	slots  chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	active sync.WaitGroup

	mu        sync.Mutex
	handlers  map[string]handlerFunc
	listeners []net.Listener
}

// NewServer returns a server without handlers or listeners.
func NewServer(config Config) *Server {
	config = config.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		config:   config,
		slots:    make(chan struct{}, config.MaxCalls),
		ctx:      ctx,
		cancel:   cancel,
		handlers: make(map[string]handlerFunc),
	}
}

// Handle registers the handler of a method. The context ends at the caller's
// deadline, when the connection closes and when the server closes. Handlers may
// be added while the server runs; a second one for a method replaces the first.
func Handle[Req, Resp any](s *Server, method string, f func(context.Context, Req) (Resp, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = func(ctx context.Context, params json.RawMessage) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, newError(method, KindInvalid, err)
		}
		return f(ctx, req)
	}
}

// Serve accepts connections until the listener or the server closes. It returns
// nil in that case.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.ctx.Err() != nil {
		s.mu.Unlock()
		return l.Close()
	}
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Accept also fails while the process is out of file descriptors, which
			// is temporary.
			s.config.Logger.Warn("accepting a peer connection failed", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.serveConn(c)
	}
}

func (s *Server) serveConn(c net.Conn) {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		host = c.RemoteAddr().String()
	}
	hold, err := s.config.Budget.Begin(time.Now(), func() { _ = c.Close() })
	if err != nil {
		// The peer sees the end of the connection and opens another one for its next call.
		_ = c.Close()
		return
	}
	counted := newCountedConn(c, s.config.SilenceTimeout, s.config.Traffic.counter(host))
	counted.hold = hold
	h := &serverHandler{server: s, conn: counted}
	stream := jsonrpc2.NewBufferedStream(counted, serverCodec{boundedCodec{s.config.MaxMessageBytes}, h})
	jsonrpc2.NewConn(s.ctx, stream, h, jsonrpc2.SetLogger(discardLogger))
}

// Close closes listeners and connections and waits for handlers to return.
func (s *Server) Close() error {
	s.mu.Lock()
	s.cancel()
	var errs []error
	for _, l := range s.listeners {
		errs = append(errs, l.Close())
	}
	s.mu.Unlock()
	s.active.Wait()
	return errors.Join(errs...)
}

// beginHandler counts a handler as active. It returns false if the server is
// closed.
func (s *Server) beginHandler() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return false
	}
	s.active.Add(1)
	return true
}

// serverHandler handles the requests of one connection.
type serverHandler struct {
	server *Server
	conn   *countedConn
	// received is the message that was read last. Only the reader of the connection,
	// which calls Handle, uses it.
	received received
}

// Handle implements jsonrpc2.Handler.
func (h *serverHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) {
	m := h.received
	if !h.server.beginHandler() {
		m.end()
		return
	}
	if r.Method == methodPing {
		defer h.server.active.Done()
		defer m.end()
		h.ping(ctx, conn, r, m.params)
		return
	}
	if r.Notif {
		defer h.server.active.Done()
		defer m.end()
		if _, err := h.run(ctx, r, m.params); err != nil {
			h.server.config.Logger.Debug("handling a peer notification failed", "method", r.Method, "error", err)
		}
		return
	}
	select {
	case h.server.slots <- struct{}{}:
	default:
		defer h.server.active.Done()
		defer m.end()
		err := newError(r.Method, KindBusy, errors.New("too many calls in progress"))
		h.answer(ctx, conn, r, nil, err)
		return
	}
	go func() {
		defer h.server.active.Done()
		result, err := h.run(ctx, r, m.params)
		// The slot and the memory are freed before the answer is sent, so that the next
		// call of the same caller finds them free.
		<-h.server.slots
		m.end()
		h.answer(ctx, conn, r, result, err)
	}()
}

func (h *serverHandler) ping(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, params json.RawMessage) {
	var p ping
	if json.Unmarshal(params, &p) == nil && isAddress(p.Address) {
		traffic := h.server.config.Traffic
		next := traffic.counter(p.Address)
		// The few bytes before the first ping stay counted under the IP address.
		h.conn.count.Store(next)
	}
	// A failed write closes the connection.
	_ = conn.Reply(ctx, r.ID, struct{}{})
}

// isAddress reports whether text is an IP:port.
func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// run calls the handler of a method. A panic of the handler ends only its call.
func (h *serverHandler) run(ctx context.Context, r *jsonrpc2.Request, params json.RawMessage) (result any, err error) {
	defer func() {
		if reason := recover(); reason != nil {
			h.server.config.Logger.Error("handler of a peer call panicked", "method", r.Method, "reason", reason, "stack", string(debug.Stack()))
			result, err = nil, newError(r.Method, KindFailed, fmt.Errorf("the handler panicked: %v", reason))
		}
	}()
	h.server.mu.Lock()
	f := h.server.handlers[r.Method]
	h.server.mu.Unlock()
	if f == nil {
		return nil, newError(r.Method, KindMethod, errors.New("no such method"))
	}
	var m meta
	if r.Meta != nil && json.Unmarshal(*r.Meta, &m) == nil && m.TimeoutMS > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(m.TimeoutMS)*time.Millisecond)
		defer cancel()
	}
	return f(ctx, params)
}

func (h *serverHandler) answer(ctx context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request, result any, err error) {
	resp := &jsonrpc2.Response{ID: r.ID}
	if err == nil {
		err = h.setResult(resp, r.Method, result)
	}
	if err != nil {
		resp.Error = toWire(r.Method, err)
	}
	if err := conn.SendResponse(ctx, resp); err != nil {
		h.server.config.Logger.Debug("answer to a peer call not sent", "method", r.Method, "error", err)
	}
}

func (h *serverHandler) setResult(resp *jsonrpc2.Response, method string, result any) error {
	if err := resp.SetResult(result); err != nil {
		return newError(method, KindInvalid, err)
	}
	if size := len(*resp.Result); size > h.server.config.MaxMessageBytes {
		resp.Result = nil
		return newError(method, KindTooLarge, fmt.Errorf("answer of %d bytes exceeds %d", size, h.server.config.MaxMessageBytes))
	}
	return nil
}

// toWire converts the error of a handler to the form that is sent.
func toWire(method string, err error) *jsonrpc2.Error {
	data := wireData{Kind: KindFailed}
	message := err.Error()
	if e, ok := errors.AsType[*Error](err); ok {
		data = wireData{Kind: e.Kind, Data: e.Data}
		message = e.Err.Error()
	} else if e, ok := errors.AsType[WireError](err); ok {
		data.Kind = e.WireKind()
		if encoded, jsonErr := json.Marshal(e.WireData()); jsonErr == nil {
			data.Data = encoded
		}
	}
	code := int64(jsonrpc2.CodeInternalError)
	if data.Kind == KindMethod {
		code = jsonrpc2.CodeMethodNotFound
	}
	wire := &jsonrpc2.Error{Code: code, Message: message}
	wire.SetError(data)
	return wire
}
