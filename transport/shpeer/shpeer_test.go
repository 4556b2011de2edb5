package shpeer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shmemory"
	"sequoiahollow/transport/shloopback"
	"sequoiahollow/transport/shpeer"
)

// testTimeout bounds the waits of a test that fails.
const testTimeout = 20 * time.Second

type text struct {
	Text string `json:"text"`
}

// startPair starts a server on loopback and a client, and returns both and the
// address of the server.
func startPair(t *testing.T, config shpeer.Config) (*shpeer.Server, *shpeer.Client, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := shpeer.NewServer(config)
	go s.Serve(l)
	c := shpeer.NewClient(config)
	t.Cleanup(func() {
		assert.NilError(t, c.Close())
		assert.NilError(t, s.Close())
	})
	shpeer.Handle(s, "echo", func(_ context.Context, req text) (text, error) { return req, nil })
	return s, c, l.Addr().String()
}

func echo(ctx context.Context, c *shpeer.Client, address, message string) (string, error) {
	resp, err := shpeer.Call[text](ctx, c, address, "echo", text{message})
	return resp.Text, err
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

func assertKind(t *testing.T, err error, want shpeer.Kind) *shpeer.Error {
	t.Helper()
	e, ok := errors.AsType[*shpeer.Error](err)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, e.Kind, want, "%v", err)
	return e
}

// notLeader is an error type of another package that implements WireError.
type notLeader struct{ address string }

func (notLeader) Error() string         { return "not the leader" }
func (notLeader) WireKind() shpeer.Kind { return "not-leader" }
func (n notLeader) WireData() any       { return text{n.address} }

// Guards against errors that reach the caller without their kind or data.
func TestErrors(t *testing.T) {
	s, c, address := startPair(t, shpeer.Config{MaxMessageBytes: 1000, MaxCalls: 1})
	started, release := make(chan struct{}), make(chan struct{})
	errs := map[string]error{
		"plain": errors.New("no luck"),
		"wire":  notLeader{"10.0.0.1:7000"},
		"own":   &shpeer.Error{Op: "own", Kind: "odd", Err: errors.New("strange"), Data: []byte(`7`)},
	}
	for method, err := range errs {
		shpeer.Handle(s, method, func(context.Context, text) (text, error) { return text{}, err })
	}
	shpeer.Handle(s, "big", func(context.Context, text) (text, error) { return text{strings.Repeat("x", 2000)}, nil })
	shpeer.Handle(s, "block", func(context.Context, text) (text, error) {
		close(started)
		<-release
		return text{}, nil
	})
	call := func(method string) error {
		_, err := shpeer.Call[text](withTimeout(t, testTimeout), c, address, method, text{})
		return err
	}
	assert.ErrorContains(t, assertKind(t, call("plain"), shpeer.KindFailed), "no luck")
	e := assertKind(t, call("wire"), "not-leader")
	assert.Equal(t, string(e.Data), `{"text":"10.0.0.1:7000"}`)
	assert.Equal(t, string(assertKind(t, call("own"), "odd").Data), "7")
	assertKind(t, call("missing"), shpeer.KindMethod)
	assertKind(t, call("big"), shpeer.KindTooLarge)
	_, err := echo(withTimeout(t, testTimeout), c, address, strings.Repeat("x", 2000))
	assertKind(t, err, shpeer.KindTooLarge)
	_, err = shpeer.Call[int](withTimeout(t, testTimeout), c, address, "echo", text{"not a number"})
	assertKind(t, err, shpeer.KindInvalid)

	t.Run("bounded calls", func(t *testing.T) {
		blocked := make(chan error, 1)
		go func() { blocked <- call("block") }()
		<-started
		assertKind(t, call("plain"), shpeer.KindBusy)
		other := shpeer.NewClient(shpeer.Config{})
		defer other.Close()
		_, err := echo(withTimeout(t, testTimeout), other, address, "x")
		assertKind(t, err, shpeer.KindBusy)
		close(release)
		assert.NilError(t, <-blocked)
	})
	t.Run("nobody listens", func(t *testing.T) {
		_, err := echo(withTimeout(t, testTimeout), c, shloopback.Free(t), "x")
		assertKind(t, err, shpeer.KindUnreachable)
	})
}

// proxy forwards connections to a server. After goSilent, existing connections
// stay open but carry no data, and new ones work.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent []chan struct{}
	count  int
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: l, target: target}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.forward(c)
		}
	}()
	return p
}

func (p *proxy) forward(c net.Conn) {
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		c.Close()
		return
	}
	silent := make(chan struct{})
	p.mu.Lock()
	p.silent = append(p.silent, silent)
	p.count++
	p.mu.Unlock()
	for _, direction := range [][2]net.Conn{{c, up}, {up, c}} {
		go func() {
			io.Copy(discardingWriter{direction[0], silent}, direction[1])
			direction[0].Close()
			direction[1].Close()
		}()
	}
}

type discardingWriter struct {
	to     io.Writer
	silent chan struct{}
}

func (g discardingWriter) Write(p []byte) (int, error) {
	select {
	case <-g.silent:
		return len(p), nil
	default:
		return g.to.Write(p)
	}
}

func (p *proxy) goSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.silent {
		close(s)
	}
	p.silent = nil
}

// Guards against calls that block on a silent connection beyond their deadline,
// and against a client that keeps using the connection.
func TestSilentConnection(t *testing.T) {
	config := shpeer.Config{Connections: 1, PingInterval: 50 * time.Millisecond, SilenceTimeout: 400 * time.Millisecond}
	_, c, address := startPair(t, config)
	p := newProxy(t, address)
	through := p.listener.Addr().String()
	eventually(t, "first call", func() bool {
		_, err := echo(withTimeout(t, testTimeout), c, through, "x")
		return err == nil
	})
	p.goSilent()
	_, err := echo(withTimeout(t, 20*time.Millisecond), c, through, "x")
	assertKind(t, err, shpeer.KindTimeout)
	_, err = echo(withTimeout(t, testTimeout), c, through, "x")
	if err != nil {
		assertKind(t, err, shpeer.KindClosed)
	}
	eventually(t, "new connection", func() bool {
		got, err := echo(withTimeout(t, testTimeout), c, through, "again")
		return err == nil && got == "again"
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Assert(t, p.count > 1)
}

// Guards against a call that goes on after its deadline because the address does
// not answer or the peer reads nothing.
func TestDeadline(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	c := shpeer.NewClient(shpeer.Config{})
	defer c.Close()
	// The listener never accepts, so the message fills the buffers and blocks.
	_, err = echo(withTimeout(t, 50*time.Millisecond), c, l.Addr().String(), strings.Repeat("x", 15<<20))
	// On a busy machine the deadline passes before there is a connection.
	assert.Assert(t, slices.Contains([]shpeer.Kind{shpeer.KindTimeout, shpeer.KindUnreachable}, shpeer.KindOf(err)), "%v", err)
	err = shpeer.Notify(withTimeout(t, 50*time.Millisecond), c, l.Addr().String(), "echo", text{strings.Repeat("x", 15<<20)})
	assert.Assert(t, err != nil)
}

// Guards against a handler whose context outlives the caller's deadline.
func TestHandlerDeadline(t *testing.T) {
	s, c, address := startPair(t, shpeer.Config{})
	ended := make(chan error, 1)
	shpeer.Handle(s, "wait", func(ctx context.Context, _ text) (text, error) {
		<-ctx.Done()
		ended <- ctx.Err()
		return text{}, ctx.Err()
	})
	_, err := shpeer.Call[text](withTimeout(t, 50*time.Millisecond), c, address, "wait", text{})
	assert.Assert(t, err != nil)
	assert.Assert(t, errors.Is(<-ended, context.DeadlineExceeded))
}

// Guards against notifications that are handled out of order, and traffic that is
// counted under no address or the wrong one.
func TestNotificationsAndTraffic(t *testing.T) {
	received := make(chan string, 1000)
	traffic := new(shpeer.Traffic)
	s, _, address := startPair(t, shpeer.Config{Traffic: traffic})
	shpeer.Handle(s, "note", func(_ context.Context, m text) (text, error) {
		received <- m.Text
		return text{}, nil
	})
	own := new(shpeer.Traffic)
	c := shpeer.NewClient(shpeer.Config{Self: "10.0.0.9:7000", Traffic: own})
	defer c.Close()
	var want, got []string
	for i := range 500 {
		m := strings.Repeat("x", i)
		want = append(want, m)
		assert.NilError(t, shpeer.Notify(withTimeout(t, testTimeout), c, address, "note", text{m}))
	}
	for range want {
		got = append(got, <-received)
	}
	assert.Assert(t, slices.Equal(got, want))
	const minBytes = 500 * 499 / 2
	sent := own.Snapshot()[address]
	assert.Assert(t, sent.Sent > minBytes && sent.Received > 0, "%+v", sent)
	counted := traffic.Snapshot()["10.0.0.9:7000"]
	assert.Assert(t, counted.Received > minBytes && counted.Sent > 0, "%+v", counted)
}

// Guards against a budget in which the largest messages of VMs, on the smallest VM, have
// no room.
func TestLargestMessages(t *testing.T) {
	type home struct {
		Service string `json:"s"`
		Key     uint64 `json:"k"`
		Region  string `json:"h"`
	}
	_, c, address := startPair(t, shpeer.Config{Budget: shmemory.NewPeerBudget(128, 300), Connections: 1, SilenceTimeout: testTimeout})
	_, err := echo(withTimeout(t, testTimeout), c, address, strings.Repeat("x", 2<<20))
	assert.NilError(t, err)
	keys := slices.Repeat([]home{{Service: strings.Repeat("s", 63), Key: 1 << 62, Region: strings.Repeat("r", 63)}}, 16384)
	_, err = shpeer.Call[text](withTimeout(t, testTimeout), c, address, "echo", map[string]any{"keys": keys})
	assert.NilError(t, err)
}
