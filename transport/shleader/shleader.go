// Package shleader finds the leader among control VMs and calls it.
//
// A Finder remembers the leader that answered last. A VM that is not the leader
// refuses a call and names the leader if it knows it; a VM that does not answer
// is passed over for the next address.
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
	// DefaultCallTimeout bounds one call to a control VM. It leaves room for a
	// commit over links of 35 ms one way and for a slow sync.
	DefaultCallTimeout = time.Second
	// retryPause is the pause after all control VMs were tried.
	retryPause = 50 * time.Millisecond
)

// Kind classifies an Error.
type Kind string

// Kinds.
const (
	// KindUnavailable says that no leader answered in time. The call may have
	// had an effect.
	KindUnavailable Kind = "unavailable"
	// KindInvalid says that the leader cannot read the request.
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

// Finder remembers the leader. The zero value knows none. It is safe for
// concurrent use.
type Finder struct {
	// CallTimeout bounds one call; zero means DefaultCallTimeout.
	CallTimeout time.Duration

	mu     sync.Mutex
	leader string
}

// Call calls a method of the leader until one answers or the context ends.
// Addresses are the control VMs, the nearest first; the function is asked again
// before each try. The leader may handle a request twice when an answer is lost.
func Call[R any](ctx context.Context, f *Finder, c *shpeer.Client, addresses func() []string, method string, request any) (R, error) {
	var zero R
	var lastErr error
	for try := 0; ; try++ {
		known := addresses()
		address := f.target(known, try)
		if address == "" {
			return zero, &Error{Op: method, Kind: KindUnavailable, Err: errors.New("no control VM is known")}
		}
		response, err := call[R](ctx, f, c, address, method, request)
		if err == nil {
			f.setLeader(address)
			return response, nil
		}
		lastErr = err
		f.updateAfterError(address, err)
		if shpeer.KindOf(err) == shpeer.KindInvalid {
			return zero, &Error{Op: method, Kind: KindInvalid, Err: err}
		}
		if try%(len(known)+1) == len(known) {
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

// target returns the known leader, or a control VM by the number of tries.
func (f *Finder) target(addresses []string, try int) string {
	if leader := f.Known(); leader != "" {
		return leader
	}
	if len(addresses) == 0 {
		return ""
	}
	return addresses[try%len(addresses)]
}

func (f *Finder) setLeader(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = address
}

// updateAfterError takes the leader from a refusal, or forgets a leader that failed.
func (f *Finder) updateAfterError(tried string, err error) {
	var hint shwire.LeaderHint
	leader := ""
	if e, ok := errors.AsType[*shpeer.Error](err); ok && len(e.Data) > 0 && json.Unmarshal(e.Data, &hint) == nil {
		leader = hint.Address
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if leader != "" && leader != tried {
		f.leader = leader
		return
	}
	if f.leader == tried {
		f.leader = ""
	}
}

// Pause waits, or returns when the context ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
