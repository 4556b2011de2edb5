package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a stand-in backend server. It runs a bounded number of requests at a time
// and queues as many again three times over.
type backend struct {
	fleet         *fleet
	service, zone string
	id, address   string
	slots         int
	work          time.Duration
	born          int64
	// onRun is called when a request begins to run. If it returns true the process of
	// the backend server ends without an answer.
	onRun func(b *backend, r *http.Request, body []byte) (crash bool)
	// loseAnswer says that the connection is reset in place of the answer to a request
	// that has run.
	loseAnswer func() bool

	silent    atomic.Bool // sends no announcements by itself
	sequence  atomic.Int64
	running   atomic.Int64
	waiting   atomic.Int64
	free      chan struct{}
	server    *http.Server
	cancel    context.CancelFunc
	ctx       context.Context
	mu        sync.Mutex
	coldUntil time.Time
}

// startBackend starts a new process lifetime of a backend server at an address.
func startBackend(ctx context.Context, b *backend) error {
	l, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.address = l.Addr().String()
	b.born = time.Now().UnixMilli()
	b.free = make(chan struct{}, b.slots)
	for range b.slots {
		b.free <- struct{}{}
	}
	b.ctx, b.cancel = context.WithCancel(ctx)
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	go b.beat()
	return nil
}

// end ends the process of the backend server without notice.
func (b *backend) end() {
	b.cancel()
	_ = b.server.Close()
}

// setCold makes the backend server cold for a time.
func (b *backend) setCold(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldUntil = time.Now().Add(d)
}

func (b *backend) coldLeft() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(time.Until(b.coldUntil), 0)
}

// beat announces the backend server about every heartbeat.
func (b *backend) beat() {
	first := int(b.born)
	b.silent.Store(false)
	for b.ctx.Err() == nil && !b.silent.Load() {
		for i := 0; i < len(b.fleet.controls); i++ {
			if b.announce(b.ctx, (first+i)%len(b.fleet.controls)) {
				break
			}
		}
		if pause(b.ctx, heartbeat) != nil {
			return
		}
	}
}

// stopBeating ends the announcements that the backend server sends by itself.
func (b *backend) stopBeating() { b.silent.Store(true) }

// announce sends one announcement to a control VM and reports whether it was
// acknowledged.
func (b *backend) announce(ctx context.Context, control int) bool {
	m := b.fleet.controls[control]
	return b.announceAt(ctx, m.name, m.address(controlPort))
}

// announceAt is announce with the address on the way to the control VM.
func (b *backend) announceAt(ctx context.Context, name, address string) bool {
	sequence, cold := b.sequence.Add(1), b.coldLeft()
	text, err := json.Marshal(map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "concurrency": b.slots},
		"status": map[string]any{"state": "ready", "seq": sequence, "coldLeftS": cold.Seconds()},
	})
	if err != nil {
		panic(err)
	}
	b.fleet.record.add("backend %s: announcement %d to %s, coldLeftS %.3f", b.id, sequence, name, cold.Seconds())
	status, _, err := call(ctx, http.MethodPut, "http://"+address+"/instances/"+b.id, text)
	b.fleet.record.add("backend %s: announcement %d: status %d, error %v", b.id, sequence, status, err)
	return err == nil && status == http.StatusOK
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", b.id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", b.running.Load(), b.waiting.Load(), b.slots))
	if r.URL.Path == "/health" {
		if cold := b.coldLeft(); cold > 0 {
			h.Set("X-Cold-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		}
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.fleet.record.add("arrives %s at %s", id, b.id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx := r.Context()
	if ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if b.waiting.Load() >= int64(3*b.slots) || !b.takeSlot(ctx) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { b.free <- struct{}{} }()
	b.running.Add(1)
	defer b.running.Add(-1)
	b.fleet.record.add("run %s by %s: %s %s", id, b.id, r.Method, r.URL.Path)
	if b.onRun != nil && b.onRun(b, r, body) {
		b.fleet.record.add("backend %s crashes while it runs %s", b.id, id)
		b.end()
		return
	}
	if pause(ctx, b.work) != nil {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if b.loseAnswer != nil && b.loseAnswer() {
		b.fleet.record.add("answer to %s is lost", id)
		reset(w)
		return
	}
	h.Set("X-Server-Signature", "3e1b.07.5a2.600.0."+id)
	_, _ = io.WriteString(w, "ran "+id+" by "+b.id+"\n")
}

// takeSlot waits for a slot.
func (b *backend) takeSlot(ctx context.Context) bool {
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	select {
	case <-b.free:
		return true
	case <-ctx.Done():
		return false
	case <-b.ctx.Done():
		return false
	}
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
