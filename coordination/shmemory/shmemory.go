// Package shmemory decides what a process holds for its clients, within one bound on
// memory and one on connections.
//
// # Model
//
// A Hold is one connection, a Request one request on it; several may be in progress.
// They reserve memory step by step, for a Purpose, before the memory is allocated. A
// connection receives a request, is served, or is idle. Only Serving, or Start without
// a body, makes a request safe: what receives or is idle may be given up, and then they
// fail, so that a request is either given up or served.
//
// When a reservation does not fit, the connections that receive and have gone longest
// without progress are given up, if that was at least StallTime ago. Progress is
// progressBytes of input, so that a client that sends single bytes makes none. What
// they held counts until they end, except for an overdraft of an eighth of the limit,
// with which the reservation may succeed at once. When a connection does not fit, idle
// connections are given up as well, the longest idle first. Whoever then still does
// not fit is refused.
//
// Connections that hold more than smallHold get three quarters of the limit, new
// requests seven eighths, and the answers of requests that are served all of it: large
// bodies cannot keep out small requests, and neither can keep out answers.
//
// # Use
//
// Set Limit and MaxConnections before use; the zero value has no bounds. The methods
// take the time, call evict without holding a lock, and never wait. A nil Request has
// no bounds either.
package shmemory

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// ConnectionBytes is what an open connection takes: the two buffers of net/http
	// (4 KiB each), the stacks of its goroutines (8 KiB) and 16 KiB for input that
	// has arrived and was not read.
	ConnectionBytes = 32 << 10
	// StallTime is the time without progress after which a connection may be given
	// up. A lost packet is sent again after about a second.
	StallTime = 1200 * time.Millisecond
	// progressBytes is the input, in bytes, that counts as progress.
	progressBytes = 8 << 10
	// smallHold is how much a connection may hold, in bytes, to count as small.
	smallHold = 192 << 10
	// rescanInterval is the time after a search for connections to give up that found
	// none in which there is no further search.
	rescanInterval = 20 * time.Millisecond
)

// Purpose is what memory is held for.
type Purpose int

// Purposes.
const (
	Connections Purpose = iota
	Heads
	Bodies
	Answers
	purposes
)

// String returns the name for metrics.
func (p Purpose) String() string { return [...]string{"connections", "heads", "bodies", "answers"}[p] }

// Cause says why a connection was refused or closed.
type Cause int

// Causes.
const (
	RefusedMemory Cause = iota
	RefusedConnections
	ClosedStalled
	ClosedIdle
	ClosedUnread
	causes
)

// String returns the name for metrics.
func (c Cause) String() string {
	return [...]string{"refused-memory", "refused-connections", "closed-stalled", "closed-idle", "closed-unread"}[c]
}

// Kind classifies an Error.
type Kind string

// Kinds of errors.
const (
	// KindShort says that there is no room now.
	KindShort Kind = "short"
	// KindGivenUp says that the connection was given up to make room for others.
	KindGivenUp Kind = "given up"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: no room: %s", e.Op, e.Kind) }

// Stats is what a Budget holds and has refused.
type Stats struct {
	Held        [purposes]int64 // by Purpose, in bytes
	Connections int
	Counts      [causes]uint64 // by Cause
}

// Budget is the bound of a process. It is safe for concurrent use.
type Budget struct {
	// Limit is in bytes. Zero means no limit.
	Limit int64
	// MaxConnections bounds the open connections. An eighth more may be open while
	// connections that were given up end. Zero means no limit.
	MaxConnections int

	mu    sync.Mutex
	holds map[*Hold]struct{}
	used  int64
	// leaving counts the connections that were given up, and leavingBytes what they
	// hold.
	leaving      int
	leavingBytes int64
	held         [purposes]int64
	counts       [causes]uint64
	rescan       time.Time
}

type phase int

const (
	receiving phase = iota
	serving
	idle
)

// Hold is what is held for one connection and its requests.
type Hold struct {
	budget *Budget
	evict  func()
	phase  phase
	held   [purposes]int64 // without that of requests
	total  int64           // with that of requests
	// requests counts those in progress.
	requests int
	// progressAt is the time of the last progress or, of an idle connection, since
	// when it is idle. input counts the bytes since.
	progressAt time.Time
	input      int64
	givenUp    bool
	closed     bool
}

// Request is what is held for one request.
type Request struct {
	hold  *Hold
	held  [purposes]int64
	ended bool
}

// Begin takes room for a connection. evict closes the connection; it must not block
// and may be called once, at any time until Close.
func (b *Budget) Begin(now time.Time, evict func()) (*Hold, error) {
	h := &Hold{budget: b, evict: evict, progressAt: now}
	b.mu.Lock()
	victims := b.makeRoomForConnection(now)
	fits := b.MaxConnections == 0 || len(b.holds) < b.MaxConnections+min(b.leaving, b.MaxConnections/8)
	cause := RefusedConnections
	if fits {
		more, room := b.makeRoom(now, h, Connections, ConnectionBytes)
		victims, fits, cause = append(victims, more...), room, RefusedMemory
	}
	if fits {
		if b.holds == nil {
			b.holds = map[*Hold]struct{}{}
		}
		b.holds[h] = struct{}{}
		h.add(&h.held, Connections, ConnectionBytes)
	} else {
		b.counts[cause]++
	}
	b.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	if !fits {
		return nil, &Error{Op: "begin", Kind: KindShort}
	}
	return h, nil
}

// Reserve takes n bytes for the connection, until all its requests have ended.
func (h *Hold) Reserve(now time.Time, p Purpose, n int64) error {
	return h.reserve(now, &h.held, p, n)
}

func (h *Hold) reserve(now time.Time, held *[purposes]int64, p Purpose, n int64) error {
	b := h.budget
	b.mu.Lock()
	if h.givenUp || h.closed {
		b.mu.Unlock()
		return &Error{Op: "reserve", Kind: KindGivenUp}
	}
	victims, fits := b.makeRoom(now, h, p, n)
	if fits {
		h.add(held, p, n)
	} else {
		b.counts[RefusedMemory]++
	}
	b.mu.Unlock()
	for _, v := range victims {
		v.evict()
	}
	if !fits {
		return &Error{Op: "reserve", Kind: KindShort}
	}
	return nil
}

// Progress counts n bytes of input.
func (h *Hold) Progress(now time.Time, n int) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.phase == idle {
		h.phase, h.progressAt, h.input = receiving, now, 0
	}
	if h.input += int64(n); h.input >= progressBytes {
		h.input, h.progressAt = 0, now
	}
}

// Busy reports whether a request is in progress.
func (h *Hold) Busy() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.requests > 0
}

// Close says that the connection has ended. What is held is released when its last
// request has ended.
func (h *Hold) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.closed {
		h.closed = true
		h.settle()
	}
}

// Count counts a connection that was closed for a cause outside the Budget.
func (h *Hold) Count(c Cause) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.counts[c]++
}

// Start begins a request whose head is complete. With a body, it is received until
// Serving. Start returns an error if the connection has been given up.
func (h *Hold) Start(now time.Time, body bool) (*Request, error) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.givenUp || h.closed {
		return nil, &Error{Op: "start", Kind: KindGivenUp}
	}
	h.requests++
	switch {
	case !body:
		h.phase = serving
	case h.phase != serving:
		h.phase, h.progressAt, h.input = receiving, now, 0
	}
	return &Request{hold: h}, nil
}

// Overlaps reports whether other requests of the connection are in progress.
func (r *Request) Overlaps() bool {
	r.hold.budget.mu.Lock()
	defer r.hold.budget.mu.Unlock()
	return r.hold.requests > 1
}

// Reserve takes n bytes.
func (r *Request) Reserve(now time.Time, p Purpose, n int64) error {
	if r == nil {
		return nil
	}
	return r.hold.reserve(now, &r.held, p, n)
}

// Release returns up to n bytes.
func (r *Request) Release(p Purpose, n int64) {
	if r == nil {
		return
	}
	r.hold.budget.mu.Lock()
	defer r.hold.budget.mu.Unlock()
	r.hold.add(&r.held, p, -min(n, r.held[p]))
}

// ReleaseUnserved returns everything if the request is still being received.
func (r *Request) ReleaseUnserved() {
	r.hold.budget.mu.Lock()
	defer r.hold.budget.mu.Unlock()
	if r.hold.phase != serving {
		r.hold.releaseAll(&r.held)
	}
}

// Serving says that the request is complete or was sent on. It returns false if the
// connection has been given up, so that the request must not be served.
func (r *Request) Serving() bool {
	if r == nil {
		return true
	}
	r.hold.budget.mu.Lock()
	defer r.hold.budget.mu.Unlock()
	if r.hold.givenUp {
		return false
	}
	r.hold.phase = serving
	return true
}

// End says that the request has ended. It releases everything, and the heads of the
// connection in proportion to its requests.
func (r *Request) End(now time.Time) {
	if r == nil {
		return
	}
	h := r.hold
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	h.releaseAll(&r.held)
	h.add(&h.held, Heads, -h.held[Heads]/int64(h.requests))
	if h.requests--; h.requests == 0 {
		h.phase, h.progressAt, h.input = idle, now, 0
	}
	h.settle()
}

// settle forgets a connection that has ended with all its requests.
func (h *Hold) settle() {
	if !h.closed || h.requests > 0 {
		return
	}
	h.releaseAll(&h.held)
	delete(h.budget.holds, h)
	if h.givenUp {
		h.budget.leaving--
	}
}

func (h *Hold) releaseAll(held *[purposes]int64) {
	for p := range purposes {
		h.add(held, p, -held[p])
	}
}

// Room reports whether n bytes would fit beside large bodies.
func (b *Budget) Room(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Limit == 0 || b.used+n <= b.Limit/4*3
}

// Stats returns the current state.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Held: b.held, Connections: len(b.holds), Counts: b.counts}
}

func (h *Hold) add(held *[purposes]int64, p Purpose, n int64) {
	b := h.budget
	held[p] += n
	h.total += n
	b.held[p] += n
	b.used += n
	if h.givenUp {
		b.leavingBytes += n
	}
}

// bound returns how much may be used after a reservation.
func (b *Budget) bound(h *Hold, p Purpose, n int64) int64 {
	switch {
	case p == Answers:
		return b.Limit
	case h.total+n > smallHold:
		return b.Limit / 4 * 3
	}
	return b.Limit / 8 * 7
}

// makeRoom gives up connections until n more bytes fit, and returns them and whether
// the bytes fit.
func (b *Budget) makeRoom(now time.Time, h *Hold, p Purpose, n int64) (victims []*Hold, fits bool) {
	if b.Limit == 0 {
		return nil, true
	}
	need := b.used + n - b.bound(h, p, n)
	if need > b.leavingBytes && !now.Before(b.rescan) {
		for _, v := range b.candidates(now, h, receiving) {
			if need <= b.leavingBytes {
				break
			}
			b.giveUp(v, ClosedStalled)
			victims = append(victims, v)
		}
		if len(victims) == 0 {
			b.rescan = now.Add(rescanInterval)
		}
	}
	return victims, need <= min(b.leavingBytes, b.Limit/8)
}

// makeRoomForConnection gives up one connection if there are too many.
func (b *Budget) makeRoomForConnection(now time.Time) []*Hold {
	if b.MaxConnections == 0 || len(b.holds)-b.leaving < b.MaxConnections {
		return nil
	}
	list, cause := b.candidates(now, nil, receiving), ClosedStalled
	if len(list) == 0 {
		list, cause = b.candidates(now, nil, idle), ClosedIdle
	}
	if len(list) == 0 {
		return nil
	}
	b.giveUp(list[0], cause)
	return list[:1]
}

// candidates returns the connections of a phase other than h that may be given up,
// the one longest without progress first.
func (b *Budget) candidates(now time.Time, h *Hold, p phase) []*Hold {
	var list []*Hold
	for v := range b.holds {
		if v != h && v.phase == p && !v.givenUp && (p == idle || now.Sub(v.progressAt) >= StallTime) {
			list = append(list, v)
		}
	}
	slices.SortFunc(list, func(x, y *Hold) int { return x.progressAt.Compare(y.progressAt) })
	return list
}

func (b *Budget) giveUp(h *Hold, c Cause) {
	h.givenUp = true
	b.leaving++
	b.leavingBytes += h.total
	b.counts[c]++
}
