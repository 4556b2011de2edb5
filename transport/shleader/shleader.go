// Package shleader finds the leader among control VMs and calls it.
//
// A Finder caches the address of the leader that answered last. A control VM that
// is not the leader refuses a call and names the leader if it is known. If a VM
// does not answer, the call is repeated at the next address.
package shleader

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/transport/shpeer"
)

const (
	// DefaultCallTimeout bounds one call to a control VM. It allows for a commit
	// over links with a one-way latency of 35 ms and for a slow disk sync.
	DefaultCallTimeout = time.Second
	// retryPause is the pause after each round of attempts at all control VMs.
	retryPause = 50 * time.Millisecond
)

// Kind classifies an Error.
type Kind string

// Kinds.
const (
	// KindUnavailable says that no leader answered in time. The request may have
	// been handled.
	KindUnavailable Kind = "unavailable"
	// KindInvalid says that the request or its answer could not be encoded or
	// decoded.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Finder caches the address of the leader. The zero value has none. It is safe for
// concurrent use.
type Finder struct {
	// CallTimeout bounds one attempt; zero means DefaultCallTimeout.
	CallTimeout time.Duration
	// SilentTime is how long a VM is left out after a call to it has timed out, unless it
	// is the only one; zero means not at all. Until the others elect a new leader they
	// name the lost one, and another call to that would take another timeout.
	SilentTime time.Duration

	mu     sync.Mutex
	leader string
	// silent holds when the last call to an address timed out.
	silent map[string]time.Time
}

// Call calls a method of the leader and repeats the call until a leader answers or
// ctx ends. Addresses returns the peer addresses of the control VMs in the order
// to try them; it is called before each attempt. If an answer is lost, the leader
// may handle the request twice, so the request must be idempotent.
func Call[R any](ctx context.Context, f *Finder, c *shpeer.Client, addresses func() []string, method string, request any) (R, error) {
	return CallEach[R](ctx, f, c, addresses, method, func() any { return request })
}

// CallEach is Call with a request that is made anew for each attempt, right before it
// is sent.
func CallEach[R any](ctx context.Context, f *Finder, c *shpeer.Client, addresses func() []string, method string, request func() any) (R, error) {
	var zero R
	var lastErr error
	for attempt := 0; ; attempt++ {
		known := addresses()
		address := f.target(time.Now(), known, attempt)
		if address == "" {
			return zero, &Error{Op: method, Kind: KindUnavailable, Err: errors.New("no control VM is known")}
		}
		response, err := call[R](ctx, f, c, address, method, request())
		if err == nil {
			f.setLeader(address)
			return response, nil
		}
		lastErr = err
		if shpeer.KindOf(err) == shpeer.KindTimeout && ctx.Err() == nil {
			f.setSilent(time.Now(), address)
		}
		usable := f.updateAfterError(time.Now(), address, err)
		if shpeer.KindOf(err) == shpeer.KindInvalid {
			return zero, &Error{Op: method, Kind: KindInvalid, Err: err}
		}
		if !usable || attempt%(len(known)+1) == len(known) {
			Pause(ctx, retryPause)
		}
		if ctx.Err() != nil {
			return zero, &Error{Op: method, Kind: KindUnavailable, Err: lastErr}
		}
	}
}

func call[R any](ctx context.Context, f *Finder, c *shpeer.Client, address, method string, request any) (R, error) {
	timeout := f.CallTimeout
	if timeout == 0 {
		timeout = DefaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return shpeer.Call[R](ctx, c, address, method, request)
}

// Known returns the address of the leader that answered last, or "".
func (f *Finder) Known() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}

// target returns the address of the known leader, or else the address for the
// number of the attempt, in turn, of those that are not silent.
func (f *Finder) target(now time.Time, addresses []string, attempt int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" {
		return f.leader
	}
	for i := range addresses {
		if a := addresses[(attempt+i)%len(addresses)]; !f.isSilent(now, a) {
			return a
		}
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[attempt%len(addresses)]
}

func (f *Finder) isSilent(now time.Time, address string) bool {
	at, ok := f.silent[address]
	return ok && now.Sub(at) < f.SilentTime
}

func (f *Finder) setLeader(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = address
	delete(f.silent, address)
}

func (f *Finder) setSilent(now time.Time, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.silent == nil {
		f.silent = map[string]time.Time{}
	}
	f.silent[address] = now
}

// updateAfterError stores the leader that the error of a call names, unless that one
// is silent; it then returns false. If the error names no other VM and the call went to
// the stored leader, that one is deleted.
func (f *Finder) updateAfterError(now time.Time, tried string, err error) bool {
	var hint shwire.LeaderHint
	leader := ""
	if e, ok := errors.AsType[*shpeer.Error](err); ok && len(e.Data) > 0 && json.Unmarshal(e.Data, &hint) == nil {
		leader = hint.Address
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	usable := !f.isSilent(now, leader)
	if leader != "" && leader != tried && usable {
		f.leader = leader
		return true
	}
	if f.leader == tried {
		f.leader = ""
	}
	return usable
}

// Pause waits for d or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
