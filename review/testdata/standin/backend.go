package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// backend is a stand-in backend server of the platform.
type backend struct {
	fleet         *fleet
	service, zone string
	slots         int
	// work is how long a request runs and size how long its answer is.
	work func(*http.Request) time.Duration
	size int

	mu       sync.Mutex
	id       string
	address  string
	born     int64
	sequence int
	lifetime int
	server   *http.Server
	down     bool
	running  int
	// slot has room for the requests that run at a time; others wait.
	slot  chan struct{}
	pings atomic.Int64 // acknowledged in this lifetime
	// runs counts the ends of runs by request ID.
	runs sync.Map
}

// startBackend starts a backend server and announces it until the run ends.
func (f *fleet) startBackend(service, name, zone string, slots, size int, work time.Duration) *backend {
	b := &backend{fleet: f, service: service, zone: zone, slots: slots, size: size, id: name}
	b.work = func(*http.Request) time.Duration { return work }
	b.listen("127.0.0.1:0")
	b.announceUntilAcked()
	go b.keepAnnouncing()
	return b
}

func (b *backend) listen(address string) {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	must(err)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lifetime++
	b.address, b.born, b.sequence, b.down, b.running = l.Addr().String(), time.Now().UnixMilli(), 0, false, 0
	b.slot = make(chan struct{}, b.slots)
	b.pings.Store(0)
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func(s *http.Server) { _ = s.Serve(l) }(b.server)
	b.fleet.run.say("backend %s of %s in %s started at %s", b.id, b.service, b.zone, b.address)
}

// crash ends the process without a word: all connections break.
func (b *backend) crash() {
	b.mu.Lock()
	s := b.server
	b.down = true
	b.fleet.run.say("backend %s crashes with %d requests running", b.id, b.running)
	b.mu.Unlock()
	_ = s.Close()
}

// restart starts a new lifetime with a new ID at the same address.
func (b *backend) restart() {
	b.mu.Lock()
	b.id = fmt.Sprintf("%s-%d", b.id, b.lifetime)
	address := b.address
	b.mu.Unlock()
	b.listen(address)
	b.announceUntilAcked()
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	b.mu.Lock()
	own, down := b.id, b.down
	full := b.running >= 4*b.slots
	if !full {
		b.running++
	}
	running := b.running
	b.mu.Unlock()
	refuse := func(status int) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case full:
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	switch {
	case id == "":
		refuse(http.StatusBadRequest)
		return
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != own:
		refuse(http.StatusMisdirectedRequest)
		return
	}
	slot := b.slot
	select {
	case slot <- struct{}{}:
		defer func() { <-slot }()
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	b.fleet.run.say("backend %s runs %s %s", own, id, r.URL.Path)
	select {
	case <-time.After(b.work(r)):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	b.runs.Store(id, time.Now())
	b.fleet.run.say("backend %s ends %s: 200", own, id)
	w.Header().Set("X-Server-Signature", own+"."+id)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", min(running, b.slots), max(running-b.slots, 0), b.slots))
	w.Header().Set("Keep-Alive", "timeout=10")
	_, _ = w.Write(bytes.Repeat([]byte{'a'}, b.size))
}

// ping sends one ping to a control daemon and reports whether it was acknowledged.
func (b *backend) ping(d *daemon) bool {
	b.mu.Lock()
	b.sequence++
	id, body := b.id, fmt.Sprintf(
		`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"concurrency":%d},"status":{"state":"ready","seq":%d,"coldLeftS":0}}`,
		b.address, b.born, b.service, b.zone, b.slots, b.sequence)
	b.mu.Unlock()
	status, _ := once(d, http.MethodPut, "/instances/"+id, []byte(body))
	if status != http.StatusOK {
		b.fleet.run.say("backend %s: ping at %s: %d", id, d.name, status)
		return false
	}
	b.pings.Add(1)
	return true
}

func (b *backend) announceUntilAcked() {
	for n := range 200 {
		if b.ping(b.fleet.controls[n%len(b.fleet.controls)]) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	panic(fmt.Errorf("no ping of %s is acknowledged", b.id))
}

func (b *backend) keepAnnouncing() {
	at := 0
	for {
		select {
		case <-time.After(heartbeat):
		case <-b.fleet.stopping:
			return
		}
		b.mu.Lock()
		down := b.down
		b.mu.Unlock()
		if down {
			continue
		}
		for range b.fleet.controls {
			if b.ping(b.fleet.controls[at%len(b.fleet.controls)]) {
				break
			}
			at++
		}
	}
}
