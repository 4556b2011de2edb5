package shentry

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shlimit"
	"sequoiahollow/state/shmodel"
)

const (
	grantRequestInterval = 50 * time.Millisecond
	// grantPollInterval bounds how long a transfer waits before it checks again
	// for a grant.
	grantPollInterval = 20 * time.Millisecond
	// maxGrantWait covers a commit across regions and one grantRequestInterval.
	maxGrantWait = 300 * time.Millisecond
	// forwardOverhead is the assumed size of the HTTP headers of a forwarded
	// message.
	forwardOverhead = 1 << 10
	// frameOverheadDivisor gives the assumed size of TCP and IP headers: 1/16 of
	// the payload.
	frameOverheadDivisor = 16
)

var errNoGrant = errors.New("no grant for the link")

// Links paces what this VM sends to other regions, so that it stays within the
// grants of bandwidth on the links. It is safe for concurrent use.
type Links struct {
	VM     shmodel.VM
	Region shmodel.Region
	// Propose proposes a request for a grant and returns the result.
	Propose func(context.Context, shcontrol.RequestGrant) (shcontrol.GrantResult, error)
	// Permitted reports whether anything may be sent to other regions.
	Permitted func() bool
	Log       *slog.Logger

	mu         sync.Mutex
	holders    map[shmodel.Region]*shlimit.GrantHolder
	requesting map[shmodel.Region]bool
}

func (l *Links) holder(to shmodel.Region) *shlimit.GrantHolder {
	if l.holders == nil {
		l.holders = map[shmodel.Region]*shlimit.GrantHolder{}
		l.requesting = map[shmodel.Region]bool{}
	}
	h := l.holders[to]
	if h == nil {
		h = &shlimit.GrantHolder{VM: l.VM, From: l.Region, To: to}
		l.holders[to] = h
	}
	return h
}

// Run requests grants while there is demand, until the context ends.
func (l *Links) Run(ctx context.Context) {
	t := time.NewTicker(grantRequestInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			l.requestGrants(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

func (l *Links) requestGrants(ctx context.Context, now time.Time) {
	if !l.Permitted() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for to, h := range l.holders {
		if l.requesting[to] {
			continue
		}
		if a, ok := h.NextRequest(now); ok {
			l.requesting[to] = true
			go l.requestGrant(ctx, to, a)
		}
	}
}

func (l *Links) requestGrant(ctx context.Context, to shmodel.Region, a shlimit.GrantRequest) {
	ctx, cancel := context.WithTimeout(ctx, shcontrol.GrantDuration)
	defer cancel()
	result, err := l.Propose(ctx, a.Command)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requesting[to] = false
	if err != nil {
		l.Log.Warn("no grant for a link", "to", to, "error", err)
		l.holder(to).RequestFailed(time.Now())
		return
	}
	l.holder(to).Granted(time.Now(), a, result)
}

// wireBytes estimates the bytes that a payload takes on the link.
func wireBytes(n int64) int64 { return n + n/frameOverheadDivisor }

// AddDemand adds n payload bytes and the overhead of a message to the demand for
// the link to a region.
func (l *Links) AddDemand(to shmodel.Region, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder(to).AddDemand(time.Now(), wireBytes(n)+forwardOverhead)
}

// CanSend reports whether a message with n payload bytes may be sent to a region
// now.
func (l *Links) CanSend(to shmodel.Region, n int64) bool {
	if !l.Permitted() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	wait, ok := l.holder(to).Wait(time.Now(), wireBytes(n)+forwardOverhead)
	return ok && wait <= 0
}

// AwaitGrant reports whether a message with n payload bytes may be sent to a
// region within maxGrantWait. If it may not be sent now, AwaitGrant adds to the
// demand for the link.
func (l *Links) AwaitGrant(ctx context.Context, to shmodel.Region, n int64) bool {
	if l.CanSend(to, n) {
		return true
	}
	l.AddDemand(to, n)
	ctx, cancel := context.WithTimeout(ctx, maxGrantWait)
	defer cancel()
	t := time.NewTicker(grantPollInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if l.CanSend(to, n) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// TryTake adds n payload bytes to the demand for the link to a region and takes
// them from the grant if they may be sent now. Otherwise it takes nothing.
func (l *Links) TryTake(to shmodel.Region, n int64) bool {
	if !l.Permitted() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holder(to)
	now := time.Now()
	h.AddDemand(now, wireBytes(n))
	wait, ok := h.Wait(now, wireBytes(n))
	if !ok || wait > 0 {
		return false
	}
	return h.Take(now, wireBytes(n)) > 0
}

// BitsPerSecond returns the total rate of the valid grants by region.
func (l *Links) BitsPerSecond() map[shmodel.Region]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	rates := map[shmodel.Region]int64{}
	for to, h := range l.holders {
		rates[to] = h.BitsPerSecond(time.Now())
	}
	return rates
}

// Pace takes n payload bytes from the grant for the link to a region, and waits
// until all of them may be sent.
func (l *Links) Pace(ctx context.Context, to shmodel.Region, n int64) error {
	left := wireBytes(n)
	for left > 0 {
		wait, err := l.take(to, &left)
		if err != nil {
			return err
		}
		if left == 0 {
			return nil
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return errors.Join(errNoGrant, ctx.Err())
		}
	}
	return nil
}

// take takes the bytes that may be sent now, subtracts them from left and returns
// how long to wait before the next call.
func (l *Links) take(to shmodel.Region, left *int64) (time.Duration, error) {
	if !l.Permitted() {
		return 0, errNoGrant
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.holder(to)
	*left -= h.Take(time.Now(), *left)
	wait, ok := h.Wait(time.Now(), *left)
	if !ok {
		return grantPollInterval, nil
	}
	return min(max(wait, time.Millisecond), grantPollInterval), nil
}
