package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// pingTimeout is how long a backend server waits for the acknowledgement of a ping.
const pingTimeout = time.Second

// run is one request that a backend server has begun to work on.
type run struct {
	id, path string
	body     string
	at       time.Time
	backend  string
}

// backend is a stand-in for a backend server. It answers the whole of each request, serves
// one request at a time on a connection, and refuses requests for another instance.
type backend struct {
	id, service, zone string
	slots             int
	born              int64
	// serve answers a request that was begun; nil answers 200 at once.
	serve    func(b *backend, c net.Conn, r *http.Request, body string)
	listener net.Listener
	sequence atomic.Int64
	state    atomic.Value // string
	// cut says that nothing gets through between the backend server and the core.
	cut atomic.Bool
	// acknowledged is the last acknowledged ping, wake makes the next one due.
	acknowledged atomic.Pointer[acknowledgement]
	wake         chan struct{}
	mu           sync.Mutex
	runs         []run
	stopped      chan struct{}
	once         sync.Once
}

func newBackend(address, id, service, zone string, slots int) (*backend, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), listener: l, stopped: make(chan struct{}), wake: make(chan struct{})}
	b.state.Store("ready")
	go b.accept()
	return b, nil
}

func (b *backend) address() string { return b.listener.Addr().String() }

func (b *backend) stop() {
	b.once.Do(func() {
		close(b.stopped)
		_ = b.listener.Close()
	})
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.handle(c)
	}
}

func (b *backend) handle(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != b.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Not-Executed: instance\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		b.mu.Lock()
		b.runs = append(b.runs, run{id: id, path: r.URL.RequestURI(), body: string(body), at: time.Now(), backend: b.id})
		b.mu.Unlock()
		if b.serve != nil {
			b.serve(b, c, r, string(body))
			continue
		}
		b.answer(c, id, 200, "")
	}
}

// answer writes a signed answer.
func (b *backend) answer(w io.Writer, id string, status int, fields string) {
	body := "done by " + b.id
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Signature: %s.%s\r\nX-Server-Load: 1,0,%d\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, b.id, id, b.slots, fields, len(body), body)
}

// requests returns what the backend server has begun to work on.
func (b *backend) requests() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run{}, b.runs...)
}

// announcement returns the next ping.
func (b *backend) announcement() string {
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"concurrency":%d},"status":{"state":%q,"seq":%d,"coldLeftS":0}}`,
		b.address(), b.born, b.service, b.zone, b.slots, b.state.Load(), b.sequence.Add(1))
}

// acknowledgement is a ping that a control machine has acknowledged.
type acknowledgement struct {
	state, text, by string
	at              time.Time
}

// send sends a ping to a control machine and reports whether it was acknowledged in time.
func (b *backend) send(f *fleet, m *machine, text string) bool {
	if b.cut.Load() {
		// The opening packet is lost, and sent again only after the timeout.
		time.Sleep(pingTimeout)
		return false
	}
	return call("PUT", f.address(m, "control"), "/instances/"+b.id, text, pingTimeout).status == http.StatusOK
}

// beat sends pings to the control machines until the backend server stops. Each goes to the
// next machine if one does not acknowledge it.
func (b *backend) beat(f *fleet, first int) {
	at := first
	for {
		state := b.state.Load().(string)
		text := b.announcement()
		for range len(f.controls) {
			m := f.controls[at%len(f.controls)]
			if b.send(f, m, text) {
				b.acknowledged.Store(&acknowledgement{state: state, text: text, by: m.name, at: time.Now()})
				break
			}
			at++
		}
		select {
		case <-time.After(heartbeat):
		case <-b.wake:
		case <-b.stopped:
			return
		}
	}
}

// report makes the backend server send a ping now and returns its acknowledgement.
func (b *backend) report(state string) (*acknowledgement, error) {
	b.state.Store(state)
	before := b.acknowledged.Load()
	b.wake <- struct{}{}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if a := b.acknowledged.Load(); a != before && a.state == state {
			return a, nil
		}
	}
	return nil, fmt.Errorf("%s: no acknowledgement of %s", b.id, state)
}
